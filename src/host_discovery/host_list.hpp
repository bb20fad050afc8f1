/// The platform's host list as a value, and the rule by which one copy of it replaces another. Free of I/O.
///
/// A list is read by the holder of a lease, under its fencing token, and sent on from there; a gateway that reaches no control
/// member reads it by itself. Each copy carries the time of its reading on its owner's own monotonic clock, so its age is known
/// everywhere. A list that can't be read removes no host: the last copy stays in use and gets older.
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

/// One host of the list. Remaining times count from the reading of the list (HostList::readAt).
struct Host {
    std::string instanceId;
    std::string service;  ///< `backend` on the wire
    std::string address;  ///< IP:PORT
    std::string zone;
    std::string revision;  ///< of its software
    std::uint32_t capacity = 0;
    HostState state = HostState::serving;
    Millis warmupLeft = 0;
    std::optional<Millis> remaining;  ///< a host withdrawn at short notice: until it ends
    std::string phase;
    std::vector<Model> models;
    bool operator==(const Host&) const = default;
};

/// Names one version of the list. `fencingToken` is the epoch of the view under which the reader had the lease (0: a gateway that
/// read by itself), `number` counts the versions seen, `reader` tells two readers under one fencing token apart.
struct HostListVersion {
    std::uint64_t fencingToken = 0;
    std::uint64_t number = 0;
    std::uint64_t reader = 0;
    auto operator<=>(const HostListVersion&) const = default;
};

struct HostList {
    HostListVersion version;
    /// When the call for its first page was sent; later readings may have confirmed it since.
    Millis readAt = 0;
    std::vector<Host> hosts;  ///< by instanceId
};

/// Whether both say the same, warm-up and remaining time compared as moments within `tolerance`.
[[nodiscard]] bool sameHosts(const HostList& one, const HostList& other, Millis tolerance);

/// The newest list known to a process; decides what replaces it. Not thread-safe; the lists that it gives never change.
class NewestHostList {
public:
    static constexpr Millis kStale =
        3000;  ///< a list unconfirmed for so long is replaced by any that is younger

    /// A list, confirmed at `confirmedAt` (own clock). True where it is the newest from now on.
    bool offer(std::shared_ptr<const HostList> list, Millis confirmedAt, Millis now);
    /// The list of that version was found unchanged at `confirmedAt`. True where it is this one.
    bool confirm(const HostListVersion& version, Millis confirmedAt);

    /// Null: none known.
    [[nodiscard]] const std::shared_ptr<const HostList>& list() const { return list_; }
    [[nodiscard]] HostListVersion version() const { return list_ ? list_->version : HostListVersion{}; }
    [[nodiscard]] Millis confirmedAt() const { return confirmedAt_; }
    /// Since the last reading that gave or confirmed the list; nothing where none is known.
    [[nodiscard]] std::optional<Millis> age(Millis now) const;

private:
    std::shared_ptr<const HostList> list_;
    Millis confirmedAt_ = 0;
};

}  // namespace beechpoint::host_discovery
