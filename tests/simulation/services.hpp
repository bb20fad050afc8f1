/// The parts of a control member beside its replica, behind interfaces: the operators' calls and the gateways' polls.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process.hpp"
#include "replica/replica.hpp"

namespace beechpoint::simulation {

// What the services see of the replica: as control/replica_driver.hpp.
class ReplicaPort {
public:
    virtual ~ReplicaPort() = default;
    virtual Millis now() const = 0;
    virtual const replica::Replica& replica() const = 0;
    virtual void write(std::vector<Change> changes, std::function<void(bool committed)> done) = 0;
    virtual void readBarrier(std::function<void(bool ok)> done) = 0;
    virtual bool isResponsive(const std::string& internalAddress) const = 0;
    virtual void callMember(const std::string& address, std::string bytes, Millis timeout,
                            std::function<void(Bytes)> done) = 0;
};

class OperatorService {
public:
    using Respond = std::function<void(OperatorAnswer)>;
    virtual ~OperatorService() = default;
    virtual void onCall(std::uint64_t id, const OperatorRequest& request, Respond respond) = 0;
    virtual void onClientDisconnected(std::uint64_t id) = 0;
    virtual void onReplicaOrTimeChanged() = 0;
    virtual bool waiting() const = 0;  // onReplicaOrTimeChanged() is wanted often
};

class PollService {
public:
    using Respond = std::function<void(std::string)>;
    virtual ~PollService() = default;
    virtual void onRequest(const std::string& bytes, Respond respond) = 0;
    virtual void onTableChanged() = 0;
    virtual void onViewChanged() = 0;
    virtual void tick() = 0;
    virtual bool waitsForFreshness() const = 0;
};

std::unique_ptr<OperatorService> makeOperatorService(ReplicaPort& replica);
std::unique_ptr<PollService> makePollService(ReplicaPort& replica);

}  // namespace beechpoint::simulation
