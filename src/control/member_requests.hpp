/// Dispatches rpc requests of other members and gateways: opens the envelope and passes the request to the component for its kind.
/// Owns nothing and holds no state. Must be called from the event loop's thread only.
#pragma once

#include <string>

#include "core/logger.hpp"
#include "core/result.hpp"

namespace beechpoint::rpc {
class Reply;
}

namespace beechpoint::control {

class DutyService;
class GatewayService;
class ReplicaDriver;

class MemberRequests {
public:
    /// All references must outlive it.
    MemberRequests(Logger& logger, ReplicaDriver& driver, GatewayService& gateways, DutyService& duties)
        : logger_(logger), driver_(driver), gateways_(gateways), duties_(duties) {}

    /// `bytes`: one envelope (codec.hpp). Every request is answered, now or later; a malformed one with an empty answer.
    void handle(const std::string& bytes, rpc::Reply reply);

private:
    void rejectUnreadable(const Error& error, rpc::Reply& reply);

    Logger& logger_;
    ReplicaDriver& driver_;
    GatewayService& gateways_;
    DutyService& duties_;
};

}  // namespace beechpoint::control
