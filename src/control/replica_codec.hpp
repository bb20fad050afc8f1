/// The replica's messages as bytes, several in one request, and its records as the store keeps them, by the pattern of field_codec.hpp.
/// Functions only; may be called from any thread. durable_records.hpp is the user for the store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"
#include "replica/durable_state.hpp"
#include "replica/messages.hpp"

namespace beechpoint::control {

/// In one request.
inline constexpr std::size_t kMaxReplicaMessages = 256;

/// Without the RequestKind.
[[nodiscard]] std::string encodeMessages(const std::vector<replica::Message>& messages);
/// Error (invalid): bytes that are no such messages, or more than kMaxReplicaMessages.
[[nodiscard]] Result<std::vector<replica::Message>> decodeMessages(std::string_view bytes);

/// The stored record of a view, with the founders.
struct StoredView {
    std::vector<std::string> founders;  ///< control addresses, sorted (replica::ControlRecord)
    replica::View view;
};
/// Decoding errors (invalid): bytes that are no such record.
[[nodiscard]] std::string encodeView(const StoredView& view);
[[nodiscard]] Result<StoredView> decodeView(std::string_view bytes);
[[nodiscard]] std::string encodeVote(const replica::Vote& vote);
[[nodiscard]] Result<replica::Vote> decodeVote(std::string_view bytes);

}  // namespace beechpoint::control
