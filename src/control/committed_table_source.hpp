// What GatewayServiceState needs to know of the replica: the table it vouches for, and the view. Implemented over replica::Replica; tests
// and models have their own.
#pragma once

#include <optional>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/replica.hpp"
#include "replica/view.hpp"

namespace beechpoint::control {

class CommittedTableSource {
public:
    virtual ~CommittedTableSource() = default;
    virtual bool fresh(Millis now) const = 0;  // may answer polls
    virtual Position committedPosition() const = 0;
    // From an older position to the committed one; nothing while this process may not vouch for its state.
    virtual std::optional<TableUpdate> updateSince(Position held) const = 0;
    virtual const replica::Member& self() const = 0;
    virtual const replica::View& view() const = 0;
    virtual bool inView() const = 0;
};

class ReplicaTableSource final : public CommittedTableSource {
public:
    explicit ReplicaTableSource(const replica::Replica& replica) : replica_(replica) {}
    bool fresh(Millis now) const override { return replica_.fresh(now); }
    Position committedPosition() const override { return replica_.committedPosition(); }
    std::optional<TableUpdate> updateSince(Position held) const override {
        return replica_.updateSince(held);
    }
    const replica::Member& self() const override { return replica_.self(); }
    const replica::View& view() const override { return replica_.view(); }
    bool inView() const override { return replica_.inView(); }

private:
    const replica::Replica& replica_;
};

}  // namespace beechpoint::control
