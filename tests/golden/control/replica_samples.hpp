// Values with every field set to one of its own, for messages between replicas and for what they store.
#pragma once

#include <string>
#include <vector>

#include "control/replica_codec.hpp"
#include "replica/messages.hpp"

namespace beechpoint::golden {

// `number` tells one from the other.
replica::Member sampleMember(int number);
replica::ProposalNumber sampleBallot(std::uint64_t round);
// Two members, one of them not counted, and three voters.
replica::View sampleView();
std::vector<std::string> sampleFounders();
replica::Vote sampleVote();
replica::Status sampleStatus();
Batch sampleBatch();

// One message of a kind, with the name of its entry.
struct NamedBody {
    std::string name;
    replica::Body body;
};
// Each kind with all fields set, with defaults, and with each of its flags and optional fields alone.
std::vector<NamedBody> sampleBodies();

}  // namespace beechpoint::golden
