/// One budget of memory for all client connections of a process: who may hold how many bytes, and whose are freed first where there
/// is no room. It decides only: free of I/O and of clocks. Modelled on the resource monitors and overload actions of Envoy's
/// overload manager.
///
/// An account is one connection. It holds bytes that may be freed early (`MemoryUse`), and pinned bytes of the request in hand, which
/// stay until that has ended. Where a growing account does not fit, accounts are freed by their cost, the highest first: bytes times the
/// time for which they have been held. A client that stops short of its end so loses to one that gets on, and many small ones stay.
///
/// Pinned bytes can't be freed, so a request is admitted only if its bytes take at most half of what other requests leave: large
/// requests are refused long before small ones (dynamic thresholds; Choudhury and Hahne, 1998).
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::net {

/// What an account's bytes that may be freed are for, and so what freeing them means.
enum class MemoryUse {
    partialRequest,  ///< a request that has not come whole: it is refused, it has not run
    requestAhead,  ///< bytes behind a request in hand: they are dropped, the connection ends with the answer
    queuedAnswer,  ///< an answer that waits for its client: the connection is closed
    inUse,         ///< none of it may be freed now
};

class MemoryBudget {
public:
    using AccountId = std::uint64_t;

    static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

    struct Holding {
        MemoryUse use = MemoryUse::partialRequest;
        std::size_t bytes = 0;   ///< that may be freed, by `use`
        std::size_t pinned = 0;  ///< of the request in hand
        Millis since = 0;        ///< when `use` began, or last got on
    };

    /// What is to be done so that an account may grow.
    struct Decision {
        bool granted = true;            ///< false: the account itself has to give up
        std::vector<AccountId> toFree;  ///< before it grows, in this order; others only
    };

    /// @param limit bytes of all accounts together
    explicit MemoryBudget(std::size_t limit = kUnlimited) : limit_(limit) {}

    [[nodiscard]] AccountId open();
    void close(AccountId id);
    /// What the account holds from now on.
    void hold(AccountId id, const Holding& holding);

    /// Whether the account may hold `more` bytes beside all that it has now. Others are freed, too, where more is held than the limit allows.
    [[nodiscard]] Decision grow(AccountId id, std::size_t more, Millis now) const;
    /// Whether a request that pins `bytes` may be taken in hand by the account. Nothing is freed for it that `grow` would not free.
    [[nodiscard]] Decision admit(AccountId id, std::size_t bytes, Millis now) const;

    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t pinned() const { return pinned_; }

private:
    struct Candidate {
        double cost = 0;
        AccountId id = 0;
        std::size_t bytes = 0;
    };
    [[nodiscard]] std::vector<Candidate> candidates(AccountId growing, std::size_t more, Millis now) const;

    std::size_t limit_;
    std::size_t used_ = 0;  // pinned bytes included
    std::size_t pinned_ = 0;
    AccountId lastId_ = 0;
    std::unordered_map<AccountId, Holding> accounts_;
};

}  // namespace beechpoint::net
