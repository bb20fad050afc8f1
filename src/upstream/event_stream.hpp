/// Events of a text/event-stream (WHATWG HTML, 9.2), free of I/O. A gateway passes on complete events only, so that a stream that
/// breaks off can be resumed after the last event that its client has.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::upstream {

/// One event, a slice of the stream: all its lines and the blank line that ends it, byte for byte.
struct StreamEvent {
    std::string_view bytes;
    std::optional<std::string_view> id;  ///< of its last `id:` line, if any
    bool hasData = false;                ///< false: comments or other fields alone

    /// The value of the last line of that field; nothing where there is none.
    [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
};

/// Splits a stream into events, whatever the borders of the chunks that it comes in. Lines end with LF or CRLF.
class EventSplitter {
public:
    using OnEvent = std::function<void(const StreamEvent&)>;
    static constexpr std::size_t kMaxEvent = 1024 * 1024;  ///< bytes

    /// Calls onEvent with each event that `bytes` completes; its slices hold during that call, which must not feed or restart.
    /// False: an event is longer than kMaxEvent; nothing more is read.
    bool feed(std::string_view bytes, const OnEvent& onEvent);
    /// Bytes of an incomplete event: a stream that ends with some was truncated.
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    /// Drops the incomplete event, for a stream that goes on at another host.
    void restart();

private:
    std::string pending_;        // the incomplete event
    std::size_t lineBegin_ = 0;  // in pending_
    bool overlong_ = false;
};

/// Which events of a stream, perhaps of several hosts one after the other, its client gets: none twice.
class EventProgress {
public:
    /// Whether the event is to be passed on; then its id counts as the last. Ids rise: an event whose id is not above the
    /// last is a repeat. Ids that are no numbers repeat only if equal to the last. Events without an id pass.
    [[nodiscard]] bool admit(const StreamEvent& event);
    /// For Last-Event-Id when the stream is resumed elsewhere; nothing before the first id.
    [[nodiscard]] const std::optional<std::string>& lastId() const { return lastId_; }
    /// Starts after an event that the client has already.
    void startBehind(std::string_view id) { lastId_ = std::string(id); }
    [[nodiscard]] std::size_t admitted() const { return admitted_; }
    [[nodiscard]] std::size_t repeated() const { return repeated_; }

private:
    std::optional<std::string> lastId_;
    std::size_t admitted_ = 0, repeated_ = 0;
};

}  // namespace beechpoint::upstream
