// What a host sends as the answer to a request for events, whole or spoiled. Values without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechpoint::system_test {

inline constexpr std::uint64_t kEvents = 6;  // of a whole stream, numbered from 1

enum class Spoil {
    none,
    truncatedEvent,      // half an event, then a reset
    garbage,             // bytes with a blank line among them, then a reset
    garbageInsideEvent,  // the same behind half an event, and the stream goes on
    eventWithoutId,
    repeatedEvent,
    otherAnswer,  // the head of an answer inside the body
};
inline constexpr std::size_t kSpoils = static_cast<std::size_t>(Spoil::otherAnswer) + 1;

// All events of the answer to the request of that id, behind the event `after`.
std::vector<std::string> eventsOf(const std::string& id, std::uint64_t after = 0);

struct EventScript {
    std::vector<std::string> pieces;
    bool endsWithReset = false;
};
EventScript scriptOf(const std::string& id, std::uint64_t after, Spoil spoil);

// Whether the body is that of a whole stream, or of one that was cut behind an event.
bool isWholeStream(const std::string& id, const std::string& body);
bool isCutStream(const std::string& id, const std::string& body);

}  // namespace beechpoint::system_test
