/// The gateways' leases (Gray and Cheriton, 1989) as one control member knows them. A gateway's poll renews its lease at the
/// member that it asks, and the members report to each other what they granted, so that each has all leases.
///
/// Not here: messages, timers and logs (control/gateway_service_state), and the leases of singleton roles (lease_sessions/).
///
/// Time: free of I/O; every call brings the time `now` (monotonic, milliseconds, the same clock in all calls).
///   A lease runs for `leaseMs` from its grant by the granter's clock. A member that receives a report counts from the age in
///   the report, so it sees the lease end later than the granter does, by the delay of the message, and never sooner.
///   Invariant: the count of live gateways errs on the high side only. Whoever divides a budget by it stays within the budget.
///
/// Completeness: in the first `leaseMs` after the start, and after a pause of the process (its leases ran out meanwhile,
///   whether or not the gateways renewed them elsewhere), a live gateway may be missing here. liveCount() and peakLiveCount() are
///   empty until then.
///
/// Ownership and threads: owns its leases; one thread uses it at a time, there is no lock.
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

/// A gateway's requests in flight at one host.
struct InstanceLoad {
    std::string instance;
    std::uint32_t inFlight = 0;
    bool operator==(const InstanceLoad&) const = default;
};

/// What a gateway reports of itself when it renews its lease.
struct Gateway {
    std::string name;
    std::uint64_t session = 0;  ///< drawn at each start of its process
    std::string zone;
    std::string region;
    std::string frontAddress;  ///< IP:PORT for clients
    bool ready = false;
    bool draining = false;
    std::vector<InstanceLoad> load;  ///< its own requests in flight, by host; may be empty
    bool operator==(const Gateway&) const = default;
};

/// A lease as one member reports it to another.
struct ReportedLease {
    Gateway gateway;
    Millis age = 0;  ///< since its grant
};

/// A renewal of a lease that was reported in full before: the id stands for all that the gateway reports of itself, so that
/// the regular exchange between members stays small.
struct Renewal {
    std::uint64_t id = 0;     ///< registrationId() the gateway
    std::uint32_t ageMs = 0;  ///< since the renewal
    bool operator==(const Renewal&) const = default;
};

/// Hash of all that a gateway reports of itself but its load.
[[nodiscard]] std::uint64_t registrationId(const Gateway& gateway);

class LeaseTable {
public:
    struct Settings {
        Millis leaseMs = 3000;
        Millis peakWindowMs = 10000;  ///< over which peakLiveCount() takes its maximum
        Millis maxAdvanceGapMs =
            1000;  ///< a longer time between two calls means that the process did not run
        std::size_t maxGateways = 1024;  ///< at this size a further name is rejected and counted
    };

    LeaseTable(Settings settings, Millis now);

    /// A gateway polled this member: grants or renews its lease. False where the table is full.
    bool renew(Millis now, Gateway gateway);

    /// What another member granted. A grant older than the one known, of any session, changes nothing.
    void merge(Millis now, const std::vector<ReportedLease>& leases);

    /// What another member renewed. Returns the ids that name no lease known here: they have to be reported in full.
    [[nodiscard]] std::vector<std::uint64_t> mergeRenewals(Millis now, const std::vector<Renewal>& renewals);

    /// To be called every few hundred ms (less than `maxAdvanceGapMs`): expires leases, records the count, notices a late wake.
    void advanceTo(Millis now);

    /// The live leases granted here, by name. All of them are reported each time, so that a lost report does no harm.
    [[nodiscard]] std::vector<ReportedLease> grantedLeases(Millis now) const;

    /// A lease granted here; the pointer is valid until the next call that is not const.
    struct GrantedLease {
        const Gateway* gateway;
        std::uint64_t id;
        Millis age;
    };
    /// Those of grantedLeases() whose grant or renewal is of `since` or later, by name.
    [[nodiscard]] std::vector<GrantedLease> leasesGrantedSince(Millis since, Millis now) const;

    /// The gateways whose lease runs, by name.
    [[nodiscard]] std::vector<Gateway> liveGateways(Millis now) const;
    /// The same with the ages of their leases.
    [[nodiscard]] std::vector<ReportedLease> liveLeases(Millis now) const;
    [[nodiscard]] bool isLive(const std::string& name, Millis now) const {
        return find(name, now) != nullptr;
    }
    /// What a gateway reported last, while its lease runs; else nullptr. Valid until the next call that is not const.
    [[nodiscard]] const Gateway* find(const std::string& name, Millis now) const;

    /// How many gateways have a lease; nothing while leases may be missing here.
    [[nodiscard]] std::optional<std::uint32_t> liveCount(Millis now) const;
    /// The largest count within `peakWindowMs`; nothing while leases may be missing here.
    [[nodiscard]] std::optional<std::uint32_t> peakLiveCount(Millis now) const;
    /// Requests in flight by host, summed over all live gateways but `except`; by host name.
    [[nodiscard]] std::vector<InstanceLoad> loadOfOthers(Millis now, const std::string& except) const;

    [[nodiscard]] std::size_t size() const { return leases_.size(); }
    /// Grants rejected since the start because the table was full.
    [[nodiscard]] std::uint64_t rejectedGrants() const { return rejectedGrants_; }

private:
    enum class Granter { thisMember, otherMember };

    struct Lease {
        Gateway gateway;
        Millis grantedAt = 0;
        bool grantedHere = false;
        std::uint64_t id = 0;  // 0 until the first grant is accepted
    };
    struct Count {
        Millis until = 0;  // the last time at which it was so
        std::uint32_t live = 0;
    };

    bool isUnexpired(const Lease& lease, Millis now) const {
        return now - lease.grantedAt < settings_.leaseMs;
    }
    bool isComplete(Millis now) const { return now - incompleteSince_ >= settings_.leaseMs; }
    std::uint32_t countLive(Millis now) const;
    void expire(Millis now);
    void recordCount(Millis now);
    Lease* findOrAdd(const std::string& name);
    bool updateGrant(Lease& lease, Millis now, Millis grantedAt, Granter granter) const;
    bool storeGrant(Millis now, Gateway gateway, Millis grantedAt, Granter granter);

    Settings settings_;
    std::map<std::string, Lease> leases_;                   // by gateway's name
    std::unordered_map<std::uint64_t, std::string> names_;  // by id, of all leases
    // Live counts of the window, falling: each is the largest from its time on, so the front is the window's maximum.
    std::deque<Count> counts_;
    Millis incompleteSince_;  // the start, or the last late wake
    Millis lastAdvance_;
    std::uint64_t rejectedGrants_ = 0;
};

}  // namespace beechpoint::leases
