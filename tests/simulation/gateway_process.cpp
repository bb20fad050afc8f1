#include "gateway_process.hpp"

#include <utility>

#include "control_messages/codec.hpp"

namespace beechpoint::simulation {

GatewayProcess::GatewayProcess(VirtualNetwork& network, Transport& transport, Machine machine,
                               std::string name, std::vector<std::string> seeds,
                               std::function<void(GatewayProcess&)> onTableChange)
    : Process(network, machine),
      name_(std::move(name)),
      session_(network.bits()),
      onTableChange_(std::move(onTableChange)),
      link_(makeGatewayLink(
          name_, network.bits(),
          {[this] { return request(); }, [this](const control::PollReply& reply) { onReply(reply); },
           [this, &transport](const std::string& address, std::string bytes, Millis timeout,
                              std::function<void(Bytes)> done) {
               transport.call(*this, address, std::move(bytes), timeout, std::move(done));
           },
           [&network] { return network.now(); },
           [this](Millis time, std::function<void()> step) { later(time, std::move(step)); }})) {
    link_->seeds(std::move(seeds));
}

void GatewayProcess::start() { link_->start(); }

control::PollRequest GatewayProcess::request() const {
    control::PollRequest request;
    request.gateway.name = name_;
    request.gateway.session = session_;
    request.gateway.ready = tableCopy_.configured();
    request.position = tableCopy_.position();
    request.acceptsHostChanges = true;
    request.acceptsPackedState = true;
    return request;
}

void GatewayProcess::onReply(const control::PollReply& reply) {
    if (reply.table && tableCopy_.apply(*reply.table)) onTableChange_(*this);
}

}  // namespace beechpoint::simulation
