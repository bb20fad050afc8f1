// A thin wrapper round http-parser: reads messages out of a buffer as slices of it, and writes heads.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/buffer.hpp"
#include "net/framing.hpp"

namespace beechpoint::net {

inline constexpr std::size_t kMaxBody = 64 * 1024;
inline constexpr std::size_t kMaxHead = 16 * 1024;

// One message. All views are slices of the buffer it was read into.
struct HttpMessage {
    std::string_view method;  // requests
    std::string_view target;
    int status = 0;  // responses
    std::vector<std::pair<std::string_view, std::string_view>> headers;
    std::string_view body;
    bool keepAlive = false;
    int minorVersion = 1;  // of HTTP/1.x

    std::string_view path() const { return target.substr(0, target.find('?')); }
    std::string_view query() const {
        const auto mark = target.find('?');
        return mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    }
    // The first header of that name, in any case; nullptr-data view where there is none.
    std::string_view header(std::string_view name) const;
    std::size_t count(std::string_view name) const;  // headers of that name
};

// Parses message after message from the front of one Buffer. A body in chunks is moved together in place, so
// that it is one slice too.
class HttpReader {
public:
    enum class Kind { request, response };
    enum class State { more, complete, bad, tooLarge };
    using OnBody = std::function<void(std::string_view)>;

    // With `onBody`, body bytes are handed on as they come and not kept: for answers without an end.
    HttpReader(Kind kind, Buffer& buffer, OnBody onBody = {}, std::size_t maxBody = kMaxBody);
    HttpReader(const HttpReader&) = delete;
    HttpReader& operator=(const HttpReader&) = delete;

    // The most bytes of a head and of a body, from now on.
    void limits(std::size_t maxHead, std::size_t maxBody);
    // Reads requests by net/framing.hpp from now on: nothing ambiguous is taken, trailers are dropped, and a body that
    // comes in chunks takes no more room than its bytes. Not while a message is in hand.
    void strict();
    State parse();          // reads on through what the buffer holds
    State finish();         // the peer ended the connection: completes an answer that lasts until then
    HttpMessage message();  // after complete
    void next();            // gives up the message's bytes and begins another
    // Bytes of the message in hand, where it is complete: what lies behind them belongs to the next one.
    std::size_t messageSize() const { return complete_ ? parsed_ : 0; }
    bool inHead() const { return !headDone_; }
    // Bytes that the header lines of the message in hand take beside the buffer.
    std::size_t headerMemory() const { return headers_.capacity() * sizeof(decltype(headers_)::value_type); }
    // In a body whose client waits for "100 Continue" and has sent nothing of it yet. Strict reading only.
    bool awaitsContinue() const;
    int status() const { return headDone_ ? static_cast<int>(parser_.status_code) : 0; }

private:
    struct Slice {
        std::size_t at = 0, size = 0;
    };
    static HttpReader& of(http_parser* p) { return *static_cast<HttpReader*>(p->data); }
    int extend(Slice& slice, const char* at, std::size_t size);
    bool soundHead();
    int onHeader(bool value, const char* at, std::size_t size);
    int onBody(const char* at, std::size_t size);
    std::string_view view(const Slice& s) { return {buffer_.data() + s.at, s.size}; }
    State result(std::size_t used);
    State parseStrict();
    State parseStrictHead();
    State parseStrictBody();
    bool takeHead(std::string_view head);
    Slice sliceOf(std::string_view text) {
        return {static_cast<std::size_t>(text.data() - buffer_.data()), text.size()};
    }

    Buffer& buffer_;
    OnBody handOn_;
    Kind kind_;
    std::size_t maxHead_ = kMaxHead, maxBody_;
    http_parser parser_{};
    http_parser_settings settings_{};
    std::size_t parsed_ = 0;
    bool headDone_ = false, complete_ = false, tooLarge_ = false, lastWasValue_ = false, keepAlive_ = false;
    Slice target_, body_;
    std::vector<std::pair<Slice, Slice>> headers_;
    // Of the strict reading.
    bool strict_ = false, expectsContinue_ = false;
    Slice method_;
    int minorVersion_ = 1;
    BodyDecoder decoder_;
};

std::string_view reasonOf(int status);
// A whole response. `extra` holds further header lines, each ended by CRLF.
std::string response(int status, std::string_view type, std::string_view body, bool keepAlive,
                     std::string_view extra = {});
// Seconds for Retry-After, with decimals where they matter.
std::string retryAfterHeader(double ms);

}  // namespace beechpoint::net
