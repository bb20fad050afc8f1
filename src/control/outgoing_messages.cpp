#include "control/outgoing_messages.hpp"

#include <algorithm>
#include <utility>

#include "control/replica_codec.hpp"

namespace beechpoint::control {

bool MessageBatch::accepts(const std::string& receiver) const {
    return address == receiver && messages.size() < kMaxReplicaMessages;
}

void OutgoingMessages::add(const std::string& address, replica::Message message) {
    batchFor(address).messages.push_back(std::move(message));
}

std::vector<MessageBatch> OutgoingMessages::takeBatches() { return std::exchange(batches_, {}); }

MessageBatch& OutgoingMessages::batchFor(const std::string& address) {
    if (reply_ && reply_->accepts(address)) return *reply_;
    const auto found = std::find_if(batches_.begin(), batches_.end(),
                                    [&](const MessageBatch& batch) { return batch.accepts(address); });
    if (found != batches_.end()) return *found;
    return batches_.emplace_back(MessageBatch{address, {}});
}

}  // namespace beechpoint::control
