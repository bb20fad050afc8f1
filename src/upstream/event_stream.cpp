#include "upstream/event_stream.hpp"

#include "net/framing.hpp"

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

bool EventProgress::admit(const StreamEvent& event) {
    if (event.id && lastId_ && repeats(*event.id, *lastId_)) {
        ++repeated_;
        return false;
    }
    if (event.id) lastId_ = std::string(*event.id);
    ++admitted_;
    return true;
}

}  // namespace beechpoint::upstream
