/// Which members of a group are alive. A state machine: (now, event) in, messages and changes out; no I/O, clock, socket or
/// thread; random numbers come from a seed. After SWIM (direct and indirect probes, suspicion, dissemination by piggyback)
/// and Lifeguard (local health awareness: a slow member doubts itself first). The members' names come from the
/// configuration; only their state is learnt. Nothing that must be safe rests on it: it is for people and for hints.
///
/// | state of a peer | it answers, or is heard    | probe fails        | suspicion times out | rumour, newer incarnation | it leaves |
/// | --------------- | -------------------------- | ------------------ | ------------------- | ------------------------- | --------- |
/// | unknown         | alive                      | stays              | -                   | as in the rumour          | left      |
/// | alive           | -                          | suspect            | -                   | as in the rumour          | left      |
/// | suspect         | - (it must refute)         | confirmed once     | dead                | as in the rumour          | left      |
/// | dead, left      | is informed, and refutes   | probed more rarely | -                   | as in the rumour          | -         |
///
/// An incarnation number is raised by its member alone, to refute a rumour (SWIM, 4.2); a member that starts without state
/// begins at 1, hears the rumour about its name, and goes above it. Of two rumours about a member the higher incarnation
/// number wins; at the same one left > dead > suspect > alive. That is a join: order, repeats and loss don't matter.
///
/// Cost: one probe a period, to one member in turn; indirect probes for one that does not answer; replies. Each carries the
/// sender's own rumour and as many as fit. So datagrams a second are bounded by a constant, whatever the group's size.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::gossip {

enum class Presence : std::uint8_t { unknown, alive, suspect, dead, left };
const char* nameOf(Presence presence);

struct Rumour {
    std::string member;
    Presence presence = Presence::alive;
    std::uint64_t incarnation = 0;
    std::uint64_t suspectedBy =
        0;  // suspect: whose word, as a hash of the name, so that confirmations are counted once each
};
inline constexpr std::size_t kMaxRumours = 24;  // on one message, the sender's own word among them
inline constexpr std::size_t kMaxRumourBytes =
    160;  // and no more than these: with all that goes with it, one datagram

struct Ping {
    std::uint64_t number = 0;
    std::vector<Rumour> rumours;
};
struct PingRequest {  // probe that member for me
    std::uint64_t number = 0;
    std::string target;
    std::vector<Rumour> rumours;
};
struct Ack {
    std::uint64_t number = 0;
    std::vector<Rumour> rumours;
};
struct Nack {  // that member did not answer me either; I am there, so the asker's own link is sound
    std::uint64_t number = 0;
};
using Body = std::variant<Ping, PingRequest, Ack, Nack>;
struct Message {
    std::string from, to;
    Body body;
};

struct MembershipOptions {
    Millis probePeriod = 1000;  // one probe in each
    Millis ackTimeout = 300;    // a direct answer's time, then others are asked
    int indirectProbes = 3;
    int maxHealthMultiplier = 8;     // of the own slowness: period and times grow up to 1 + this many times
    double suspicionMultiplier = 5;  // periods x log10(members), at the least; at the most 4 times that
    bool localHealthAware = true;    // off only in tests
};

struct PresenceChange {
    std::string member;
    Presence presence = Presence::unknown;
    std::uint64_t incarnation = 0;
};

class Membership {
public:
    Membership(MembershipOptions options, std::string self, std::vector<std::string> members,
               std::uint64_t seed, Millis now);

    void receive(Millis now, const Message& message, std::vector<Message>& out);
    void advance(Millis now, std::vector<Message>& out);
    Millis nextDeadline() const;
    // Tells some that it goes, in order; it probes no more.
    void leave(Millis now, std::vector<Message>& out);

    Presence presenceOf(const std::string& member) const;
    Millis lastHeard(const std::string& member) const;  // last directly; -1e300: never
    std::uint64_t incarnation() const { return incarnation_; }
    int localHealthMultiplier() const { return localHealthMultiplier_; }  // 0: none
    std::size_t count(Presence presence) const;
    std::vector<PresenceChange> takeChanges() { return std::exchange(changes_, {}); }
    std::uint64_t refutations() const { return refutations_; }

private:
    struct Peer {
        Presence presence = Presence::unknown;
        std::uint64_t incarnation = 0;
        Millis lastHeard = -1e300;
        Millis suspectSince = 0;                 // suspect
        std::vector<std::uint64_t> suspectedBy;  // whose word
        int transmissionsLeft = 0;               // times that its rumour is still told
        Millis aliveSince = -1e300;              // alive since, as seen here
    };
    struct IndirectProbe {
        std::string asker;
        std::uint64_t number = 0;  // of the asker
        std::string target;
        Millis until = 0;
    };
    void applyRumour(Millis now, const Rumour& r);
    void setPresence(Millis now, const std::string& name, Peer& o, Presence presence,
                     std::uint64_t incarnation);
    void suspect(Millis now, const std::string& name, std::uint64_t by);
    void refute(std::uint64_t above);
    std::vector<Rumour> piggyback(Millis now, const std::string& to);
    void recordContact(Millis now, const std::string& from);
    void startProbe(Millis now, std::vector<Message>& out);
    void probeFailed(Millis now);
    void adjustLocalHealth(int by);
    Millis scaledByHealth(Millis t) const {
        return t * (1 + (options_.localHealthAware ? localHealthMultiplier_ : 0));
    }
    Millis suspicionTimeout(const Peer& o) const;
    int transmissionLimit() const;

    MembershipOptions options_;
    std::string self_;
    SplitMix draw_;
    std::map<std::string, Peer> peers_;
    std::vector<std::string> probeOrder_;  // whom to probe, in an order drawn anew each time round
    std::size_t probeIndex_ = 0;
    std::uint64_t incarnation_ = 1;

    std::uint64_t lastProbeNumber_ = 0;
    struct Probe {
        std::string target;
        std::uint64_t number = 0;
        Millis sent = 0;
        bool indirect = false;
        int nacks = 0, helpers = 0;
    } probe_;
    Millis probeAt_ = 0, indirectAt_ = 1e300;
    std::map<std::uint64_t, IndirectProbe> indirectProbes_;  // by the own number of the probe
    int localHealthMultiplier_ = 0;
    bool leaving_ = false;
    std::vector<PresenceChange> changes_;
    std::uint64_t refutations_ = 0;
};

}  // namespace beechpoint::gossip
