/// One attempt of a request: what has come of it from its host so far.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "upstream/event_stream.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

struct HostAttempt {
    /// Bound of pendingBody, bytes. What may still be relayed is far shorter, but for one event of kMaxEvent.
    static constexpr std::size_t kMaxPendingBody = 2 * upstream::EventSplitter::kMaxEvent;

    enum class State {
        open,      ///< more may come from the host
        ended,     ///< failed, cancelled, or ended inside an event
        complete,  ///< the answer has come to its proper end
    };

    std::string instanceId;  ///< of the host
    upstream::Handle handle = 0;
    State state = State::open;
    upstream::AnswerHead head;
    bool eventStream = false;        ///< known once the head has come
    bool firstByteReported = false;  ///< to the dispatcher
    std::uint64_t bodyBytes = 0;     ///< received so far
    std::string pendingBody;  ///< of an answer that is not relayed yet: bytes, or whole events of a stream
    upstream::EventReader events;

    Millis warmupLeft = 0;    ///< as the host stated it
    bool overflowed = false;  ///< pendingBody is not whole: the answer is not to be relayed

    /// Adds to pendingBody, up to its bound.
    void keep(std::string_view bytes) {
        overflowed = overflowed || bytes.size() > kMaxPendingBody - pendingBody.size();
        if (!overflowed) pendingBody.append(bytes);
    }
};

}  // namespace beechpoint::gateway
