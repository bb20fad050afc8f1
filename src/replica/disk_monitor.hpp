/// Detects a failing disk from the driver's reports, the result of the last write, and writes that time out. After a failed
/// write it determines when the next one may be attempted.
#pragma once

#include "core/clock.hpp"
#include "replica/outbox.hpp"

namespace beechpoint::replica {

class DiskMonitor {
public:
    explicit DiskMonitor(const Outbox& outbox) : outbox_(outbox) {}

    void onHealthReported(bool failing) { reportedFailing_ = failing; }
    void onAnswer(Millis now, bool stored) {
        writesFail_ = !stored;
        if (!stored) probeAt_ = now + kDiskProbeInterval;
    }

    bool isFailing(Millis now) const { return reportedFailing_ || writesFail_ || outbox_.isStuck(now); }
    /// Whether the last completed write failed.
    bool writesFail() const { return writesFail_; }
    /// False for kDiskProbeInterval after a failed write.
    bool mayWrite(Millis now) const { return now >= probeAt_; }
    /// Whether writes fail and no write is in flight that would show a recovery.
    bool isProbeDue(Millis now) const { return writesFail_ && outbox_.outstanding() == 0 && mayWrite(now); }
    void onProbe(Millis now) { probeAt_ = now + kDiskProbeInterval; }

private:
    const Outbox& outbox_;
    bool reportedFailing_ = false;
    bool writesFail_ = false;
    Millis probeAt_ = 0;
};

}  // namespace beechpoint::replica
