/// Load that other gateways report for each host ("Load is not what you should balance: Introducing Prequal",
/// 2024). Each gateway sends only a small part of the requests, and a prompt that is sent after another
/// gateway's waits for both prefills.
///
/// Each source (a gateway, or all gateways of another zone together) reports absolute values, so a lost or
/// duplicate message has no lasting effect. A source's load is dropped when its last report expires.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Owns the load by source and writes the totals into the slots of the host table.
class ReportedLoad {
public:
    static constexpr std::size_t kMaxSources = 1024;
    static constexpr std::size_t kMaxHosts = 4096;  ///< per source

    explicit ReportedLoad(HostTable& hosts) : hosts_(hosts) {}

    /// Applies a report. Sources and hosts beyond the limits are ignored.
    void update(const PeerLoad& load, Millis now);
    /// The host table has changed: writes the totals into its slots again.
    void hostsChanged();
    /// Removes sources whose last report has expired.
    void expire(Millis now);
    /// Whether any source has a valid report.
    [[nodiscard]] bool active() const { return !sources_.empty(); }

private:
    struct Figures {
        int waiting = 0;
        double workS = 0;
    };
    struct Source {
        Millis validUntil = 0;
        std::unordered_map<std::uint32_t, Figures> hosts;
    };

    void replace(Source& source, const HostLoad& load, Millis now);
    void add(std::uint32_t host, int waiting, double workS, Millis now);
    void write(std::uint32_t host, const Figures& total);

    HostTable& hosts_;
    std::unordered_map<std::uint64_t, Source> sources_;
    std::unordered_map<std::uint32_t, Figures> totals_;
};

}  // namespace beechpoint::dispatch
