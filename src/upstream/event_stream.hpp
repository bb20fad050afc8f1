// Events of a text/event-stream, free of I/O. A gateway passes on whole events only, so that a cut stream can be taken up
// behind the last event that its client has.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::upstream {

// One event, a slice of the stream: all its lines and the blank line that ends it, byte for byte.
struct StreamEvent {
    std::string_view bytes;
    std::optional<std::string_view> id;  // of its last `id:` line, if any
    bool hasData = false;                // false: comments or other fields alone

    // The value of the last line of that field; none where there is none.
    std::optional<std::string_view> field(std::string_view name) const;
};

// Splits a stream into events, whatever the borders of its pieces. Lines end with LF or CRLF.
class EventSplitter {
public:
    using OnEvent = std::function<void(const StreamEvent&)>;
    static constexpr std::size_t kMaxEvent = 1024 * 1024;  // bytes

    // Hands on each event that `bytes` completes; its slices hold during that call, which must not feed or restart. False: an event is longer than
    // kMaxEvent; nothing more is taken.
    bool feed(std::string_view bytes, const OnEvent& onEvent);
    // Bytes of an event that is not whole: a stream that ends with some was cut.
    std::size_t pending() const { return held_.size(); }
    // Forgets the event that is not whole, for a stream that goes on at another host.
    void restart();

private:
    std::string held_;           // the event in hand
    std::size_t lineBegin_ = 0;  // in held_
    bool overlong_ = false;
};

// Which events of a stream, perhaps pieced together from several hosts, its client gets: none twice.
class EventProgress {
public:
    // Whether the event is to be passed on; then its id counts as the last. Ids rise: an event whose id is not above the
    // last is a repeat. Ids that are no numbers repeat only if equal to the last. Events without an id pass.
    bool admit(const StreamEvent& event);
    // For Last-Event-Id when the stream is taken up elsewhere; none before the first id.
    const std::optional<std::string>& lastId() const { return lastId_; }
    // Starts behind an id that the client brought with it.
    void startBehind(std::string_view id) { lastId_ = std::string(id); }
    std::size_t admitted() const { return admitted_; }
    std::size_t repeated() const { return repeated_; }

private:
    std::optional<std::string> lastId_;
    std::size_t admitted_ = 0, repeated_ = 0;
};

}  // namespace beechpoint::upstream
