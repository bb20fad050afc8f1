/// One member of a group, free of I/O: Raft consensus, the session table, lease manager and lease client, membership and
/// host prober put together. Takes datagrams and time, returns datagrams. The driver (ClusterMember) owns the socket and the
/// folder; what must be persisted is durable before a datagram of the same step leaves. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gossip/datagram.hpp"
#include "gossip/membership.hpp"
#include "health_check/host_prober.hpp"
#include "lease_sessions/lease_client.hpp"
#include "lease_sessions/lease_manager.hpp"
#include "raft/raft_consensus.hpp"

namespace beechpoint::cluster {

// A member in session asks for the duties that there are to be, and again after so long for those that there are not yet:
// a request may end unknown.
inline constexpr Millis kDefineRolesInterval = 9000;

struct Options {
    std::string group = "gatherers";
    std::string self;
    std::vector<std::string> members;  // all, by name
    std::vector<std::string> voters;   // that a new group begins with
    bool holdsRoles = true;            // to hold duties
    raft::Options raft;
    lease_sessions::Times times;
    gossip::MembershipOptions membership;
    std::string proberDuty;  // whose holder looks at dead hosts for all; empty: each looks itself
    health_check::HostProberOptions prober;
};

struct Datagram {
    std::string to;
    std::string bytes;
};
struct Step {
    std::vector<Datagram> send;
    bool mustPersist = false;  // Core::kept() first
    std::vector<std::string> events;
    std::size_t presenceChanges = 0;
};

struct Traffic {
    std::uint64_t sent = 0, sentBytes = 0, received = 0, tooLong = 0, unreadable = 0;
    std::map<gossip::DropReason, std::uint64_t> refused;
};

class Core {
public:
    // `life`: new with each start, never 0. Throws std::invalid_argument for names or sets it can't work with.
    Core(Options options, raft::ProcessIncarnation processIncarnation, std::uint64_t seed, Millis now,
         const std::optional<raft::PersistentState>& kept = std::nullopt);

    void receive(Millis now, std::string_view bytes, Step& out);
    void advance(Millis now, Step& out);
    Millis nextDeadline() const;

    bool foundGroup(Millis now, std::uint64_t number, Step& out);
    bool changeVoters(Millis now, std::vector<std::string> voters, Step& out);
    // Stops acting on every duty at once and says so; resume() takes part again, unless it was for good.
    void leave(Millis now, Step& out, bool forGood = true);
    void resume(Millis now, Step& out);

    // A look at a host that is avoided: whether the holder's word that it is away stands for it; else it is to be looked at,
    // and saw() tells how that ended.
    bool isTakenAsUnreachable(Millis now, const std::string& host, Step& out);
    void recordProbe(Millis now, const std::string& host, bool there) {
        prober_.recordProbe(now, host, there);
    }

    const health_check::HostProber& prober() const { return prober_; }
    lease_sessions::LeaseClient& leaseClient() { return leaseClient_; }
    const lease_sessions::LeaseClient& leaseClient() const { return leaseClient_; }
    const raft::RaftConsensus& raft() const { return raft_; }
    const lease_sessions::SessionTable& table() const { return table_; }
    const lease_sessions::LeaseManager& leaseManager() const { return leaseManager_; }
    const gossip::Membership& membership() const { return membership_; }
    const Traffic& traffic() const { return traffic_; }
    raft::PersistentState persistentState() const { return raft_.persistentState(); }

private:
    void finishStep(Millis now, raft::Actions& actions, std::vector<lease_sessions::Message>& said,
                    Step& out);
    void enqueue(gossip::Channel room, const std::string& to, const std::string& body, Step& out);
    void enqueue(const std::vector<gossip::Message>& said, Step& out);

    Options options_;
    raft::ProcessIncarnation processIncarnation_;
    lease_sessions::SessionTable table_;
    raft::RaftConsensus raft_;
    lease_sessions::LeaseManager leaseManager_;
    lease_sessions::LeaseClient leaseClient_;
    gossip::Membership membership_;
    health_check::HostProber prober_;
    Traffic traffic_;
};

}  // namespace beechpoint::cluster
