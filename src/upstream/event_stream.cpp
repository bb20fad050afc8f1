#include "upstream/event_stream.hpp"

#include <algorithm>
#include <array>

#include "net/framing.hpp"
#include "net/utf8.hpp"

namespace beechpoint::upstream {

namespace {

// Takes the first line off the front of `rest` and gives it without its end.
std::string_view takeLine(std::string_view& rest) {
    const auto end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
}

// The value of a line of that field: behind the colon and one blank.
std::optional<std::string_view> valueOf(std::string_view line, std::string_view name) {
    if (!line.starts_with(name)) return std::nullopt;
    line.remove_prefix(name.size());
    if (line.empty()) return line;
    if (line.front() != ':') return std::nullopt;
    line.remove_prefix(1);
    if (line.starts_with(' ')) line.remove_prefix(1);
    return line;
}

bool isLowerCaseName(std::string_view name) {
    const auto isNameCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isNameCharacter);
}

// Whether a field of that name may stand without a colon.
bool mayLackValue(std::string_view name) {
    constexpr std::array<std::string_view, 4> kNames = {"id", "data", "event", "retry"};
    return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

bool isControlCharacter(char c) {
    const auto code = static_cast<unsigned char>(c);
    return (code < ' ' && c != '\t') || code == 0x7f;
}

bool isWellFormedLine(std::string_view line) {
    if (std::any_of(line.begin(), line.end(), isControlCharacter) || !net::isUtf8(line)) return false;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return line.empty() || mayLackValue(line);
    return colon == 0 || isLowerCaseName(line.substr(0, colon));
}

StreamEvent eventOf(std::string_view bytes) {
    StreamEvent event{bytes, std::nullopt, false};
    for (std::string_view rest = bytes; !rest.empty();) {
        const std::string_view line = takeLine(rest);
        if (const auto id = valueOf(line, "id")) event.id = id;
        if (valueOf(line, "data")) event.hasData = true;
    }
    return event;
}

bool repeats(std::string_view id, std::string_view last) {
    const auto number = net::decimalNumber(id), lastNumber = net::decimalNumber(last);
    if (number && lastNumber) return *number <= *lastNumber;
    return id == last;
}

}  // namespace

std::optional<std::string_view> StreamEvent::field(std::string_view name) const {
    std::optional<std::string_view> found;
    for (std::string_view rest = bytes; !rest.empty();)
        if (const auto value = valueOf(takeLine(rest), name)) found = value;
    return found;
}

bool StreamEvent::isWellFormed() const {
    for (std::string_view rest = bytes; !rest.empty();)
        if (!isWellFormedLine(takeLine(rest))) return false;
    return true;
}

bool EventSplitter::feed(std::string_view bytes, const OnEvent& onEvent) {
    if (overlong_) return false;
    pending_ += bytes;
    std::size_t eventBegin = 0;
    for (auto end = pending_.find('\n', lineBegin_); end != std::string::npos;
         end = pending_.find('\n', lineBegin_)) {
        const std::string_view line = std::string_view(pending_).substr(lineBegin_, end - lineBegin_);
        lineBegin_ = end + 1;
        if (!line.empty() && line != "\r") continue;
        onEvent(eventOf(std::string_view(pending_).substr(eventBegin, lineBegin_ - eventBegin)));
        eventBegin = lineBegin_;
    }
    pending_.erase(0, eventBegin);
    lineBegin_ -= eventBegin;
    overlong_ = pending_.size() > kMaxEvent;
    return !overlong_;
}

void EventSplitter::restart() {
    pending_.clear();
    lineBegin_ = 0;
    overlong_ = false;
}

std::string_view nameOf(EventFault fault) {
    switch (fault) {
        case EventFault::overlong:
            return "overlong";
        case EventFault::malformed:
            return "malformed";
        case EventFault::missingId:
            return "missing id";
        case EventFault::outOfOrder:
            return "id out of order";
    }
    return "unknown";
}

std::optional<EventFault> EventReader::feed(std::string_view bytes, const EventSplitter::OnEvent& onEvent) {
    if (fault_) return fault_;
    const bool inBounds = splitter_.feed(bytes, [&](const StreamEvent& event) {
        if (fault_ || event.isEmpty()) return;
        fault_ = check(event);
        if (!fault_) onEvent(event);
    });
    if (!inBounds && !fault_) fault_ = EventFault::overlong;
    return fault_;
}

std::optional<EventFault> EventReader::check(const StreamEvent& event) {
    if (!event.isWellFormed()) return EventFault::malformed;
    if (event.id && !event.id->empty()) return checkId(*event.id);
    const bool idsExpected = requireIds_ || lastId_.has_value();
    if (event.hasData && idsExpected) return EventFault::missingId;
    return std::nullopt;
}

std::optional<EventFault> EventReader::checkId(std::string_view id) {
    if (id.size() > kMaxId) return EventFault::malformed;
    if (lastId_ && repeats(id, *lastId_)) return EventFault::outOfOrder;
    if (lastId_ && net::decimalNumber(*lastId_) && !net::decimalNumber(id)) return EventFault::outOfOrder;
    lastId_ = std::string(id);
    return std::nullopt;
}

bool EventProgress::admit(const StreamEvent& event) {
    const bool hasId = event.id && !event.id->empty();
    if (hasId && lastId_ && repeats(*event.id, *lastId_)) {
        ++repeated_;
        return false;
    }
    if (hasId) lastId_ = std::string(*event.id);
    if (!hasId && event.hasData) hasUnnumberedData_ = true;
    ++admitted_;
    return true;
}

}  // namespace beechpoint::upstream
