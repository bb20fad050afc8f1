// One prober for track hosts that all avoid: the holder of a duty looks at a dead host, the others take its word for a
// while in place of looking themselves, each anew. A state machine: (now, event) in, messages out; no I/O, clock, socket.
// It decides about looks alone. Whether a host is used is the module's to judge (coordinator::Coordinator), by each look's end
// as ever; here the end of some looks is another's word, which is never more than `word` old.
//
// | a look is wanted, and       | done                                                                          |
// | nobody else has the duty    | one looks oneself, as without it                                              |
// | no word, or an old one      | one looks oneself, and asks the holder                                        |
// | the word is: it is there    | one looks oneself, at once: the own look decides                              |
// | the word is: it is away     | taken for the look's end; asked anew once half its time is over; but one look |
// |                             | in each `own` is one's own, whatever the word                                 |
//
// What a holder that lies or errs can do: keep others from seeing that a host is back for `own` at the most, and it can
// make no host that answers look dead, since only hosts that one avoids already are looked at. A holder that is stopped,
// killed or cut off: its last word ends after `word`, and all look themselves.
//
// A holder says only what it saw itself, by looks that its own module wanted; it looks at nothing for others.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::health_check {

inline constexpr std::size_t kMaxHostIdBytes = 64;  // bytes of a track host's id in a message
inline constexpr std::size_t kMaxHosts = 512;       // remembered; the one not wanted for longest goes first

struct HealthQuery {
    std::string host;
    std::uint64_t number = 0;
};
struct HealthReport {
    std::string host;
    std::uint64_t number = 0;  // as asked
    bool reachable = false;
    std::uint32_t ageMs = 0;
};
using Body = std::variant<HealthQuery, HealthReport>;
struct Message {
    std::string from, to;
    Body body;
};

struct HostProberOptions {
    Millis reportTtl = 2000;         // that a word holds, from the look it tells of
    Millis ownProbeInterval = 5000;  // in each of these one look is one's own
    Millis queryInterval = 400;      // between askings about one host
};

enum class Advice { probe, treatAsUnreachable };

class HostProber {
public:
    HostProber(HostProberOptions options, std::string self) : options_(options), self_(std::move(self)) {}

    // A look at the host is wanted. `holder`: who has the duty as far as this member knows; empty: nobody, or itself.
    Advice probeWanted(Millis now, const std::string& host, const std::string& holder,
                       std::vector<Message>& out);
    // An own look ended.
    void recordProbe(Millis now, const std::string& host, bool there);
    // `holds`: this member may act on the duty at this moment; only then does it answer.
    void receive(Millis now, const Message& message, bool holds, std::vector<Message>& out);

    std::uint64_t avoidedProbes() const { return avoidedProbes_; }
    std::uint64_t evicted() const { return evicted_; }
    std::size_t hosts() const { return hosts_.size(); }

private:
    struct Host {
        Millis lastWantedAt = 0;
        Millis probedAt = -1e300;  // oneself
        bool reachable = false;
        Millis reportedAt = -1e300;  // the look's moment that the word tells of, at the latest
        bool reportedReachable = false;
        Millis queriedAt = -1e300;
        std::uint64_t queryNumber = 0;
        std::string queried;  // whom
    };
    Host& findOrCreate(Millis now, const std::string& host);
    HostProberOptions options_;
    std::string self_;
    std::map<std::string, Host> hosts_;
    std::uint64_t number_ = 0, avoidedProbes_ = 0, evicted_ = 0;
};

}  // namespace beechpoint::health_check
