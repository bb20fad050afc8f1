// Drives a dispatcher in virtual time and records its actions.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.hpp"

namespace beechpoint::dispatch {

inline Host makeHost(const std::string& name, const std::string& service = "svc",
                     const std::string& region = "north", const std::string& zone = "north-1") {
    Host host;
    host.instanceId = name;
    host.service = service;
    host.address = name + ":80";
    host.zone = zone;
    host.region = region;
    host.capacity = 8;
    return host;
}

inline Service makeService(const std::string& name, double warmupS = 0, double warmupPerS = 0,
                           bool engine = false) {
    Service service;
    service.name = name;
    service.warmupS = warmupS;
    service.warmupPerS = warmupPerS;
    service.engine = engine;
    return service;
}

inline Settings testSettings() {
    Settings settings;
    settings.region = "north";
    settings.zone = "north-1";
    settings.retryBudgetSlack = 1000;
    settings.warmupSlack = 5;
    return settings;
}

class Harness {
public:
    explicit Harness(Settings settings = testSettings(), std::uint64_t seed = 1)
        : now(1000000), dispatcher(std::move(settings), seed, now) {}

    // Passes an event to the dispatcher and returns its actions.
    std::vector<Action> handle(const Event& event) {
        std::vector<Action> actions;
        dispatcher.handle(now, event, actions);
        for (const Action& action : actions)
            if (const auto* timer = std::get_if<SetTimer>(&action)) timerAt = timer->at;
        all.insert(all.end(), actions.begin(), actions.end());
        return actions;
    }
    // Advances the virtual time, with a Tick whenever one was requested.
    std::vector<Action> advance(Millis span) {
        std::vector<Action> actions;
        const Millis end = now + span;
        while (timerAt > 0 && timerAt <= end) {
            now = std::max(now, timerAt);
            timerAt = 0;
            const std::vector<Action> more = handle(Tick{});
            actions.insert(actions.end(), more.begin(), more.end());
        }
        now = end;
        return actions;
    }
    void start(const std::vector<Host>& hosts, const std::vector<Service>& services, int gateways = 1) {
        handle(ServiceList{services});
        handle(Fleet{gateways, true, 0});
        handle(HostList{hosts});
        advance(2000);  // past the span in which sends of a previous process count
    }
    RequestArrived request(RequestType type = RequestType::idempotent) {
        RequestArrived arrived;
        arrived.id = ++lastId;
        arrived.route = "route";
        arrived.services = {{"svc", 1}};
        arrived.type = type;
        arrived.timeout = 2000;
        arrived.latencyTarget = 300;
        arrived.deadline = 2000;
        arrived.maxAttempts = 3;
        return arrived;
    }
    std::vector<Action> head(RequestId id, int attempt, int status = 200, bool rejected = false) {
        AttemptHead head;
        head.id = id;
        head.attempt = attempt;
        head.status = status;
        head.rejected = rejected;
        head.bodyBytes = 100;
        return handle(head);
    }
    std::vector<Action> ended(RequestId id, int attempt, Outcome outcome,
                              const std::string& lastEventId = {}) {
        return handle(AttemptEnded{id, attempt, outcome, lastEventId, 0});
    }
    // Passes the events of a complete usable answer.
    std::vector<Action> serve(RequestId id, int attempt) {
        std::vector<Action> actions = head(id, attempt);
        for (const std::vector<Action>& more :
             {handle(AttemptFirstByte{id, attempt}), ended(id, attempt, Outcome::served)})
            actions.insert(actions.end(), more.begin(), more.end());
        return actions;
    }

    Millis now;
    Millis timerAt = 0;
    RequestId lastId = 0;
    Dispatcher dispatcher;
    std::vector<Action> all;
};

// The actions of type T.
template <class T>
std::vector<T> actionsOf(const std::vector<Action>& actions) {
    std::vector<T> result;
    for (const Action& action : actions)
        if (const T* one = std::get_if<T>(&action)) result.push_back(*one);
    return result;
}

}  // namespace beechpoint::dispatch
