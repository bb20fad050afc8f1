#include "event_script.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::system_test {
namespace {

constexpr std::size_t kSoundEvents = 2;  // at most, ahead of what spoils the stream
const std::string kGarbage("\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n", 12);

std::string eventOf(const std::string& id, std::uint64_t number) {
    return fmt::format("id: {}\ndata: {}.{}\n\n", number, id, number);
}

std::string half(const std::string& event) { return event.substr(0, event.size() / 2); }

}  // namespace

std::vector<std::string> eventsOf(const std::string& id, std::uint64_t after) {
    std::vector<std::string> events;
    for (std::uint64_t number = after + 1; number <= kEvents; ++number) events.push_back(eventOf(id, number));
    return events;
}

EventScript scriptOf(const std::string& id, std::uint64_t after, Spoil spoil) {
    EventScript script{eventsOf(id, after), false};
    if (spoil == Spoil::none || script.pieces.empty()) return script;
    const std::size_t sound = std::min(kSoundEvents, script.pieces.size() - 1);
    const auto at = script.pieces.begin() + static_cast<std::ptrdiff_t>(sound);
    script.endsWithReset = spoil == Spoil::truncatedEvent || spoil == Spoil::garbage;
    switch (spoil) {
        case Spoil::none:
            break;
        case Spoil::truncatedEvent:
            *at = half(*at);
            break;
        case Spoil::garbage:
            *at = kGarbage;
            break;
        case Spoil::garbageInsideEvent:
            *at = half(*at) + kGarbage;
            break;
        case Spoil::eventWithoutId:
            *at = "data: x\n\n";
            break;
        case Spoil::repeatedEvent:
            *at = sound > 0 ? script.pieces.front() : kGarbage;
            break;
        case Spoil::otherAnswer:
            *at = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n";
            break;
    }
    if (script.endsWithReset) script.pieces.resize(sound + 1);
    return script;
}

bool isWholeStream(const std::string& id, const std::string& body) {
    std::string whole;
    for (const std::string& event : eventsOf(id)) whole += event;
    return body == whole;
}

bool isCutStream(const std::string& id, const std::string& body) {
    std::string part;
    if (body.empty()) return true;
    for (const std::string& event : eventsOf(id)) {
        part += event;
        if (body == part) return true;
    }
    return false;
}

}  // namespace beechpoint::system_test
