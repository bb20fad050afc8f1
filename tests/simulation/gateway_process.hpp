// A gateway as the control members see it: its copy of the table and its link to them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_messages/messages.hpp"
#include "process.hpp"
#include "routing/table_copy.hpp"

namespace beechpoint::simulation {

// Decides which member is polled when, and polls it through its port.
class GatewayLink {
public:
    struct Port {
        std::function<control::PollRequest()> request;
        std::function<void(const control::PollReply&)> reply;
        std::function<void(const std::string& address, std::string bytes, Millis timeout,
                           std::function<void(Bytes)> done)>
            call;
        std::function<Millis()> now;
        std::function<void(Millis time, std::function<void()>)> at;
    };
    virtual ~GatewayLink() = default;
    virtual void seeds(std::vector<std::string> internalAddresses) = 0;
    virtual void start() = 0;
};
std::unique_ptr<GatewayLink> makeGatewayLink(std::string name, std::uint64_t seed, GatewayLink::Port port);

class GatewayProcess : public Process {
public:
    GatewayProcess(VirtualNetwork& network, Transport& transport, Machine machine, std::string name,
                   std::vector<std::string> seeds, std::function<void(GatewayProcess&)> onTableChange);
    void start();
    const routing::RoutingTable& table() const { return *tableCopy_.current(); }
    Position position() const { return tableCopy_.position(); }
    const std::string& name() const { return name_; }

private:
    control::PollRequest request() const;
    void onReply(const control::PollReply& reply);

    std::string name_;
    std::uint64_t session_;
    routing::TableCopy tableCopy_;
    std::function<void(GatewayProcess&)> onTableChange_;
    std::unique_ptr<GatewayLink> link_;
};

}  // namespace beechpoint::simulation
