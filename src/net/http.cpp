#include "net/http.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::net {

namespace {

constexpr std::size_t kKeptHeaders = 64;  // whose room stays for the next message

}  // namespace

std::string_view HttpMessage::header(std::string_view name) const {
    for (const auto& [key, value] : headers)
        if (sameName(key, name)) return value;
    return {};
}

std::size_t HttpMessage::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(),
                                                  [&](const auto& h) { return sameName(h.first, name); }));
}

HttpReader::HttpReader(Kind kind, Buffer& buffer, OnBody onBody, std::size_t maxBody)
    : buffer_(buffer), handOn_(std::move(onBody)), kind_(kind), maxBody_(maxBody) {
    http_parser_settings_init(&settings_);
    settings_.on_url = [](http_parser* p, const char* at, std::size_t n) {
        return of(p).extend(of(p).target_, at, n);
    };
    settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
        return of(p).onHeader(false, at, n);
    };
    settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
        return of(p).onHeader(true, at, n);
    };
    settings_.on_headers_complete = [](http_parser* p) {
        HttpReader& r = of(p);
        r.headDone_ = true;
        if (r.kind_ == Kind::request && !r.soundHead()) return -1;
        r.keepAlive_ = http_should_keep_alive(p) != 0;
        const bool declared = p->content_length != UINT64_MAX && p->content_length > r.maxBody_;
        r.tooLarge_ = declared && !r.handOn_;
        return r.tooLarge_ ? -1 : 0;
    };
    settings_.on_body = [](http_parser* p, const char* at, std::size_t n) { return of(p).onBody(at, n); };
    settings_.on_message_complete = [](http_parser* p) {
        of(p).complete_ = true;
        http_parser_pause(p, 1);  // what follows belongs to the next message
        return 0;
    };
    next();
}

// A request whose length could be read in two ways may hide another within its body: none of these is passed
// on. http-parser forgives blanks in names, which then are no framing headers to it, and unknown codings.
bool HttpReader::soundHead() {
    std::size_t lengths = 0, codings = 0;
    for (const auto& [nameAt, valueAt] : headers_) {
        const std::string_view name = view(nameAt);
        if (name.empty() || name.find_first_of(" \t()<>@,;:\\\"/[]?={}") != std::string_view::npos)
            return false;
        if (sameName(name, "Content-Length")) ++lengths;
        if (!sameName(name, "Transfer-Encoding")) continue;
        ++codings;
        if (!sameName(view(valueAt), "chunked")) return false;
    }
    return lengths + codings <= 1;
}

int HttpReader::extend(Slice& slice, const char* at, std::size_t size) {
    if (slice.size == 0) slice.at = static_cast<std::size_t>(at - buffer_.data());
    slice.size += size;
    return 0;
}

int HttpReader::onHeader(bool value, const char* at, std::size_t size) {
    if (headDone_) return 0;  // a trailer: dropped
    if (!value && (headers_.empty() || lastWasValue_)) headers_.emplace_back();
    lastWasValue_ = value;
    if (headers_.empty()) return -1;
    return extend(value ? headers_.back().second : headers_.back().first, at, size);
}

int HttpReader::onBody(const char* at, std::size_t size) {
    if (handOn_) {
        handOn_({at, size});
        return 0;
    }
    if (body_.size + size > maxBody_) {
        tooLarge_ = true;
        return -1;
    }
    if (body_.size == 0) body_.at = static_cast<std::size_t>(at - buffer_.data());
    // A further chunk: its size line lies between, so the bytes move up. They never pass what is unread.
    std::memmove(buffer_.data() + body_.at + body_.size, at, size);
    body_.size += size;
    return 0;
}

HttpReader::State HttpReader::result(std::size_t used) {
    parsed_ += used;
    if (complete_) return State::complete;
    if (tooLarge_) return State::tooLarge;
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return State::bad;
    if (!headDone_ && parsed_ > maxHead_) return State::tooLarge;
    if (handOn_ && headDone_) {  // nothing of it is needed any more
        buffer_.consume(parsed_);
        parsed_ = 0;
    } else if (body_.size > 0) {  // nor of the framing behind the body's bytes
        const std::size_t bodyEnd = body_.at + body_.size;
        buffer_.cut(bodyEnd, parsed_ - bodyEnd);
        parsed_ = bodyEnd;
    }
    return State::more;
}

HttpReader::State HttpReader::parse() {
    if (complete_) return State::complete;
    if (strict_) return parseStrict();
    if (buffer_.size() == parsed_) return State::more;
    return result(
        http_parser_execute(&parser_, &settings_, buffer_.data() + parsed_, buffer_.size() - parsed_));
}

void HttpReader::limits(std::size_t maxHead, std::size_t maxBody) {
    maxHead_ = maxHead;
    maxBody_ = maxBody;
}

void HttpReader::strict() { strict_ = true; }

bool HttpReader::awaitsContinue() const {
    return expectsContinue_ && headDone_ && !complete_ && body_.size == 0;
}

HttpReader::State HttpReader::parseStrict() {
    if (!headDone_) {
        const State head = parseStrictHead();
        if (!headDone_ || head != State::more) return head;
    }
    return parseStrictBody();
}

HttpReader::State HttpReader::parseStrictHead() {
    while (buffer_.view().starts_with("\r\n")) buffer_.consume(2);  // some clients send one behind a body
    const std::size_t end = headEnd(buffer_.view());
    const std::string_view head = buffer_.view().substr(0, end > 0 ? end : buffer_.size());
    if (head.size() > maxHead_) return State::tooLarge;
    if (holdsBareLineEnd(head)) return State::bad;
    if (end == 0) return State::more;
    if (!takeHead(head)) return State::bad;
    return tooLarge_ ? State::tooLarge : State::more;
}

bool HttpReader::takeHead(std::string_view text) {
    const auto head = parseRequestHead(text);
    const auto framing = head ? requestFraming(*head) : std::nullopt;
    if (!framing) return false;
    method_ = sliceOf(head->method);
    target_ = sliceOf(head->target);
    for (const auto& [name, value] : head->headers) headers_.emplace_back(sliceOf(name), sliceOf(value));
    minorVersion_ = head->minorVersion;
    keepAlive_ = head->keepAlive();
    expectsContinue_ = minorVersion_ == 1 && head->holds("Expect", "100-continue");
    decoder_ = BodyDecoder(*framing);
    headDone_ = true;
    parsed_ = body_.at = text.size();
    tooLarge_ = framing->kind == BodyFraming::Kind::length && framing->length > maxBody_;
    return true;
}

// Chunks are moved together as they come, and the room of their size lines is given back.
HttpReader::State HttpReader::parseStrictBody() {
    const BodyDecoder::State state =
        decoder_.feed(buffer_.view().substr(parsed_), parsed_,
                      [this](std::string_view piece) { onBody(piece.data(), piece.size()); });
    if (tooLarge_) return State::tooLarge;
    if (state == BodyDecoder::State::bad) return State::bad;
    const std::size_t bodyEnd = body_.at + body_.size;
    buffer_.cut(bodyEnd, parsed_ - bodyEnd);
    parsed_ = bodyEnd;
    complete_ = state == BodyDecoder::State::complete;
    return complete_ ? State::complete : State::more;
}

HttpReader::State HttpReader::finish() {
    return result(http_parser_execute(&parser_, &settings_, nullptr, 0));
}

HttpMessage HttpReader::message() {
    HttpMessage m;
    if (strict_)
        m.method = view(method_);
    else if (kind_ == Kind::request)
        m.method = http_method_str(static_cast<http_method>(parser_.method));
    else
        m.status = static_cast<int>(parser_.status_code);
    m.target = view(target_);
    for (const auto& [name, value] : headers_) m.headers.emplace_back(view(name), view(value));
    m.body = view(body_);
    m.keepAlive = keepAlive_;
    m.minorVersion = strict_ ? minorVersion_ : static_cast<int>(parser_.http_minor);
    return m;
}

void HttpReader::next() {
    buffer_.consume(parsed_);
    parsed_ = 0;
    headDone_ = complete_ = tooLarge_ = lastWasValue_ = keepAlive_ = false;
    target_ = body_ = {};
    headers_.clear();
    if (headers_.capacity() > kKeptHeaders) headers_.shrink_to_fit();
    expectsContinue_ = false;
    http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

std::string_view reasonOf(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 206:
            return "Partial Content";
        case 304:
            return "Not Modified";
        case 307:
            return "Temporary Redirect";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 408:
            return "Request Timeout";
        case 412:
            return "Precondition Failed";
        case 413:
            return "Payload Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

std::string response(int status, std::string_view type, std::string_view body, bool keepAlive,
                     std::string_view extra) {
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}{}\r\n{}", status,
                       reasonOf(status), type, body.size(), keepAlive ? "" : "Connection: close\r\n", extra,
                       body);
}

std::string retryAfterHeader(double ms) { return fmt::format("Retry-After: {:.3f}\r\n", ms / 1000); }

}  // namespace beechpoint::net
