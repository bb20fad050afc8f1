// Admission of large answers at a control member: so many gateways at a time are sent one, the others are told at once when to come back.
// A slot is held until the gateway asks again, which says that the answer has arrived, or for kMaxSlotTime: a gateway that is gone must not keep it.
// The bytes under way are thereby bounded whatever the number of gateways, and the rate follows what the links carry. Free of I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::control {

class TransferSlots {
public:
    static constexpr std::size_t kSlots = 8;
    static constexpr Millis kMaxSlotTime = 2000;
    static constexpr Millis kFirstGuess = 100;  // of how long a slot is held
    static constexpr Millis kMinRetryAfter = 50;
    static constexpr Millis kMaxRetryAfter = 1000;  // a lease must not end meanwhile
    static constexpr Millis kPendingMemory = 2000;  // one told to come back counts so long
    static constexpr std::size_t kMaxPending = 1024;

    // The gateway asks: what it was sent has arrived.
    void release(Millis now, const std::string& gateway);
    // Whether the gateway may be sent a large answer now. Where not it is to come back after retryAfter().
    bool admit(Millis now, const std::string& gateway);
    Millis retryAfter() const;

    std::size_t held() const { return held_.size(); }
    std::size_t pending() const { return pending_.size(); }

private:
    void expire(Millis now);
    void learn(Millis duration);

    std::map<std::string, Millis> held_;     // since when, by gateway
    std::map<std::string, Millis> pending_;  // when last told to come back, by gateway
    Millis duration_ = kFirstGuess;          // how long a slot is held, smoothed
};

}  // namespace beechpoint::control
