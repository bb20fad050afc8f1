// What the program takes in, sends and answers, counted. One table names each: the printed form and the SNMP
// agent's objects both follow it, so its order is part of the MIB: add at the end only.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace beechpoint {

enum class Counter : std::size_t {
    queriesTaken,
    partsTaken,
    answeredWhole,
    answeredShort,
    refused,
    failed,
    clientsGone,
    refusedAtCap,
    badRequests,
    attemptsSent,
    attemptsServed,
    attemptsError,
    attemptsTurnedAway,
    attemptsTimedOut,
    attemptsNoConnection,
    attemptsConnectionLost,
    attemptsCancelled,
    attemptsNotSent,
    probesSent,
    lateFrames,
    badFrames,
    dials,
    dialsFailed,
    listUpdates,
    badListUpdates,
    watchesBroken,
    snmpRequests,
    snmpDropped,
    extraBytes,
    silentConnections,
    attemptsWritten,
    probesSpared,
    groupSent,
    groupReceived,
    groupRefused,
    groupLeaderChanges,
    groupDutiesTaken,
    groupDutiesEnded,
    groupPresenceChanges,
    groupConflicts,
    goneBeforeSent,
    goneAfterSent,
    connectionsClogged,
    clientsFarAhead,
    configsUnreadable,
    callsTakenOver,
    dialsBeside,
    count
};

inline constexpr std::size_t kCounters = static_cast<std::size_t>(Counter::count);

inline constexpr std::array<std::string_view, kCounters> kCounterNames = {
    "queriesTaken",
    "partsTaken",
    "answeredWhole",
    "answeredShort",
    "refused",
    "failed",
    "clientsGone",
    "refusedAtCap",
    "badRequests",
    "attemptsSent",
    "attemptsServed",
    "attemptsError",
    "attemptsTurnedAway",
    "attemptsTimedOut",
    "attemptsNoConnection",
    "attemptsConnectionLost",
    "attemptsCancelled",
    "attemptsNotSent",
    "probesSent",
    "lateFrames",
    "badFrames",
    "dials",
    "dialsFailed",
    "listUpdates",
    "badListUpdates",
    "watchesBroken",
    "snmpRequests",
    "snmpDropped",
    "extraBytes",
    "silentConnections",
    "attemptsWritten",
    "probesSpared",
    "groupSent",
    "groupReceived",
    "groupRefused",
    "groupLeaderChanges",
    "groupDutiesTaken",
    "groupDutiesEnded",
    "groupPresenceChanges",
    "groupConflicts",
    "goneBeforeSent",
    "goneAfterSent",
    "connectionsClogged",
    "clientsFarAhead",
    "configsUnreadable",
    "callsTakenOver",
    "dialsBeside",
};

class Counters {
public:
    void add(Counter which) { ++values_[static_cast<std::size_t>(which)]; }
    void add(Counter which, std::uint64_t more) { values_[static_cast<std::size_t>(which)] += more; }
    std::uint64_t get(Counter which) const { return values_[static_cast<std::size_t>(which)]; }
    std::uint64_t at(std::size_t index) const { return values_.at(index); }
    std::string line() const {  // name=value pairs, zeros left out
        std::string text;
        for (std::size_t i = 0; i < kCounters; ++i) {
            if (values_[i] == 0) continue;
            if (!text.empty()) text += ' ';
            text.append(kCounterNames[i]).append("=").append(std::to_string(values_[i]));
        }
        return text;
    }

private:
    std::array<std::uint64_t, kCounters> values_{};
};

}  // namespace beechpoint
