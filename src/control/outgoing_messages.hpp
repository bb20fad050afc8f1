/// The replica's messages of one step, batched by receiver: messages to one member are sent in one call, and those to the member
/// whose call is being answered go into the reply. Without I/O; not synchronized; exists for one call or one event.
#pragma once

#include <string>
#include <vector>

#include "replica/messages.hpp"

namespace beechpoint::control {

/// Messages to one member that travel together, at most kMaxReplicaMessages (control/replica_codec.hpp).
struct MessageBatch {
    std::string address;  ///< internal address of the receiver
    std::vector<replica::Message> messages;

    /// Whether a message to `receiver` still fits in.
    [[nodiscard]] bool accepts(const std::string& receiver) const;
};

/// Owns the batches that are to be sent as calls, in the order of their first messages.
class OutgoingMessages {
public:
    /// `reply`: takes messages for its own address first; null where nothing is being answered. Must outlive this.
    explicit OutgoingMessages(MessageBatch* reply) : reply_(reply) {}

    void add(const std::string& address, replica::Message message);
    /// The batches that did not go into the reply; none is left here.
    [[nodiscard]] std::vector<MessageBatch> takeBatches();

private:
    MessageBatch& batchFor(const std::string& address);

    MessageBatch* reply_;
    std::vector<MessageBatch> batches_;
};

}  // namespace beechpoint::control
