/// A request that the dispatcher works on, and its attempts. Plain data with questions about it; the decisions are made
/// by AttemptSender, InitialSend, Failover, OverdueAttempts and RequestCompletion.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/prefix_affinity.hpp"

namespace beechpoint::dispatch {

struct Attempt {
    int host = 0;          ///< index in the host table, valid while in flight
    std::string instance;  ///< id of the host's instance
    Millis sentAt = 0;
    double expectedS = 0;  ///< seconds to the first event, as predicted when it was sent
    int status = 0;        ///< of the head; 0: none yet
    bool inFlight = true;  ///< its AttemptEnded has not come
    bool cancelled = false;
    bool mayHaveRun = true;
    bool mayHaveArrived = true;
    bool misdirected = false;  ///< another instance was at the address: the addressed one has ended
    bool firstByte = false;
    bool unusable = false;  ///< its head is no proper answer
};

struct Request {
    RequestArrived arrival;
    std::string service;  ///< the one that was drawn; empty: none
    SharedPrefix shared;
    double promptTokens = 0;
    double bytes = 0;  ///< both ways, as guessed at arrival
    Millis arrivedAt = 0;
    Millis latencyTargetAt = 0;
    Millis deadlineAt = 0;

    std::vector<Attempt> attempts;        ///< by their number
    int width = 1;                        ///< hosts that it was sent to at once
    bool failsOverIndependently = false;  ///< with a width above 1: each attempt fails over by itself
    bool pending = false;                 ///< waits for a host that may take it
    Millis pendingUntil = 0;              ///< while pending: it is given up then
    bool open = false;                    ///< the client has a head
    int relayed = -1;                     ///< number of the attempt whose answer goes to the client; -1: none
    std::string lastEventId;              ///< of a relayed stream: the last event that the client has

    [[nodiscard]] Attempt& attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
    [[nodiscard]] const Attempt& attempt(int number) const {
        return attempts[static_cast<std::size_t>(number)];
    }
    [[nodiscard]] bool streaming() const { return arrival.type == RequestType::streaming; }
    [[nodiscard]] bool resumable() const { return streaming() && arrival.resumable; }
    /// May run twice (RFC 9110, 9.2.2).
    [[nodiscard]] bool idempotent() const { return arrival.type == RequestType::idempotent || resumable(); }
    /// Whether a second attempt may be in flight beside the first.
    [[nodiscard]] bool hedgingAllowed() const { return idempotent() && !open; }
    [[nodiscard]] int inFlightCount() const;
    /// Attempts that reached a host, as far as is known. Hosts that had ended when the attempt came do not count.
    [[nodiscard]] int hostsUsed() const;
    /// Whether an attempt may have arrived anywhere, at the addressed host or another: a further one is a retry.
    [[nodiscard]] bool mayHaveArrived() const;
    /// Whether any attempt may have run at its host.
    [[nodiscard]] bool mayHaveRun() const;
    [[nodiscard]] bool triedAt(const std::string& instance) const;
    [[nodiscard]] bool inFlightAt(const std::string& instance) const;
};

/// No host may take the request now: it becomes pending, for at most maxPendingTime(). Nothing where it is already.
void awaitHost(Request& request, Millis now);

}  // namespace beechpoint::dispatch
