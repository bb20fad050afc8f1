#include "control/poll_responder.hpp"

#include <utility>

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxZones = 256;

void addIdentity(const CommittedTableSource& table, PollReply& reply) {
    reply.clusterId = table.clusterId();
    reply.memberIncarnation = table.self().incarnation;
}

void leaveOutHosts(PollReply& reply) {
    reply.packedHostList.clear();
    reply.packedHostChanges.clear();
}

}  // namespace

void PollResponder::onRenewal(const leases::Gateway& gateway) {
    if (gateway.region.empty()) return;
    if (regions_.size() < kMaxZones || regions_.contains(gateway.zone))
        regions_[gateway.zone] = gateway.region;
}

PollReply PollResponder::reply(Millis now, const CommittedTableSource& table, const PollRequest& request) {
    PollReply reply;
    if (!addTable(now, table, request, reply)) return refusal(&table, PollStatus::notFresh);
    hosts_.fillReply(now, request, reply);
    if (request.acceptsPackedState) limitLargeState(now, request, reply);
    addSmallState(now, table, request, reply);
    return reply;
}

PollReply PollResponder::supersededReply(const CommittedTableSource& table,
                                         const PollRequest& request) const {
    PollReply reply;
    reply.directoryDigest = request.directoryDigest;
    addMembers(table, reply);
    reply.leaseMs = leaseMs_;
    addIdentity(table, reply);
    return reply;
}

PollReply PollResponder::refusal(const CommittedTableSource* table, PollStatus status) const {
    PollReply reply;
    reply.status = status;
    if (table) addMembers(*table, reply);
    return reply;
}

// False if the table is not fresh.
bool PollResponder::addTable(Millis now, const CommittedTableSource& table, const PollRequest& request,
                             PollReply& reply) {
    if (table.committedPosition() <= request.position) return true;
    if (request.acceptsChunks && transfers_.resume(now, request, reply)) return true;
    auto update = tableUpdates_.since(table, request.position);
    if (!update) return false;
    if (request.acceptsChunks && update->size() > kChunkBytes)
        transfers_.begin(now, std::move(*update), request, reply);
    else
        reply.packedTable = std::move(*update);
    return true;
}

void PollResponder::limitLargeState(Millis now, const PollRequest& request, PollReply& reply) {
    const std::size_t hosts = reply.packedHostList.size() + reply.packedHostChanges.size();
    const std::size_t all = reply.packedTable.size() + hosts;
    if (all > kLargeReply && !slots_.admit(now, request.gateway.name)) {
        if (reply.packedTable.size() > kLargeReply) TableTransfers::leaveOut(reply);
        leaveOutHosts(reply);
        reply.retryAfterMs = slots_.retryAfter();
    } else if (all > kReplyBudget && !reply.packedTable.empty()) {
        leaveOutHosts(reply);
    }
    // If its long poll can't be queued, the gateway would otherwise poll again at once.
    if (polls_.full() && reply.retryAfterMs == 0) reply.retryAfterMs = TransferSlots::kMaxRetryAfter;
}

void PollResponder::addDirectory(Millis now, const PollRequest& request, PollReply& reply) {
    if (!directoryUpdatedAt_ || now - *directoryUpdatedAt_ >= kDirectoryRefresh) {
        directoryUpdatedAt_ = now;
        directory_.update(leases_.liveGateways(now));
    }
    const DirectorySamples::Sample& sample = directory_.sampleFor(request.gateway);
    reply.directoryDigest = sample.digest;
    if (sample.digest == request.directoryDigest) return;
    if (request.acceptsPackedState)
        reply.packedDirectory = sample.packed;
    else
        reply.directory = sample.gateways;
}

void PollResponder::addSmallState(Millis now, const CommittedTableSource& table, const PollRequest& request,
                                  PollReply& reply) {
    addDirectory(now, request, reply);
    reply.liveGatewayCount = leases_.liveCount(now);
    reply.maxLiveGateways = leases_.peakLiveCount(now);
    addMembers(table, reply);
    if (request.requestsLoad) reply.otherGatewaysLoad = leases_.loadOfOthers(now, request.gateway.name);
    reply.leaseMs = leaseMs_;
    addIdentity(table, reply);
}

void PollResponder::addMembers(const CommittedTableSource& table, PollReply& reply) const {
    const auto add = [&](const replica::Member& member) {
        const auto region = regions_.find(member.zone);
        reply.members.push_back(member.internalAddress);
        reply.memberRegions.push_back(region == regions_.end() ? std::string{} : region->second);
    };
    add(table.self());
    for (const replica::Member& member : table.view().members)
        if (member.name != table.self().name) add(member);
}

}  // namespace beechpoint::control
