/// The memory budget of a process's client connections, shared by all of its HTTP servers: carries out what MemoryBudget decides, and
/// counts it. Called from the event loop's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/metrics_text.hpp"
#include "net/memory_budget.hpp"

namespace beechpoint::net {

/// How often the budget was kept by refusing or closing, since the process's start.
struct OverloadCounts {
    std::uint64_t refusedRequests =
        0;  ///< 503 (HttpLimits::overloadStatus): they did not fit, or were freed before they were whole
    std::uint64_t droppedAhead = 0;   ///< connections whose bytes sent ahead were dropped
    std::uint64_t closedAnswers = 0;  ///< connections closed with an answer that their client did not read
};

/// Each count with its name on the metrics pages.
[[nodiscard]] std::vector<LabelledFigure> overloadFigures(const OverloadCounts& counts);

/// Shares of `memory_mb` that clients may fill. The rest is for the program itself.
struct ConnectionMemory {
    std::size_t heldBytes = MemoryBudget::kUnlimited;  ///< the limit of the budget
    std::size_t unreadBytes =
        0;  ///< that may wait in the sockets of all connections together; 0: not bounded

    /// Of a process that may take so much memory.
    static ConnectionMemory of(std::int64_t memoryMb);
    /// The connections among which `unreadBytes` can be divided; no more may be open.
    [[nodiscard]] std::size_t mostConnections() const;
    /// SO_RCVBUF of each connection, so that all of these together keep to `unreadBytes`; 0: the system's default.
    [[nodiscard]] int receiveBuffer(std::size_t connections) const;
};

class ConnectionBudget {
public:
    using AccountId = MemoryBudget::AccountId;

    /// Whoever holds the bytes of an account.
    class Owner {
    public:
        virtual ~Owner() = default;
        /// Frees the bytes that it holds by MemoryBudget::Holding::use, and records what is left by hold().
        virtual void freeMemory() = 0;
    };

    explicit ConnectionBudget(std::size_t limit = MemoryBudget::kUnlimited) : budget_(limit) {}
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    /// `owner` must live until close().
    [[nodiscard]] AccountId open(Owner& owner);
    void close(AccountId id);
    void hold(AccountId id, const MemoryBudget::Holding& holding) { budget_.hold(id, holding); }

    /// Whether the account may hold `more` bytes; others have been freed for it where needed. False: it has to give up.
    [[nodiscard]] bool grow(AccountId id, std::size_t more, Millis now);
    /// Whether it may take a request in hand that pins `bytes`.
    [[nodiscard]] bool admit(AccountId id, std::size_t bytes, Millis now);

    [[nodiscard]] const MemoryBudget& state() const { return budget_; }
    [[nodiscard]] const OverloadCounts& counts() const { return counts_; }
    OverloadCounts& counts() { return counts_; }

private:
    bool carryOut(const MemoryBudget::Decision& decision);

    MemoryBudget budget_;
    std::unordered_map<AccountId, Owner*> owners_;
    OverloadCounts counts_;
};

}  // namespace beechpoint::net
