/// Gateway leases (Gray and Cheriton, 1989) as replicated on one control member. A gateway's poll renews its lease at
/// the member it polls, and the members report their grants to each other, so that each member has all leases.
///
/// Out of scope: messages, timers and logs (control/gateway_service_state), and the leases of singleton roles (lease_sessions/).
///
/// Time: performs no I/O; every call takes the time `now` (monotonic, milliseconds, the same clock in all calls).
///   A lease lasts `leaseMs` from its grant on the granter's clock. A member that receives a report starts from the
///   reported age, so for it the lease expires later than for the granter, by the message delay, and never earlier.
///   Invariant: the count of live gateways may be too high but never too low, so a budget divided by it is not exceeded.
///
/// Completeness: during the first `leaseMs` after the start, and after a suspension of the process (its leases expired
///   meanwhile even if the gateways renewed them at other members), a live gateway may be missing here. liveCount() and peakLiveCount() are
///   empty until then.
///
/// Owns its leases. Not thread-safe.
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

/// State that a gateway reports when it renews its lease.
struct Gateway {
    std::string name;
    std::uint64_t session = 0;  ///< random, drawn at each process start
    std::string zone;
    std::string region;
    std::string frontAddress;  ///< IP:PORT for clients
    bool ready = false;
    bool draining = false;
    std::vector<InstanceLoad> load;  ///< the gateway's own requests in flight per host; may be empty
    bool operator==(const Gateway&) const = default;
};

/// A lease as one member reports it to another.
struct ReportedLease {
    Gateway gateway;
    Millis age = 0;  ///< since its grant
};

/// Renewal of a lease that was reported in full earlier. The id identifies everything the gateway reported, which keeps
/// the periodic exchange between members small.
struct Renewal {
    std::uint64_t id = 0;     ///< registrationId() of the gateway
    std::uint32_t ageMs = 0;  ///< since the renewal
    bool operator==(const Renewal&) const = default;
};

/// Hash of everything that a gateway reports except its load.
[[nodiscard]] std::uint64_t registrationId(const Gateway& gateway);

/// Leases of all gateways, with the current and the peak number of live gateways.
class LeaseTable {
public:
    struct Settings {
        Millis leaseMs = 3000;
        Millis peakWindowMs = 10000;     ///< over which peakLiveCount() takes its maximum
        Millis maxAdvanceGapMs = 1000;   ///< a longer gap between two calls means the process was suspended
        std::size_t maxGateways = 1024;  ///< further names are rejected and counted
    };

    LeaseTable(Settings settings, Millis now);

    /// Grants or renews the lease of a gateway that polled this member. Returns false if the table is full.
    bool renew(Millis now, Gateway gateway);

    /// Merges leases granted by another member. A grant older than the stored one, of any session, is ignored.
    void merge(Millis now, const std::vector<ReportedLease>& leases);

    /// Merges renewals by another member. Returns the ids of unknown leases, which must be reported in full.
    [[nodiscard]] std::vector<std::uint64_t> mergeRenewals(Millis now, const std::vector<Renewal>& renewals);

    /// To be called every few hundred ms (less than `maxAdvanceGapMs`): expires leases, records the count, detects a
    /// suspension of the process.
    void advanceTo(Millis now);

    /// Live leases granted by this member, sorted by name. Every report contains all of them, so a lost report is harmless.
    [[nodiscard]] std::vector<ReportedLease> grantedLeases(Millis now) const;

    /// A lease granted by this member. The pointer is valid until the next non-const call.
    struct GrantedLease {
        const Gateway* gateway;
        std::uint64_t id;
        Millis age;
    };
    /// The subset of grantedLeases() granted or renewed at `since` or later, sorted by name.
    [[nodiscard]] std::vector<GrantedLease> leasesGrantedSince(Millis since, Millis now) const;

    /// Gateways with an unexpired lease, sorted by name.
    [[nodiscard]] std::vector<Gateway> liveGateways(Millis now) const;
    /// liveGateways() with the ages of their leases.
    [[nodiscard]] std::vector<ReportedLease> liveLeases(Millis now) const;
    [[nodiscard]] bool isLive(const std::string& name, Millis now) const {
        return find(name, now) != nullptr;
    }
    /// Last report of a gateway, or nullptr if it has no unexpired lease. Valid until the next non-const call.
    [[nodiscard]] const Gateway* find(const std::string& name, Millis now) const;

    /// Number of live gateways; nullopt while leases may be missing here.
    [[nodiscard]] std::optional<std::uint32_t> liveCount(Millis now) const;
    /// Highest number of live gateways within `peakWindowMs`; nullopt while leases may be missing here.
    [[nodiscard]] std::optional<std::uint32_t> peakLiveCount(Millis now) const;
    /// Requests in flight per host, summed over all live gateways except `except`; sorted by host name.
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
        Millis until = 0;  // last time at which the count applied
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
    // Decreasing live counts of the window: each is the maximum from its time on, and the front is the window's maximum.
    std::deque<Count> counts_;
    Millis incompleteSince_;  // the start, or the end of the last suspension
    Millis lastAdvance_;
    std::uint64_t rejectedGrants_ = 0;
};

}  // namespace beechpoint::leases
