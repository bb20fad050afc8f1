/// Admission of large replies at a control member: kSlots gateways at a time are sent one, the others are told at once when to ask again.
///
/// A gateway occupies its slot until it polls again, by which the reply has arrived, or for kMaxSlotTime, so that one which is gone does not
/// keep it. The bytes in flight are thereby bounded whatever the number of gateways, and the rate follows what the links carry. Free of I/O.
/// Owned by PollResponder.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::control {

class TransferSlots {
public:
    static constexpr std::size_t kSlots = 8;
    static constexpr std::size_t kMaxPending = 1024;  ///< gateways told to ask again that are counted
    // Milliseconds.
    static constexpr Millis kMaxSlotTime = 2000;
    static constexpr Millis kInitialSlotTime = 100;  ///< first estimate of how long a slot is occupied
    static constexpr Millis kMinRetryAfter = 50;
    static constexpr Millis kMaxRetryAfter = 1000;  ///< a lease must not end meanwhile
    static constexpr Millis kPendingExpiry = 2000;  ///< a gateway that does not ask again is counted so long

    /// The gateway polls: the reply that it was sent has arrived.
    void release(Millis now, const std::string& gateway);
    /// Whether the gateway may be sent a large reply now. Where not, it is to ask again after retryAfter().
    [[nodiscard]] bool admit(Millis now, const std::string& gateway);
    /// Milliseconds, by the number of pending gateways and the time that slots were occupied.
    [[nodiscard]] Millis retryAfter() const;

    [[nodiscard]] std::size_t occupied() const { return occupied_.size(); }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    void expire(Millis now);
    void recordSlotTime(Millis duration);

    std::map<std::string, Millis> occupied_;  // since when, by gateway
    std::map<std::string, Millis> pending_;   // when last told to ask again, by gateway
    Millis slotTime_ = kInitialSlotTime;      // how long a slot is occupied, exponentially smoothed
};

}  // namespace beechpoint::control
