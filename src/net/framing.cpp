#include "net/framing.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace beechpoint::net {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxChunkLine = 256;       // bytes of a chunk's size with its extensions
constexpr std::size_t kMaxTrailers = 16 * 1024;  // bytes
constexpr std::size_t kMaxSizeDigits = 15;       // of a chunk, in hex
constexpr std::size_t kMaxDecimalDigits = 18;    // fit into 64 bits
constexpr std::size_t kVersionSize = sizeof("HTTP/1.1") - 1;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }
bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool isTokenCharacter(char c) {
    const char small = lower(c);
    if (isDigit(c) || (small >= 'a' && small <= 'z')) return true;
    return std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Printable, blank or tab; bytes above 127 are opaque.
bool isFieldText(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return code == '\t' || (code >= ' ' && code != 0x7f);
    });
}

bool isBlank(char c) { return c == ' ' || c == '\t'; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
    return text;
}

bool isTarget(std::string_view target) {
    if (target == "*") return true;
    if (!target.starts_with('/')) return false;
    return std::all_of(target.begin(), target.end(), [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return code > ' ' && code < 0x7f && c != '#';
    });
}

// 0 or 1 for HTTP/1.0 and HTTP/1.1.
std::optional<int> minorVersionOf(std::string_view version) {
    if (version == "HTTP/1.1") return 1;
    if (version == "HTTP/1.0") return 0;
    return std::nullopt;
}

// One line without its end. None: the end is not CRLF.
std::optional<std::string_view> takeHeadLine(std::string_view& rest) {
    const auto end = rest.find('\n');
    if (end == std::string_view::npos || end == 0 || rest[end - 1] != '\r') return std::nullopt;
    const std::string_view line = rest.substr(0, end - 1);
    rest.remove_prefix(end + 1);
    return line;
}

std::optional<std::pair<std::string_view, std::string_view>> parseField(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isToken(name) || !isFieldText(value)) return std::nullopt;  // a folded line has a blank in its name
    return std::pair(name, value);
}

bool parseFields(std::string_view rest, MessageHead& head) {
    for (;;) {
        const auto line = takeHeadLine(rest);
        if (!line) return false;
        if (line->empty()) return rest.empty();
        const auto field = parseField(*line);
        if (!field) return false;
        head.headers.push_back(*field);
    }
}

bool parseRequestLine(std::string_view line, MessageHead& head) {
    const auto afterMethod = line.find(' ');
    const auto beforeVersion = line.rfind(' ');
    if (afterMethod == std::string_view::npos || beforeVersion == afterMethod) return false;
    head.method = line.substr(0, afterMethod);
    head.target = line.substr(afterMethod + 1, beforeVersion - afterMethod - 1);
    const auto version = minorVersionOf(line.substr(beforeVersion + 1));
    if (!version) return false;
    head.minorVersion = *version;
    return isToken(head.method) && head.method != "CONNECT" && isTarget(head.target);
}

bool parseStatusLine(std::string_view line, MessageHead& head) {
    constexpr std::size_t kStatusAt = kVersionSize + 1, kStatusDigits = 3;
    if (line.size() < kStatusAt + kStatusDigits || line[kVersionSize] != ' ') return false;
    const auto version = minorVersionOf(line.substr(0, kVersionSize));
    const auto status = decimalNumber(line.substr(kStatusAt, kStatusDigits));
    if (!version || !status || *status < 100) return false;
    head.minorVersion = *version;
    head.status = static_cast<int>(*status);
    const std::string_view reason = line.substr(kStatusAt + kStatusDigits);
    return reason.empty() || (reason.front() == ' ' && isFieldText(reason));
}

std::optional<MessageHead> parseHead(std::string_view text,
                                     bool (*parseFirstLine)(std::string_view, MessageHead&)) {
    MessageHead head;
    const auto first = takeHeadLine(text);
    if (!first || !parseFirstLine(*first, head) || !parseFields(text, head)) return std::nullopt;
    return head;
}

// By the framing headers alone; `otherwise` where there are none.
std::optional<BodyFraming> declaredFraming(const MessageHead& head, BodyFraming::Kind otherwise) {
    const std::size_t lengths = head.count("Content-Length"), codings = head.count("Transfer-Encoding");
    if (lengths + codings > 1) return std::nullopt;
    if (codings == 1) {
        if (head.minorVersion == 0 || !sameName(head.header("Transfer-Encoding"), "chunked"))
            return std::nullopt;
        return BodyFraming{BodyFraming::Kind::chunked, 0};
    }
    if (lengths == 0) return BodyFraming{otherwise, 0};
    const auto length = decimalNumber(head.header("Content-Length"));
    if (!length) return std::nullopt;
    return BodyFraming{BodyFraming::Kind::length, *length};
}

}  // namespace

bool sameName(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

bool listHolds(std::string_view value, std::string_view token) {
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (sameName(trimmed(value.substr(0, comma)), token)) return true;
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

std::optional<std::uint64_t> decimalNumber(std::string_view digits) {
    if (digits.empty() || digits.size() > kMaxDecimalDigits) return std::nullopt;
    if (!std::all_of(digits.begin(), digits.end(), isDigit)) return std::nullopt;
    std::uint64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

std::string_view MessageHead::header(std::string_view name) const {
    for (const auto& [key, value] : headers)
        if (sameName(key, name)) return value;
    return {};
}

std::size_t MessageHead::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const auto& field) { return sameName(field.first, name); }));
}

bool MessageHead::holds(std::string_view name, std::string_view token) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& field) {
        return sameName(field.first, name) && listHolds(field.second, token);
    });
}

std::size_t headEnd(std::string_view bytes) {
    const auto found = bytes.find(kHeadEnd);
    return found == std::string_view::npos ? 0 : found + kHeadEnd.size();
}

bool holdsBareLineEnd(std::string_view bytes) {
    for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', end + 1))
        if (end == 0 || bytes[end - 1] != '\r') return true;
    return false;
}

std::optional<MessageHead> parseRequestHead(std::string_view head) {
    auto parsed = parseHead(head, parseRequestLine);
    if (parsed && parsed->count("Host") > 1) return std::nullopt;
    return parsed;
}

std::optional<MessageHead> parseAnswerHead(std::string_view head) { return parseHead(head, parseStatusLine); }

std::optional<BodyFraming> requestFraming(const MessageHead& head) {
    return declaredFraming(head, BodyFraming::Kind::none);
}

std::optional<BodyFraming> answerFraming(const MessageHead& head, std::string_view requestMethod) {
    const auto declared = declaredFraming(head, BodyFraming::Kind::toEnd);
    const bool bodyless =
        requestMethod == "HEAD" || head.status < 200 || head.status == 204 || head.status == 304;
    if (declared && bodyless) return BodyFraming{BodyFraming::Kind::none, declared->length};
    return declared;
}

BodyDecoder::BodyDecoder(BodyFraming framing) : framing_(framing), state_(State::more) {
    using Kind = BodyFraming::Kind;
    if (framing.kind == Kind::length) left_ = framing.length;
    const bool empty = framing.kind == Kind::none || (framing.kind == Kind::length && framing.length == 0);
    if (empty) state_ = State::complete;
}

BodyDecoder::State BodyDecoder::feed(std::string_view bytes, std::size_t& used, const OnPiece& onPiece) {
    if (state_ != State::more) return state_;
    if (framing_.kind == BodyFraming::Kind::chunked) return state_ = feedChunked(bytes, used, onPiece);
    std::string_view piece = bytes;
    if (framing_.kind == BodyFraming::Kind::length) piece = takeCounted(bytes);
    used += piece.size();
    if (!piece.empty()) onPiece(piece);
    if (framing_.kind == BodyFraming::Kind::length && left_ == 0) state_ = State::complete;
    return state_;
}

BodyDecoder::State BodyDecoder::finish() {
    if (state_ == State::more)
        state_ = framing_.kind == BodyFraming::Kind::toEnd ? State::complete : State::bad;
    return state_;
}

std::string_view BodyDecoder::takeCounted(std::string_view bytes) {
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
    left_ -= size;
    return bytes.substr(0, size);
}

// A line of the chunked coding. False with state `more`: it is not whole; with `bad`: it is none.
bool BodyDecoder::takeLine(std::string_view bytes, std::size_t& used, std::string_view& line) {
    const auto end = bytes.find('\n');
    const std::size_t most = step_ == Step::trailer ? kMaxTrailers : kMaxChunkLine;
    if (std::min(end, bytes.size()) > most) state_ = State::bad;
    if (state_ == State::bad || end == std::string_view::npos) return false;
    if (end == 0 || bytes[end - 1] != '\r') {
        state_ = State::bad;
        return false;
    }
    line = bytes.substr(0, end - 1);
    used += end + 1;
    return true;
}

BodyDecoder::State BodyDecoder::feedChunked(std::string_view bytes, std::size_t& used,
                                            const OnPiece& onPiece) {
    std::size_t at = 0;
    while (state_ == State::more) {
        const std::string_view rest = bytes.substr(at);
        const std::size_t before = at;
        std::string_view line;
        switch (step_) {
            case Step::size:
                if (takeLine(rest, at, line)) state_ = onSizeLine(line);
                break;
            case Step::data: {
                const std::string_view piece = takeCounted(rest);
                at += piece.size();
                if (left_ == 0) step_ = Step::dataEnd;
                if (!piece.empty()) onPiece(piece);
                break;
            }
            case Step::dataEnd:
                if (!kLineEnd.starts_with(rest.substr(0, kLineEnd.size()))) return State::bad;
                if (rest.size() < kLineEnd.size()) break;
                at += kLineEnd.size();
                step_ = Step::size;
                break;
            case Step::trailer:
                if (takeLine(rest, at, line)) state_ = onTrailerLine(line);
                break;
        }
        if (at == before) break;  // the rest is not whole, or bad
    }
    used += at;
    return state_;
}

BodyDecoder::State BodyDecoder::onSizeLine(std::string_view line) {
    const auto semicolon = std::min(line.find(';'), line.size());
    const std::string_view digits = line.substr(0, semicolon);
    if (digits.empty() || digits.size() > kMaxSizeDigits || !isFieldText(line)) return State::bad;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), left_, 16);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) return State::bad;
    step_ = left_ == 0 ? Step::trailer : Step::data;
    return State::more;
}

BodyDecoder::State BodyDecoder::onTrailerLine(std::string_view line) {
    if (line.empty()) return State::complete;
    trailerBytes_ += line.size();
    return trailerBytes_ <= kMaxTrailers && parseField(line) ? State::more : State::bad;
}

}  // namespace beechpoint::net
