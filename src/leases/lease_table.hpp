// The gateways' leases as one control member knows them: a gateway's poll renews its lease at the member that it asks, and the
// members tell each other what they granted. Free of I/O; every call brings the time (monotonic, milliseconds).
//
// A lease runs `leaseMs` from its grant, by the granter's clock; a member that hears of it counts from its age as told, so
// it sees a lease end later by the delay of the message, never sooner. The count of live gateways is therefore rather too high
// than too low, as those need who divide a budget by it.
//
// What is known is not whole in the first `leaseMs` after the start and after a wake from a freeze: count() says nothing then.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::leases {

struct InstanceLoad {
    std::string instance;
    std::uint32_t inFlight = 0;
    bool operator==(const InstanceLoad&) const = default;
};

// What a gateway says of itself when it renews.
struct Gateway {
    std::string name;
    std::uint64_t session = 0;  // drawn at each start of its process
    std::string zone;
    std::string region;
    std::string frontAddress;  // IP:PORT for clients
    bool ready = false;
    bool draining = false;
    std::vector<InstanceLoad> load;  // its own requests under way, by host; may be empty
    bool operator==(const Gateway&) const = default;
};

// A lease as one member tells it to another.
struct ReportedLease {
    Gateway gateway;
    Millis age = 0;  // since it was granted
};

// A lease that the receiver was told whole before, granted anew. `id` stands for all that the gateway says of itself.
struct Renewal {
    std::uint64_t id = 0;
    std::uint32_t ageMs = 0;
    bool operator==(const Renewal&) const = default;
};

// Names what a gateway says of itself; another where any of it differs but for its load.
std::uint64_t idOf(const Gateway& gateway);

class LeaseTable {
public:
    struct Settings {
        Millis leaseMs = 3000;
        Millis windowMs = 10000;         // over which largestLive() looks back
        Millis lateWakeMs = 1000;        // longer between two looks: the process did not run
        std::size_t maxGateways = 1024;  // beyond, a new name is refused and counted
    };

    LeaseTable(Settings settings, Millis now);

    // A gateway asked this member. False where the table is full.
    bool renew(Millis now, Gateway gateway);
    // What another member granted. A grant older than the one known, of any session, changes nothing.
    void merge(Millis now, const std::vector<ReportedLease>& leases);
    // The live leases granted here, by name: what the other members are told again and again, so that no loss matters.
    std::vector<ReportedLease> granted(Millis now) const;
    // Those of them that were granted at or after `since`, and their ids.
    struct Granted {
        const Gateway* gateway;
        std::uint64_t id;
        Millis age;
    };
    std::vector<Granted> grantedSince(Millis since, Millis now) const;  // pointers hold until the next change
    // What another member renewed. Returns the ids that name no lease known here.
    std::vector<std::uint64_t> mergeRenewals(Millis now, const std::vector<Renewal>& renewals);
    // To be called every few hundred ms: ends leases, notes the count, notices a late wake.
    void advanceTo(Millis now);

    std::vector<Gateway> live(Millis now) const;              // by name
    std::vector<ReportedLease> liveLeases(Millis now) const;  // the same, with their ages
    bool isLive(const std::string& name, Millis now) const { return find(name, now) != nullptr; }
    // What a gateway said last, while its lease runs; else nullptr. Holds until the next call that is not const.
    const Gateway* find(const std::string& name, Millis now) const;
    // How many gateways hold a lease; nothing while that is not known.
    std::optional<std::uint32_t> count(Millis now) const;
    // The largest count within the window; nothing while not known.
    std::optional<std::uint32_t> largestLive(Millis now) const;
    // Requests under way by host, summed over all live gateways but `except`.
    std::vector<InstanceLoad> loadOfOthers(Millis now, const std::string& except) const;

    std::size_t size() const { return leases_.size(); }
    std::uint64_t refused() const { return refused_; }

private:
    struct Lease {
        Gateway gateway;
        Millis grantedAt = 0;
        bool grantedHere = false;
        std::uint64_t id = 0;
    };
    struct Count {
        Millis until = 0;  // when it was last so
        std::uint32_t live = 0;
    };
    bool runs(const Lease& lease, Millis now) const { return now - lease.grantedAt < settings_.leaseMs; }
    bool known(Millis now) const { return now - wholeSince_ >= settings_.leaseMs; }
    std::uint32_t countLive(Millis now) const;
    void expire(Millis now);
    void note(Millis now);
    bool takeGrant(Lease& lease, Millis now, Millis grantedAt, bool here) const;
    bool put(Millis now, Gateway gateway, Millis grantedAt, bool here);

    Settings settings_;
    std::map<std::string, Lease> leases_;
    std::unordered_map<std::uint64_t, std::string> names_;  // by id, of all leases
    std::deque<Count> counts_;                              // falling: each is the largest from then on
    Millis wholeSince_;
    Millis lookedAt_;
    std::uint64_t refused_ = 0;
};

}  // namespace beechpoint::leases
