#include "control_samples.hpp"

#include <fmt/format.h>

namespace beechpoint::golden {

leases::Gateway sampleGateway() {
    leases::Gateway gateway;
    gateway.name = "gateway-1";
    gateway.session = 0xFEDCBA9876543210u;
    gateway.zone = "zone-a";
    gateway.region = "region-a";
    gateway.frontAddress = "10.0.0.1:8080";
    gateway.ready = true;
    gateway.draining = true;
    gateway.load = {{"host-1", 7}, {"host-2", 70'000}};
    return gateway;
}

std::vector<leases::Gateway> sampleDirectory(std::size_t count) {
    std::vector<leases::Gateway> gateways;
    for (std::size_t index = 0; index < count; ++index) {
        leases::Gateway gateway = sampleGateway();
        gateway.name = fmt::format("gateway-{}", index + 1);
        gateway.draining = index % 2 == 1;
        gateway.load.clear();
        gateways.push_back(std::move(gateway));
    }
    return gateways;
}

host_discovery::Host sampleHost() {
    host_discovery::Host host;
    host.instanceId = "host-001";
    host.service = "chat";
    host.address = "10.0.1.1:9000";
    host.zone = "zone-b";
    host.revision = "v1.2";
    host.capacity = 64;
    host.state = host_discovery::HostState::draining;
    host.warmupLeft = 1500.5;
    host.remaining = 30'000;
    host.phase = "prefill";
    host.models = {{"model-a", 300, {"adapter-a", "adapter-b"}}, {"model-b", -1, {}}};
    return host;
}

std::vector<host_discovery::Host> sampleHosts(std::size_t count) {
    std::vector<host_discovery::Host> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        hosts.push_back(sampleHost());
        if (index == 0) continue;
        hosts.back().instanceId = fmt::format("host-{:03}", index + 1);
        hosts.back().state = host_discovery::HostState::serving;
        hosts.back().remaining.reset();
        hosts.back().models.resize(index % 3);
    }
    return hosts;
}

host_discovery::HostList sampleHostList(std::size_t count) { return {{3, 4, 5}, 0, sampleHosts(count)}; }

control::HostListSnapshot sampleSharedList() { return {{3, 4, 5}, 12.5, sampleHosts(2)}; }

host_discovery::HostListChanges sampleHostChanges(std::size_t count) {
    return {{3, 1, 5}, {3, 4, 5}, 1950.25, sampleHosts(count), {"host-801", "host-802"}};
}

TableUpdate sampleTableUpdate(std::size_t count) {
    TableUpdate update{{7, 300}, true, {}};
    for (std::size_t index = 0; index < count; ++index)
        update.changes.push_back(
            {fmt::format("route/r{:03}", index), fmt::format(R"({{"prefix":"/v{}"}})", index)});
    update.changes.push_back({"route/removed", std::nullopt});
    return update;
}

control::PollRequest samplePollRequest() {
    control::PollRequest request;
    request.gateway = sampleGateway();
    request.position = {7, 299};
    request.hostList = {3, 1, 5};
    request.waitMs = 1000.5;
    request.requestsLoad = true;
    request.directoryDigest = 0x1122334455667788u;
    request.acceptsHostChanges = true;
    request.acceptsPackedState = true;
    return request;
}

control::PollReply samplePollReply() {
    control::PollReply reply;
    reply.status = control::PollStatus::leaseTableFull;
    reply.table = sampleTableUpdate(2);
    reply.hostList = sampleSharedList();
    reply.hostListVersion = {3, 4, 5};
    reply.hostListAge = 40.5;
    reply.liveGatewayCount = 11;
    reply.maxLiveGateways = 12;
    reply.members = {"10.0.2.1:7000", "10.0.2.2:7000"};
    reply.otherGatewaysLoad = {{"host-1", 9}, {"host-2", 300}};
    reply.leaseMs = 3000;
    reply.directoryDigest = 0x8877665544332211u;
    reply.directory = sampleDirectory(2);
    reply.hostChanges = control::HostListDelta{sampleHostChanges(2), 13.5};
    reply.hostListReadAge = 14.5;
    reply.retryAfterMs = 250;
    reply.memberRegions = {"region-a", "region-b"};
    return reply;
}

control::PeerUpdate sampleShare() {
    control::PeerUpdate peerUpdate;
    peerUpdate.member = "control-1";
    peerUpdate.session = 0x0102030405060708u;
    peerUpdate.epoch = 6;
    peerUpdate.leases = {{sampleGateway(), 250.5}};
    peerUpdate.hostListVersion = {3, 4, 5};
    peerUpdate.hostListAge = 40.5;
    peerUpdate.hostList = sampleSharedList();
    peerUpdate.readsHostList = true;
    peerUpdate.renewals = {{0xA1A2A3A4A5A6A7A8u, 120}, {9, 70'000}};
    peerUpdate.hostListReadAge = 14.5;
    return peerUpdate;
}

control::PeerUpdateReply sampleShareReply() { return {{3, 4, 5}, true, {7, 0xB1B2B3B4B5B6B7B8u}}; }

}  // namespace beechpoint::golden
