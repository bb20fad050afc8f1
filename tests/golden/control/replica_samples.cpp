#include "replica_samples.hpp"

#include <fmt/format.h>

#include <utility>

namespace beechpoint::golden {

namespace {

std::vector<NamedBody> statusBodies() {
    using replica::HeartbeatReply;
    using replica::Status;
    const auto withFlag = [](bool Status::*flag) {
        HeartbeatReply reply;
        reply.status.*flag = true;
        return reply;
    };
    return {
        {"heartbeat/full", replica::Heartbeat{17, 1234.5}},
        {"heartbeat/empty", replica::Heartbeat{}},
        {"heartbeat_reply/full", HeartbeatReply{17, 1234.5, 0x0102030405060708u, sampleStatus()}},
        {"heartbeat_reply/empty", HeartbeatReply{}},
        {"heartbeat_reply/sealed", withFlag(&Status::sealed)},
        {"heartbeat_reply/settled", withFlag(&Status::installed)},
        {"heartbeat_reply/disk_failing", withFlag(&Status::diskFailing)},
        {"heartbeat_reply/leaving", withFlag(&Status::leaving)},
        {"join", replica::Join{}},
    };
}

std::vector<NamedBody> agreementBodies() {
    using replica::Promise;
    Promise without{sampleBallot(4), 6, sampleBallot(3), std::nullopt, 5, {5, 300}, {5, 299}, false};
    Promise failing;
    failing.diskFailing = true;
    return {
        {"prepare/full", replica::Prepare{sampleBallot(4), sampleView(), sampleFounders(), true}},
        {"prepare/empty", replica::Prepare{}},
        {"prepare/unobserved", replica::Prepare{sampleBallot(4), sampleView(), sampleFounders(), false}},
        {"promise/full",
         Promise{sampleBallot(4), 6, sampleBallot(3), sampleView(), 5, {5, 300}, {5, 299}, true}},
        {"promise/empty", Promise{}},
        {"promise/without_value", std::move(without)},
        {"promise/disk_failing", std::move(failing)},
        {"refuse/full", replica::Reject{sampleBallot(4), 6, sampleBallot(5)}},
        {"refuse/empty", replica::Reject{}},
        {"accept/full", replica::Accept{sampleBallot(4), sampleView(), sampleFounders(), sampleView()}},
        {"accept/empty", replica::Accept{}},
        {"accepted/full", replica::Accepted{sampleBallot(4), 6}},
        {"accepted/empty", replica::Accepted{}},
        {"decided/full", replica::Decided{sampleView()}},
        {"decided/empty", replica::Decided{}},
    };
}

std::vector<NamedBody> chainBodies() {
    const TableUpdate update{{6, 301}, true, sampleBatch().changes};
    return {
        {"propose/full", replica::Propose{true, {6, 300}, sampleBatch()}},
        {"propose/empty", replica::Propose{}},
        {"propose/batch", replica::Propose{false, {6, 300}, sampleBatch()}},
        {"commit/full", replica::Commit{{6, 301}}},
        {"commit/empty", replica::Commit{}},
        {"sync_request/full", replica::SyncRequest{{6, 300}, true}},
        {"sync_request/empty", replica::SyncRequest{}},
        {"sync_reply/full", replica::SyncReply{{6, 300}, update}},
        {"sync_reply/empty", replica::SyncReply{}},
        {"sync_reply/delta", replica::SyncReply{{6, 300}, {update.position, false, update.changes}}},
    };
}

}  // namespace

replica::Member sampleMember(int number) {
    replica::Member member;
    member.name = fmt::format("control-{}", number);
    member.incarnation = 0xF0F1F2F3F4F5F600u + static_cast<std::uint64_t>(number);
    member.session = 70'000u + static_cast<std::uint64_t>(number);
    member.internalAddress = fmt::format("10.0.2.{}:7000", number);
    member.controlAddress = fmt::format("10.0.3.{}:7001", number);
    member.zone = fmt::format("zone-{}", number);
    member.countsAsLoss = number % 2 == 1;
    return member;
}

replica::ProposalNumber sampleBallot(std::uint64_t round) { return {round, "control-1", 70'001}; }

replica::View sampleView() {
    return {
        5, {sampleMember(1), sampleMember(2)}, {4, 300}, {sampleMember(1), sampleMember(2), sampleMember(3)}};
}

std::vector<std::string> sampleFounders() { return {"10.0.3.1:7001", "10.0.3.2:7001"}; }

replica::Vote sampleVote() { return {6, sampleBallot(4), sampleBallot(3), sampleView()}; }

replica::Status sampleStatus() {
    replica::Status status;
    status.sealed = true;
    status.installed = true;
    status.diskFailing = true;
    status.syncedEpoch = 5;
    status.storedItems = 1000;
    status.committed = {5, 299};
    status.reachablePeers = {"10.0.2.1:7000", "10.0.2.2:7000"};
    status.unresponsivePeers = {"10.0.2.3:7000"};
    status.stalledMember = "10.0.2.4:7000";
    status.stored = {5, 300};
    status.leaving = true;
    return status;
}

Batch sampleBatch() {
    return {{6, 301},
            {{"route/r1", R"({"prefix":"/v1"})"},
             {"route/empty", ""},
             {"route/removed", std::nullopt},
             {"bytes", std::string("a\0\xff", 3)}}};
}

std::vector<NamedBody> sampleBodies() {
    std::vector<NamedBody> bodies = statusBodies();
    for (auto& more : {agreementBodies(), chainBodies()})
        bodies.insert(bodies.end(), more.begin(), more.end());
    return bodies;
}

}  // namespace beechpoint::golden
