/// What other gateways report to have waiting at each host (Prequal, 2024). A gateway alone sees a small part of the
/// requests; a prompt that it sends behind another gateway's waits for the prefill of both.
///
/// Each source (a gateway, or all gateways of another zone together) reports absolute figures, so a message that is lost or comes
/// twice does no lasting harm. A source counts for nothing once its last report is no longer valid.
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

/// Owns the figures by source, and writes their totals into the slots of the host table.
class ReportedLoad {
public:
    static constexpr std::size_t kMaxSources = 1024;
    static constexpr std::size_t kMaxHosts = 4096;  ///< of one source

    explicit ReportedLoad(HostTable& hosts) : hosts_(hosts) {}

    /// A report has come. Sources and hosts beyond the bounds are ignored.
    void update(const PeerLoad& load, Millis now);
    /// The table of hosts has changed: writes the totals into their slots again.
    void hostsChanged();
    /// Forgets sources whose last report is no longer valid.
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
