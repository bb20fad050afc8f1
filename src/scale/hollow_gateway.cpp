#include "scale/hollow_gateway.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace beechpoint::scale {
namespace {

constexpr std::size_t kZones = 26;
constexpr std::size_t kRegions = 7;

std::string nameOf(std::size_t index) { return fmt::format("gateway-{:04}", index); }

std::size_t drainingHosts(const instances::HostList& list) {
    const auto isDraining = [](const instances::Host& host) {
        return host.state == instances::HostState::draining;
    };
    return static_cast<std::size_t>(std::count_if(list.hosts.begin(), list.hosts.end(), isDraining));
}

}  // namespace

HollowGateway::HollowGateway(asio::io_context& io, const Clock& clock, Logger& logger, std::size_t index,
                             const std::vector<std::string>& seeds, Progress& progress)
    : clock_(clock),
      index_(index),
      progress_(progress),
      link_(io, clock, logger, nameOf(index), index + 1,
            {[this] { return request(); },
             [this](const control::PollReply& reply, Millis) { onReply(reply); }}) {
    link_.seeds(seeds);
}

control::PollRequest HollowGateway::request() const {
    control::PollRequest request;
    request.gateway.name = nameOf(index_);
    request.gateway.session = index_ + 1;
    request.gateway.zone = fmt::format("zone-{:02}", index_ % kZones);
    request.gateway.region = fmt::format("region-{}", index_ % kZones % kRegions);
    request.gateway.frontAddress = fmt::format("10.200.{}.{}:8080", index_ / 256, index_ % 256);
    request.gateway.ready = ready();
    request.position = table_.position();
    request.hostList = hosts_.versionToAskWith();
    request.takesHostChanges = true;
    request.takesPackedState = true;
    request.directoryDigest = directoryDigest_;
    return request;
}

void HollowGateway::onReply(const control::PollReply& reply) {
    const bool wasReady = ready();
    const Millis now = clock_.now();
    progress_.onReply(index_, reply.largestLive.value_or(0));
    if (reply.table && table_.apply(*reply.table))
        progress_.onRevision(index_, static_cast<std::size_t>(table_.current()->revision()), clock_.now());
    if (hosts_.take(reply, now))
        progress_.onHosts(index_, hosts_.list()->hosts.size(), drainingHosts(*hosts_.list()), now);
    if (reply.directory) directoryDigest_ = reply.directoryDigest;
    if (ready() != wasReady) link_.pollNow();
}

}  // namespace beechpoint::scale
