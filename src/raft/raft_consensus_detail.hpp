// How a message is sent: shared by the sources of RaftConsensus. Private to src/raft.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "raft/raft_consensus.hpp"

namespace beechpoint::raft {

template <class T>
void RaftConsensus::send(const std::string& to, T body, Actions& out) {
    if (to != self_) out.send.push_back({self_, to, processIncarnation_, groupNumber_, std::move(body)});
}

template <class T>
void RaftConsensus::sendVoters(const T& body, Actions& out) {
    for (const std::string& name : log_.voters()) send(name, body, out);
}

}  // namespace beechpoint::raft
