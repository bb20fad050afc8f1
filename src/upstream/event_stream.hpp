/// Events of a text/event-stream (WHATWG HTML, 9.2), free of I/O. A gateway passes on complete, well-formed events only, so that a
/// stream that breaks off can be resumed after the last event that its client has, and a host's garbage reaches no client.
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

    /// Whether every line is a comment or a field: UTF-8 without control characters but tabs, a name in lower case, and a value
    /// that only id, data, event and retry may lack. Stricter than the standard, whose readers skip lines that they do not know.
    [[nodiscard]] bool isWellFormed() const;
    /// A blank line that ends nothing.
    [[nodiscard]] bool isEmpty() const { return bytes == "\n" || bytes == "\r\n"; }
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

enum class EventFault {
    overlong,    ///< longer than EventSplitter::kMaxEvent
    malformed,   ///< StreamEvent::isWellFormed() is false, or the id is longer than EventReader::kMaxId
    missingId,   ///< an event with data lacks an id among events with ids
    outOfOrder,  ///< an id is not above the one before it
};
[[nodiscard]] std::string_view nameOf(EventFault fault);

/// Reads one answer of one host: splits it into events and checks each. After a fault nothing more is read, since nothing tells
/// where the bytes of the run go on.
class EventReader {
public:
    static constexpr std::size_t kMaxId = 256;  ///< bytes; the id goes into a header of another request

    /// `requireIds`: also of the first event, since those before it came from another host.
    explicit EventReader(bool requireIds = false) : requireIds_(requireIds) {}

    /// Calls onEvent with each event that `bytes` completes and that is sound, but not with empty ones; slices hold during that
    /// call. Nothing: more may follow.
    std::optional<EventFault> feed(std::string_view bytes, const EventSplitter::OnEvent& onEvent);
    /// Bytes of an incomplete event: a stream that ends with some was truncated.
    [[nodiscard]] std::size_t pending() const { return splitter_.pending(); }

private:
    std::optional<EventFault> check(const StreamEvent& event);
    std::optional<EventFault> checkId(std::string_view id);

    EventSplitter splitter_;
    bool requireIds_;
    std::optional<std::string> lastId_;  // of this answer
    std::optional<EventFault> fault_;
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
    /// Whether an event with data was admitted that no Last-Event-Id can name.
    [[nodiscard]] bool hasUnnumberedData() const { return hasUnnumberedData_; }
    [[nodiscard]] std::size_t admitted() const { return admitted_; }
    [[nodiscard]] std::size_t repeated() const { return repeated_; }

private:
    std::optional<std::string> lastId_;
    bool hasUnnumberedData_ = false;
    std::size_t admitted_ = 0, repeated_ = 0;
};

}  // namespace beechpoint::upstream
