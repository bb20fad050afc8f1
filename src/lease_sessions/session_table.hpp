/// The singleton roles and sessions of a group as the Raft log commits them: who is in session, which roles there are, who
/// holds the lease of each and under which fencing token. A raft::StateMachine: the same entries give the same table
/// everywhere; no clock, no random number. Whether a session has expired is no part of it: the leader's LeaseManager
/// judges that by time.
///
/// A session is one process incarnation of a member; its number is the index of the entry that opened it. All leases of a
/// member belong to its session: the session's end frees them.
///
/// | role  | grant           | release, by the holder | transfer, by the holder  | session ends |
/// | ----- | --------------- | ---------------------- | ------------------------ | ------------ |
/// | free  | held, token + 1 | rejected               | rejected                 | -            |
/// | held  | rejected        | free                   | held by the other, + 1   | free         |
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "raft/raft_consensus.hpp"

namespace beechpoint::lease_sessions {

using raft::Index;
using raft::ProcessIncarnation;

inline constexpr std::size_t kMaxRoles = 1000;
inline constexpr std::size_t kMaxSessions = 512;  // open at once
inline constexpr int kFencingTokenBits = 32;      // above these stands the group's number
inline constexpr std::size_t kMaxAnswers = 1024;  // answers to requests kept, the oldest goes first

enum class Operation : std::uint8_t { open, close, define, grant, release, transfer };

// One entry's data. `member`, `life` and `number` name the request: it has its effect once.
struct Command {
    Operation op = Operation::open;
    std::string member;  // who asks; for close and grant by the leader: whose session it is
    ProcessIncarnation processIncarnation = 0;
    std::uint64_t number = 0;  // of the request, rising within a life; 0: the leader's own, never repeated
    Index session = 0;
    std::string singletonRole;
    std::uint64_t fencingToken = 0;
    std::string to;  // hand: the next holder
};
std::string encodeCommand(const Command& command);
std::optional<Command> decodeCommand(const std::string& data);

enum class Verdict : std::uint8_t { done, rejected, retryLater, noSession };

struct Result {
    Verdict verdict = Verdict::rejected;
    std::uint64_t fencingToken = 0;
    Index session = 0;
    bool operator==(const Result&) const = default;
};

struct SingletonRole {
    std::string holder;  // empty: free
    Index session = 0;
    std::uint64_t fencingToken = 0;
    std::string lastHolder;       // who held it last: it gets it anew only if nobody else is in session
    bool sessionExpired = false;  // and lost it: its session ran out. Otherwise it was given up in order
};
struct Session {
    Index number = 0;
    ProcessIncarnation processIncarnation = 0;
};

class SessionTable : public raft::StateMachine {
public:
    void begin(std::uint64_t number) override { tokenBase_ = number << kFencingTokenBits; }
    void apply(Index index, raft::Term term, const std::string& data) override;
    std::string save() const override;
    bool load(const std::string& saved) override;

    const std::map<std::string, SingletonRole>& singletonRoles() const { return singletonRoles_; }
    const std::map<std::string, Session>& sessions() const { return sessions_; }
    const SingletonRole* singletonRole(const std::string& name) const;
    const Session* session(const std::string& member) const;
    // The answer to a request that was settled; nothing: not here (yet).
    std::optional<Result> answer(const std::string& member, ProcessIncarnation processIncarnation,
                                 std::uint64_t number) const;
    const std::set<std::string>& leasesOf(const std::string& member) const;
    const std::set<std::string>& freeRoles() const { return freeRoles_; }  // duties that nobody holds
    // Rises with each change, so that who looks at the whole table need not do so again for nothing.
    std::uint64_t revision() const { return revision_; }
    std::uint64_t evictedAnswers() const { return evictedAnswers_; }
    std::uint64_t unreadableEntries() const { return unreadableEntries_; }  // entries that could not be read

private:
    Result execute(Index index, const Command& c);
    std::uint64_t raiseToken(SingletonRole& singletonRole) const;
    void release(const std::string& name, SingletonRole& singletonRole, bool lost);
    void assign(const std::string& name, SingletonRole& singletonRole, const std::string& member,
                Index session);
    struct AppliedCommand {
        std::uint64_t number = 0;
        Result result;
        Index appliedAt = 0;
    };
    std::map<std::string, SingletonRole> singletonRoles_;
    std::map<std::string, Session> sessions_;
    // The duties again, by holder.
    std::map<std::string, std::set<std::string>> leasesByHolder_;
    std::set<std::string> freeRoles_;
    std::uint64_t revision_ = 0;
    // The newest of each life: a late request of an earlier one must not make a later one's be done twice.
    std::map<std::pair<std::string, ProcessIncarnation>, AppliedCommand> appliedCommands_;
    std::uint64_t tokenBase_ = 0;  // of fencing numbers: a group founded anew fences off the one before
    std::uint64_t evictedAnswers_ = 0, unreadableEntries_ = 0;
};

}  // namespace beechpoint::lease_sessions
