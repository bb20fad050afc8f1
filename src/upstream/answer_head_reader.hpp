/// Reads the head of a host's answer out of the bytes received. Pure functions, private to the module.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "net/framing.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

enum class HeadStatus {
    incomplete,  ///< more bytes are needed
    malformed,   ///< the bytes form no answer
    interim,     ///< a 1xx answer: the final one follows
    final,
};

/// `head` and `framing` are set for interim and final heads; their slices are those of the bytes read.
struct ReceivedHead {
    HeadStatus status = HeadStatus::incomplete;
    net::MessageHead head;
    net::BodyFraming framing;
    std::size_t size = 0;  ///< bytes of the head
};

/// `method`: of the request; it decides whether the answer has a body. `maxHead`: bytes; a longer head is malformed.
[[nodiscard]] ReceivedHead readAnswerHead(std::string_view bytes, std::string_view method,
                                          std::size_t maxHead);

/// Whether the answer is this request's: its X-Attempt-Id says so.
[[nodiscard]] bool belongsTo(const net::MessageHead& head, const Request& request);

/// How long the host says that it leaves the unused connection open ("timeout=N" of Keep-Alive); nothing where it says none.
[[nodiscard]] std::optional<Millis> statedIdleTime(const net::MessageHead& head);

/// What the caller is told of the head; without what only the connection knows (reused, connectTime).
[[nodiscard]] AnswerHead answerHead(const net::MessageHead& head, const net::BodyFraming& framing);

}  // namespace beechpoint::upstream
