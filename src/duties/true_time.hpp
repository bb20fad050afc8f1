/// Estimate of true time from many machines' clocks, since the time of day of a single machine may be wrong by seconds and jump.
///
/// Each machine reports its time of day; the estimate is the median of the reports, so that it holds while fewer than half of the clocks
/// are wrong. Its error is the delay of a message. Free of I/O; `now` is this process's steady clock in milliseconds.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::duties {

class TrueTime {
public:
    static constexpr Millis kReportExpiry = 10'000;
    static constexpr std::size_t kMaxReporters =
        1024;  ///< at this size reports of further machines are ignored

    /// Of the machines that could report: of fewer, those whose clocks are wrong might be most.
    static constexpr double kMinReportingShare = 0.75;

    /// A machine reports its time of day, in milliseconds since 1970.
    void report(Millis now, const std::string& machine, Millis unixTime);

    /// Milliseconds since 1970. Without reports: by this process's own clock.
    /// @param own this process's time of day, which counts as one report
    [[nodiscard]] Millis estimate(Millis now, Millis own) const;

    /// Whether enough machines have reported lately for the estimate to outvote this process's own clock.
    /// @param machines that could report
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
