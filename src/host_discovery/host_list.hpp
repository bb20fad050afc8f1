// The platform's list of hosts as a value, and the rule by which one copy of it replaces another. Free of I/O.
//
// A list is read by one holder of a duty at a time, under a fence, and spread from there; a gateway that hears of no
// control member reads it by itself. Each copy carries the moment of its reading on the owner's own monotonic clock, so its
// age is known everywhere. A list that can't be read takes nobody out: the copy held stays, older by the moment.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::host_discovery {

enum class HostState : std::uint8_t { serving = 0, draining = 1 };

struct Model {
    std::string name;
    std::int64_t revision = 0;
    std::vector<std::string> adapters;
    bool operator==(const Model&) const = default;
};

// One host of the list. Times that are left count from the reading of the list (HostList::readAt).
struct Host {
    std::string instanceId;
    std::string service;  // `backend` on the wire
    std::string address;  // IP:PORT
    std::string zone;
    std::string revision;  // of its software
    std::uint32_t capacity = 0;
    HostState state = HostState::serving;
    Millis warmupLeft = 0;
    std::optional<Millis> remaining;  // a host withdrawn at short notice: until it is gone
    std::string phase;
    std::vector<Model> models;
    bool operator==(const Host&) const = default;
};

// Names one state of the list. `fence` is the epoch of the view under which the reader held the duty (0: a gateway that
// read by itself), `number` counts the states seen, `reader` tells two readers under one fence apart.
struct HostListVersion {
    std::uint64_t fencingToken = 0;
    std::uint64_t number = 0;
    std::uint64_t reader = 0;
    auto operator<=>(const HostListVersion&) const = default;
};

struct HostList {
    HostListVersion version;
    Millis readAt =
        0;  // when the call for its first page was sent; later readings may have confirmed it since
    std::vector<Host> hosts;  // by instanceId
};

// Whether both say the same, warm-up and remaining time compared as moments within `tolerance`.
bool sameHosts(const HostList& one, const HostList& other, Millis tolerance);

// Holds the newest list known to a process and decides what replaces it.
class NewestHostList {
public:
    static constexpr Millis kStale = 3000;  // a list unconfirmed for so long gives way to any that is younger

    // A list, confirmed at `confirmedAt` (own clock), is offered. True where it is taken.
    bool offer(std::shared_ptr<const HostList> list, Millis confirmedAt, Millis now);
    // The list of that version was found unchanged at `confirmedAt`. True where it is the one held.
    bool confirm(const HostListVersion& version, Millis confirmedAt);

    const std::shared_ptr<const HostList>& list() const { return list_; }  // null: none known
    HostListVersion version() const { return list_ ? list_->version : HostListVersion{}; }
    Millis confirmedAt() const { return confirmedAt_; }
    // Since the last reading that gave or confirmed the list; nothing where none is known.
    std::optional<Millis> age(Millis now) const;

private:
    std::shared_ptr<const HostList> list_;
    Millis confirmedAt_ = 0;
};

}  // namespace beechpoint::host_discovery
