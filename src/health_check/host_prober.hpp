/// One prober for unreachable track hosts: the holder of a singleton role probes a dead host, the other members use its
/// report for a while in place of probing themselves. A state machine: (now, event) in, messages out; no I/O, clock, socket.
/// It decides about health checks alone. Whether a host is used is coordinator::Coordinator's to judge, by each check's
/// result; here the result of some is another member's report, never older than `reportTtl`.
///
/// | a probe is wanted, and       | done                                                                           |
/// | ---------------------------- | ------------------------------------------------------------------------------ |
/// | nobody else holds the role   | probes itself                                                                  |
/// | no report, or an old one     | probes itself, and queries the holder                                          |
/// | the report says reachable    | probes itself at once: its own result decides                                  |
/// | the report says unreachable  | taken for the result; queried again after half its time; but one probe in each |
/// |                              | `ownProbeInterval` is its own, whatever the report                             |
///
/// A holder that lies or errs can keep others from seeing a recovered host for `ownProbeInterval` at most; it can make no
/// answering host look dead, since only hosts already avoided are probed here. The last report of a holder that stopped
/// or is partitioned ends after `reportTtl`, and all probe themselves. A holder reports only its own probes' results, and
/// probes nothing for others.
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
