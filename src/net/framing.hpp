// Strict framing of HTTP/1.1 messages, free of I/O: heads in one unambiguous reading, and bodies by length, in chunks
// or to the end of the connection. What two readers could take differently is refused, since a proxy that passes it on
// could smuggle one request inside another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace beechpoint::net {

// Whether two names are equal in any case (ASCII).
bool sameName(std::string_view left, std::string_view right);
// Whether a comma-separated header value holds `token`, in any case.
bool listHolds(std::string_view value, std::string_view token);
// The number of a string of decimal digits alone, of at most 18 of them.
std::optional<std::uint64_t> decimalNumber(std::string_view digits);

// The head of one message. All views are slices of the bytes that it was parsed from.
struct MessageHead {
    std::string_view method, target;  // requests
    int status = 0;                   // answers
    int minorVersion = 1;             // of HTTP/1.x: 0 or 1
    std::vector<std::pair<std::string_view, std::string_view>> headers;

    // The first header of that name; empty where there is none.
    std::string_view header(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    // Whether a header of that name holds the token in its list.
    bool holds(std::string_view name, std::string_view token) const;
    // Whether the connection may carry another message behind this one, by what its sender says.
    bool keepAlive() const { return minorVersion == 1 && !holds("Connection", "close"); }
};

// Where the head at the front of `bytes` ends, its blank line included; 0 while it is not whole.
std::size_t headEnd(std::string_view bytes);
// Whether a line ends with LF alone: no head will come of it.
bool holdsBareLineEnd(std::string_view bytes);
// `head` with its blank line. None: the bytes form no head, or one that could be read in two ways (folded or
// nameless lines, blanks in names, control bytes, lines ended by a single CR or LF, targets that do not begin with
// "/" or are not "*", several Host headers).
std::optional<MessageHead> parseRequestHead(std::string_view head);
std::optional<MessageHead> parseAnswerHead(std::string_view head);

// How the body behind a head is delimited.
struct BodyFraming {
    enum class Kind { none, length, chunked, toEnd };
    Kind kind = Kind::none;
    std::uint64_t length = 0;
};
// None: lengths or codings that are malformed, unknown, repeated or both there.
std::optional<BodyFraming> requestFraming(const MessageHead& head);
std::optional<BodyFraming> answerFraming(const MessageHead& head, std::string_view requestMethod);

// Takes the framing off one body, as its bytes come.
class BodyDecoder {
public:
    enum class State { more, complete, bad };
    using OnPiece = std::function<void(std::string_view)>;

    BodyDecoder() = default;
    explicit BodyDecoder(BodyFraming framing);
    // Reads from `bytes`, hands on the pieces of the body among them, and adds to `used` how many bytes belonged to
    // it. Trailers are checked and dropped. Not to be called again after `bad`.
    State feed(std::string_view bytes, std::size_t& used, const OnPiece& onPiece);
    // The peer ended the connection: complete where the body lasts until then, else bad.
    State finish();
    State state() const { return state_; }

private:
    enum class Step { size, data, dataEnd, trailer };
    std::string_view takeCounted(std::string_view bytes);
    bool takeLine(std::string_view bytes, std::size_t& used, std::string_view& line);
    State feedChunked(std::string_view bytes, std::size_t& used, const OnPiece& onPiece);
    State onSizeLine(std::string_view line);
    State onTrailerLine(std::string_view line);

    BodyFraming framing_;
    State state_ = State::complete;
    Step step_ = Step::size;
    std::uint64_t left_ = 0;  // of the body by length, or of the chunk in hand
    std::size_t trailerBytes_ = 0;
};

}  // namespace beechpoint::net
