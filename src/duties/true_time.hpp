/// Estimates true time from the clocks of many machines, since the time of day of a single machine may be off by seconds and may jump.
///
/// Each machine reports its time of day. The estimate is the median of the reports, so it is correct while fewer than half of the clocks are
/// wrong. Its error is about one message delay. No I/O; `now` is this process's steady clock in milliseconds.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::duties {

class TrueTime {
public:
    static constexpr Millis kReportExpiry = 10'000;
    static constexpr std::size_t kMaxReporters = 1024;  ///< reports of further machines are ignored

    /// Required share of the machines that could report: among fewer, wrong clocks could be the majority.
    static constexpr double kMinReportingShare = 0.75;

    /// Records a machine's time of day, in milliseconds since 1970.
    void report(Millis now, const std::string& machine, Millis unixTime);

    /// Estimated time in milliseconds since 1970. Without reports, this process's own time of day.
    /// @param own this process's time of day, which counts as one report
    [[nodiscard]] Millis estimate(Millis now, Millis own) const;

    /// Whether enough machines have reported recently for the estimate to outvote wrong clocks.
    /// @param machines number of machines that could report
    [[nodiscard]] bool isConfirmed(Millis now, std::size_t machines) const;

    [[nodiscard]] std::size_t reporterCount() const { return offsets_.size(); }

private:
    struct Report {
        Millis offset = 0;  // from the steady clock to the reported time of day
        Millis at = 0;
    };
    std::map<std::string, Report> offsets_;  // by machine
};

}  // namespace beechpoint::duties
