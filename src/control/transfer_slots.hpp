/// Admission control of large replies at a control member: kSlots gateways at a time are sent one, the others get a retry delay at once.
///
/// A gateway occupies its slot until it polls again, which shows that the reply arrived, or for kMaxSlotTime, in case the gateway failed.
/// This bounds the bytes in flight for any number of gateways and adapts the rate to the links' bandwidth. Without I/O.
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
    static constexpr std::size_t kMaxPending = 1024;  ///< gateways with a retry delay that are counted
    // Milliseconds.
    static constexpr Millis kMaxSlotTime = 2000;
    static constexpr Millis kInitialSlotTime = 100;  ///< first estimate of how long a slot is occupied
    static constexpr Millis kMinRetryAfter = 50;
    static constexpr Millis kMaxRetryAfter = 1000;  ///< a lease must not expire meanwhile
    static constexpr Millis kPendingExpiry = 2000;  ///< how long a gateway that does not retry is counted

    /// The gateway polled: its last reply has arrived.
    void release(Millis now, const std::string& gateway);
    /// Whether the gateway may be sent a large reply now. If not, it should retry after retryAfter().
    [[nodiscard]] bool admit(Millis now, const std::string& gateway);
    /// Retry delay in milliseconds, from the number of pending gateways and the average slot time.
    [[nodiscard]] Millis retryAfter() const;

    [[nodiscard]] std::size_t occupied() const { return occupied_.size(); }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    void expire(Millis now);
    void recordSlotTime(Millis duration);

    std::map<std::string, Millis> occupied_;  // since when, by gateway
    std::map<std::string, Millis> pending_;   // when last deferred, by gateway
    Millis slotTime_ = kInitialSlotTime;      // how long a slot is occupied, exponentially smoothed
};

}  // namespace beechpoint::control
