/// Interface through which GatewayServiceState and its parts read the replica: the committed table, its freshness and the view.
/// ReplicaTableSource implements it over replica::Replica; tests and models have their own. Owns nothing; used on the replica's thread.
#pragma once

#include <cstdint>
#include <optional>

#include "configuration/cluster_identity.hpp"
#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/replica.hpp"
#include "replica/view.hpp"

namespace beechpoint::control {

class CommittedTableSource {
public:
    virtual ~CommittedTableSource() = default;
    /// Whether the table may be served: this member is known to hold every acknowledged write (replica::Replica::isFresh()).
    [[nodiscard]] virtual bool fresh(Millis now) const = 0;
    [[nodiscard]] virtual Position committedPosition() const = 0;
    /// Cluster id stored in the committed table (configuration/cluster_identity.hpp); 0: not assigned yet.
    [[nodiscard]] virtual std::uint64_t clusterId() const = 0;
    /// The update from position `held` to the committed one; empty if the table may not be served.
    [[nodiscard]] virtual std::optional<TableUpdate> updateSince(Position held) const = 0;
    [[nodiscard]] virtual const replica::Member& self() const = 0;
    /// The newest view known to be decided.
    [[nodiscard]] virtual const replica::View& view() const = 0;
    /// Whether self() is a member of it.
    [[nodiscard]] virtual bool inView() const = 0;
};

/// Over a replica, which must outlive it.
class ReplicaTableSource final : public CommittedTableSource {
public:
    explicit ReplicaTableSource(const replica::Replica& replica) : replica_(replica) {}
    bool fresh(Millis now) const override { return replica_.isFresh(now); }
    Position committedPosition() const override { return replica_.committedPosition(); }
    std::uint64_t clusterId() const override { return configuration::clusterId(replica_.committedTable()); }
    std::optional<TableUpdate> updateSince(Position held) const override {
        return replica_.updateSince(held);
    }
    const replica::Member& self() const override { return replica_.self(); }
    const replica::View& view() const override { return replica_.view(); }
    bool inView() const override { return replica_.isInView(); }

private:
    const replica::Replica& replica_;
};

}  // namespace beechpoint::control
