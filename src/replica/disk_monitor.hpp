/// Whether the disk works: from the driver's reports, the last answer to a write, and a write that was not answered for too long.
/// After a failed write it says when the next one may be tried.
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
    /// The last answer of the storage was a failure.
    bool writesFail() const { return writesFail_; }
    /// False for kDiskProbeInterval after a failed write.
    bool mayWrite(Millis now) const { return now >= probeAt_; }
    /// Nothing is under way that would show whether writes work again.
    bool isProbeDue(Millis now) const { return writesFail_ && outbox_.outstanding() == 0 && mayWrite(now); }
    void onProbe(Millis now) { probeAt_ = now + kDiskProbeInterval; }

private:
    const Outbox& outbox_;
    bool reportedFailing_ = false;
    bool writesFail_ = false;
    Millis probeAt_ = 0;
};

}  // namespace beechpoint::replica
