/// A request and its attempts. Plain data with queries; decisions are made by AttemptSender, InitialSend,
/// Failover, OverdueAttempts and RequestCompletion.
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
    std::string instance;  ///< the host's instance id
    Millis sentAt = 0;
    double expectedS = 0;  ///< predicted seconds to the first event
    int status = 0;        ///< of the response head; 0: none yet
    bool inFlight = true;  ///< until its AttemptEnded
    bool cancelled = false;
    bool mayHaveRun = true;
    bool mayHaveArrived = true;
    bool misdirected = false;  ///< another instance is at the address; the addressed one has ended
    bool firstByte = false;
    bool unusable = false;  ///< its response head does not allow relaying the answer
};

struct Request {
    RequestArrived arrival;
    std::string service;  ///< drawn from the route's split; empty: none
    SharedPrefix shared;
    double promptTokens = 0;
    double bytes = 0;  ///< request and answer, estimated at arrival
    Millis arrivedAt = 0;
    Millis latencyTargetAt = 0;
    Millis deadlineAt = 0;

    std::vector<Attempt> attempts;        ///< by attempt number
    int width = 1;                        ///< number of parallel first attempts
    bool failsOverIndependently = false;  ///< if width > 1: each attempt fails over on its own
    bool pending = false;                 ///< waiting for a host that can take it
    Millis pendingUntil = 0;              ///< time at which a pending request is given up
    bool open = false;                    ///< the response head was relayed to the client
    int relayed = -1;                     ///< number of the attempt whose answer is relayed; -1: none
    std::string lastEventId;              ///< of a relayed stream: the last event relayed

    [[nodiscard]] Attempt& attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
    [[nodiscard]] const Attempt& attempt(int number) const {
        return attempts[static_cast<std::size_t>(number)];
    }
    [[nodiscard]] bool streaming() const { return arrival.type == RequestType::streaming; }
    [[nodiscard]] bool resumable() const { return streaming() && arrival.resumable; }
    /// Whether it may run more than once (RFC 9110, section 9.2.2).
    [[nodiscard]] bool idempotent() const { return arrival.type == RequestType::idempotent || resumable(); }
    /// Whether several attempts may be in flight at once.
    [[nodiscard]] bool hedgingAllowed() const { return idempotent() && !open; }
    [[nodiscard]] int inFlightCount() const;
    /// Attempts that may have reached their host. Attempts to instances that had already ended are not
    /// counted.
    [[nodiscard]] int hostsUsed() const;
    /// Whether an attempt may have reached any host, also another one than addressed: a further attempt is a
    /// retry.
    [[nodiscard]] bool mayHaveArrived() const;
    /// Whether any attempt may have run at its host.
    [[nodiscard]] bool mayHaveRun() const;
    [[nodiscard]] bool triedAt(const std::string& instance) const;
    [[nodiscard]] bool inFlightAt(const std::string& instance) const;
};

/// Makes the request pending for at most maxPendingTime(). No effect if it is already pending.
void awaitHost(Request& request, Millis now);

}  // namespace beechpoint::dispatch
