/// A member's own side of leases: keeps its session alive, knows which leases it holds, and says before each act whether
/// it may still act (Gray and Cheriton, 1989). A state machine: (now, event) in, messages out; not thread-safe. It rests
/// on its own clock alone: an act is allowed until ttl * (1 - drift) after the newest confirmed renewal was SENT.
///
/// | session | reply done | noSession             | its time is up               | endSession()       | resume()           |
/// | ------- | ---------- | --------------------- | ---------------------------- | ------------------ | ------------------ |
/// | none    | open       | asks again            | -                            | asks no more       | asks again         |
/// | open    | prolonged  | none: drops all, asks | none: drops all, asks        | closing: drops all | -                  |
/// | closing | -          | none                  | none                         | -                  | asks once none     |
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/splitmix.hpp"
#include "lease_sessions/lease_manager.hpp"

namespace beechpoint::lease_sessions {

struct CommandOutcome {  // of a request by request()
    std::uint64_t request = 0;
    Result result;
    bool known = true;  // false: it may or may not have had its effect
};

class LeaseClient {
public:
    // `members`: whom to ask for the leader.
    // `willing`: to hold duties; who is not opens no session, and costs nobody anything.
    LeaseClient(Times times, std::string self, ProcessIncarnation processIncarnation,
                std::vector<std::string> members, std::uint64_t seed, Millis now, bool willing = true);

    void receive(Millis now, const Message& message, std::vector<Message>& out);
    void advance(Millis now, std::vector<Message>& out);
    Millis nextDeadline() const;
    // Whom the member itself takes for the leader; saves a round of asking.
    void setLeader(const std::string& name) {
        if (!name.empty()) leader_ = name;
    }

    // The duty's fencing number if this member may act on it now. Ask right before each act, with the clock read
    // right before; carry the number with the act.
    std::optional<std::uint64_t> mayAct(Millis now, const std::string& singletonRole) const;
    bool inSession(Millis now) const { return session_ != 0 && now < sessionUntil_; }
    Millis sessionUntil() const { return session_ != 0 ? sessionUntil_ : -1e300; }
    const std::map<std::string, std::uint64_t>& heldLeases() const { return leases_; }

    // Requests, one after another. Their ends come by takeOutcomes().
    std::uint64_t defineRole(const std::string& singletonRole);
    std::uint64_t acquire(const std::string& singletonRole);
    // Stops acting on it at once, then gives it up, or hands it on to a member by name.
    std::uint64_t release(const std::string& singletonRole, const std::string& to = "");
    // Stops acting on all at once and ends the session: SIGTERM, drain.
    void endSession(Millis now, std::vector<Message>& out);
    // Takes part again, once the session that was left has ended: what it held it may not act on any more.
    void resume() { ending_ = false; }
    bool hasEnded() const { return ending_ && session_ == 0; }
    std::vector<CommandOutcome> takeOutcomes() { return std::exchange(outcomes_, {}); }
    std::size_t pending() const { return requests_.size(); }

private:
    struct PendingRequest {
        std::uint64_t handle = 0;  // the caller's; the command's number is given when it is first sent
        Command command;
        Millis since = 0, sentAt = -1e300;
        bool redirected = false;  // who leads, since it was sent last
    };
    std::uint64_t submit(Command c);
    void sendFirstRequest(Millis now, std::vector<Message>& out);
    void renew(Millis now, std::vector<Message>& out);
    void dropSession(Millis now);
    void acceptLease(const std::string& singletonRole, std::uint64_t fencingToken);
    const std::string& target();
    void redirectTo(const std::string& told);

    Times times_;
    std::string self_;
    ProcessIncarnation processIncarnation_;
    std::vector<std::string> members_;
    SplitMix draw_;
    std::string leader_;
    std::size_t nextMember_ = 0;

    Index session_ = 0;
    Millis sessionUntil_ = -1e300;
    std::uint64_t lastRenewal_ = 0;
    std::map<std::uint64_t, Millis> renewalsInFlight_;  // renewals out: when
    int unansweredRenewals_ = 0;  // sent to whom it takes for the leader, and not answered
    Millis renewAt_ = 0, reopenAt_ = -1e300;
    std::map<std::string, std::uint64_t> leases_, released_;  // done_: given up under this number, for good
    std::deque<PendingRequest> requests_;
    std::uint64_t lastNumber_ = 0, lastHandle_ = 0;
    std::vector<CommandOutcome> outcomes_;
    bool holdsRoles_ = true, ending_ = false;
    bool closing_ = false;  // from leave() to the end of that session, whatever comes meanwhile
    Millis openSentAt_ = 0;
};

}  // namespace beechpoint::lease_sessions
