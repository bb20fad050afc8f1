/// The answer to one client: its head from the attempt that is relayed first, its body perhaps from several where a stream is
/// resumed at another host. Owns the client's connection for that long. It decides nothing: the dispatcher says what is relayed.
///
///   state    event                                      next
///   pending  relay()                                    open; over where the head may not be passed on
///   pending  fail(), clientLeft()                       over
///   open     complete(), fail() (broken off), clientLeft()   over
///
/// A client that reads slowly pauses the reading from its host, so that no more than about kPauseReadingAbove bytes wait here.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/host_attempt.hpp"
#include "net/server.hpp"
#include "upstream/event_stream.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

class ClientAnswer {
public:
    static constexpr std::size_t kPauseReadingAbove = 256 * 1024;  ///< bytes that wait for the client

    /// `lastEventId`: of a stream that the client resumes, the last event it has. `upstream` must outlive it.
    ClientAnswer(std::shared_ptr<net::HttpConnection> client, upstream::Upstream& upstream,
                 const std::optional<std::string>& lastEventId);

    /// Whether the client has its final answer, or has left.
    [[nodiscard]] bool over() const { return state_ == State::over; }
    /// Whether a head has been passed on and more of the body may follow.
    [[nodiscard]] bool open() const { return state_ == State::open; }
    /// The last event that the client has; nothing: none with an id.
    [[nodiscard]] const std::optional<std::string>& lastEventId() const { return progress_.lastId(); }

    /// Whether another host may go on behind what was passed on: a stream of events, and none with data lacked an id.
    [[nodiscard]] bool continuable() const { return isEventStream_ && !progress_.hasUnnumberedData(); }

    /// Events passed on so far, of all attempts.
    [[nodiscard]] std::size_t eventsPassed() const { return progress_.admitted(); }

    /// From now on this attempt's answer is the client's: passes on its head, unless one has been, and its pending body.
    void relay(HostAttempt& attempt);
    /// Whether an event of the relayed attempt is to be passed on: the client does not have it yet.
    [[nodiscard]] bool admit(const upstream::StreamEvent& event) { return progress_.admit(event); }
    /// Passes on bytes of the relayed attempt; of an event stream whole events that were admitted.
    void forward(const HostAttempt& attempt, std::string_view bytes);
    /// The relayed answer has come to its proper end.
    void complete();
    /// Ends without one: by this status and error while nothing has been passed on, else visibly broken off.
    /// `retryAfter`: advice to the client; 0: none.
    void fail(int status, std::string_view error, Millis retryAfter);
    void clientLeft() { state_ = State::over; }

private:
    enum class State { pending, open, over };

    bool begin(const HostAttempt& attempt);
    std::string admitted(std::string_view events);

    std::shared_ptr<net::HttpConnection> client_;
    upstream::Upstream& upstream_;
    upstream::EventProgress progress_;
    bool isEventStream_ = false;  // of the answer whose head was passed on
    State state_ = State::pending;
};

}  // namespace beechpoint::gateway
