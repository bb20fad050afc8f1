// The replica's messages as bytes, several in one request, and its records for the store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"
#include "replica/durable_state.hpp"
#include "replica/messages.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kMaxReplicaMessages = 256;  // in one request

std::string encodeMessages(const std::vector<replica::Message>& messages);  // without the envelope's kind
// Error (invalid): no such messages, or too many.
Result<std::vector<replica::Message>> decodeMessages(std::string_view bytes);

// The view with the founders, and the vote, as the store keeps them.
struct FoundedView {
    std::vector<std::string> founders;
    replica::View view;
};
std::string encodeView(const FoundedView& view);
Result<FoundedView> decodeView(std::string_view bytes);
std::string encodeVote(const replica::Vote& vote);
Result<replica::Vote> decodeVote(std::string_view bytes);

}  // namespace beechpoint::control
