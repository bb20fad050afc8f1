// The decisions of a gateway about all its requests: which host, how many copies, where a failed attempt goes next,
// what is refused. The retry design (src/coordinator) decides on the ordinary path; budgets, cold hosts, evacuations, homes
// and admission bound it. No I/O, clock, thread or randomness but the seed: the same seed and events give the same
// actions. Not thread-safe.
//
// A request's states, and what ends each:
//   waiting   no host may take it now      -> sent; refused after a quarter of its aim
//   sent      attempts are out             -> relayed; next host; refused (never ran); failed (502, 504)
//   relayed   an answer goes to the client -> ended with it; resumed elsewhere; broken off
// A final action (Reject, Fail, AbortResponse) or the end of a relayed answer ends the request; attempts still out are
// cancelled, and their ends only teach. Events about requests that are over are normal.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/mechanisms.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

// In shares of a mean request's worth.
struct Prices {
    double sharedRead = 0.14;  // of a thousand shared prompt tokens that are read again
    double crossRegion = 4.0;  // of a million bytes between regions
    double crossZone = 8.0;    // of a million bytes between zones
};

// The deployment's bounds.
struct Settings {
    std::string region;  // this gateway's own
    std::string zone;
    double retryBudgetRatio = 0.2;
    Millis retryWindow = 10000;
    double retryBudgetSlack = 0;
    double warmupOvershoot = 1.5;
    double warmupSlack = 0;
    Prices prices;
    Millis crossRegionDelay = 24;     // there and back
    std::size_t maxRequests = 20000;  // held at once; beyond it requests are refused
    Mechanisms mechanisms;
};

class Dispatcher {
public:
    Dispatcher(Settings settings, std::uint64_t seed, Millis now);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    // Appends what to do to `out`, in order. Times never go back.
    void handle(Millis now, const Event& event, std::vector<Action>& out);

    std::size_t requestCount() const;      // requests held
    std::size_t attemptsInFlight() const;  // attempts whose end is owed
    std::size_t hostSlotCount() const;     // places of the host table in use or spare

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace beechpoint::dispatch
