// When each change came into force at each gateway, and quantiles of the delays. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::scale {

// Delays in ms; `missing` counts what never came.
struct Delays {
    std::size_t count = 0;
    std::size_t missing = 0;
    Millis p50 = 0, p99 = 0, worst = 0;
};
Delays summarise(std::vector<Millis> delays, std::size_t missing);

// One series of numbered changes (from 1), as gateways see them. A gateway that skips numbers has them all at the last one's moment.
class Series {
public:
    explicit Series(std::size_t gateways) : reached_(gateways, 0), at_(gateways) {}
    void reach(std::size_t gateway, std::size_t number, Millis now);
    std::size_t gatewaysAt(std::size_t number) const;
    // Delays from the moments of changes `first`.. (begun[0] is that of `first`) to each gateway.
    Delays delays(std::size_t first, const std::vector<Millis>& begun) const;

private:
    std::vector<std::size_t> reached_;     // by gateway: the largest number
    std::vector<std::vector<Millis>> at_;  // by gateway, by number less 1
};

class Progress {
public:
    explicit Progress(std::size_t gateways)
        : revisions_(gateways), hostChanges_(gateways), replies_(0), live_(gateways) {}
    void onReply(std::size_t gateway, std::uint32_t liveGateways);
    void onRevision(std::size_t gateway, std::size_t revision, Millis now) {
        revisions_.reach(gateway, revision, now);
    }
    // `draining` hosts tell the number of the change, see platform_process.hpp.
    void onHosts(std::size_t gateway, std::size_t hosts, std::size_t draining, Millis now);

    const Series& revisions() const { return revisions_; }
    const Series& hostChanges() const { return hostChanges_; }
    std::uint64_t replies() const { return replies_; }
    std::size_t gatewaysWithHosts(std::size_t hosts) const;
    // Gateways that last heard of so many live gateways.
    std::size_t gatewaysThatCount(std::uint32_t live) const;

private:
    Series revisions_, hostChanges_;
    std::uint64_t replies_;
    std::vector<std::uint32_t> live_;
    std::vector<std::size_t> hosts_ = std::vector<std::size_t>(live_.size(), 0);
};

}  // namespace beechpoint::scale
