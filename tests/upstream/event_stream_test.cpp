// Complete and sound events from chunks of any size, and none passed on twice.
#include "upstream/event_stream.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace beechpoint::upstream {
namespace {

struct Seen {
    std::string bytes;
    std::string id;
    bool hasData = false;
    bool operator==(const Seen&) const = default;
};

std::vector<Seen> split(EventSplitter& splitter, const std::string& stream, std::size_t chunk) {
    std::vector<Seen> seen;
    for (std::size_t at = 0; at < stream.size(); at += chunk)
        splitter.feed(std::string_view(stream).substr(at, chunk), [&](const StreamEvent& event) {
            seen.push_back({std::string(event.bytes), std::string(event.id.value_or("-")), event.hasData});
        });
    return seen;
}

TEST(EventSplitter, SplitsEventsWhateverTheChunkBorders) {
    const std::vector<Seen> events = {{"id: 1\ndata: a\n\n", "1", true},
                                      {"versions: 7\r\nid:2\r\ndata: b\r\ndata: c\r\n\r\n", "2", true},
                                      {": comment\n\n", "-", false},
                                      {"data: id: 9\n\r\n", "-", true},
                                      {"id\ndata\n\n", "", true}};
    std::string stream;
    for (const Seen& event : events) stream += event.bytes;
    for (std::size_t chunk = 1; chunk <= stream.size(); ++chunk) {
        EventSplitter splitter;
        EXPECT_EQ(split(splitter, stream, chunk), events) << "chunks of " << chunk;
        EXPECT_EQ(splitter.pending(), 0u);
    }
}

TEST(EventSplitter, BuffersIncompleteEvent) {
    EventSplitter splitter;
    EXPECT_EQ(split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n", 4).size(), 1u);
    EXPECT_GT(splitter.pending(), 0u);
    splitter.restart();
    EXPECT_EQ(splitter.pending(), 0u);
    EXPECT_EQ(split(splitter, "id: 2\ndata: b\n\n", 100).front().bytes, "id: 2\ndata: b\n\n");
}

TEST(EventSplitter, RejectsOverlongEvent) {
    EventSplitter splitter;
    const std::string part(EventSplitter::kMaxEvent / 2, 'x');
    int events = 0;
    const auto count = [&](const StreamEvent&) { ++events; };
    EXPECT_TRUE(splitter.feed(part, count));
    EXPECT_TRUE(splitter.feed(part, count));
    EXPECT_FALSE(splitter.feed("x", count));
    EXPECT_FALSE(splitter.feed("\n\n", count));
    EXPECT_EQ(events, 0);
}

TEST(StreamEvent, FindsFieldsByName) {
    EventSplitter splitter;
    splitter.feed("versions: 12\nid: 3\ndata: x\n\n", [](const StreamEvent& event) {
        EXPECT_EQ(event.field("versions"), "12");
        EXPECT_EQ(event.field("data"), "x");
        EXPECT_EQ(event.field("version"), std::nullopt);
    });
}

bool isWellFormed(const std::string& bytes) { return StreamEvent{bytes, std::nullopt, false}.isWellFormed(); }

TEST(StreamEvent, LinesThatAreNoFieldsAreMalformed) {
    for (const char* event :
         {"id: 1\ndata: a\n\n", "id\ndata\nevent\nretry\n\n", ": any text, HTTP/1.1 200 OK\n\n",
          "versions: 7\r\nx-trace_2:\r\n\r\n", "data: \xF0\x9F\x98\x80\ttab\n\n", "\n"})
        EXPECT_TRUE(isWellFormed(event)) << event;
    for (const char* event :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 OK 200\r\n\r\n", "X-Server-Seal: 1\r\n\r\n", "dat\n\n",
          "id: 1\n\x16\x03\x01\r\n\r\n", "id: 1\ndata: \x16\x03\n\n", "id: 1\rdata: a\n\n", "data: \x7f\n\n",
          "data: \xC3\n\n", "data: \xC0\x80\n\n", "data: \xED\xA0\x80\n\n", "data: \xF5\x80\x80\x80\n\n",
          " data: a\n\n", "da ta: a\n\n"})
        EXPECT_FALSE(isWellFormed(event)) << event;
    EXPECT_FALSE(isWellFormed(std::string("data: \0\n\n", 9)));
}

// What a reader passes on, and the fault that ends it.
struct Reading {
    std::string passed;
    std::optional<EventFault> fault;
};

Reading readAll(EventReader reader, const std::string& stream, std::size_t chunk) {
    Reading reading;
    for (std::size_t at = 0; at < stream.size(); at += chunk)
        reading.fault = reader.feed(std::string_view(stream).substr(at, chunk),
                                    [&](const StreamEvent& event) { reading.passed.append(event.bytes); });
    return reading;
}

TEST(EventReader, PassesOnNothingFromTheFirstFaultOn) {
    const std::string before = "id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\n\n";
    const std::string after = "id: 9\ndata: c\n\n";
    const std::vector<std::pair<std::string, EventFault>> faults = {
        {"\x16\x03\x01\r\n\r\n", EventFault::malformed},
        {"id: " + std::string(EventReader::kMaxId + 1, '7') + "\ndata: c\n\n", EventFault::malformed},
        {"data: c\n\n", EventFault::missingId},
        {"id:\ndata: c\n\n", EventFault::missingId},
        {"id: 2\ndata: c\n\n", EventFault::outOfOrder},
        {"id: 1\ndata: c\n\n", EventFault::outOfOrder},
        {"id: x\ndata: c\n\n", EventFault::outOfOrder}};
    for (const auto& [event, fault] : faults)
        for (std::size_t chunk = 1; chunk <= before.size() + event.size() + after.size(); ++chunk) {
            const Reading reading = readAll(EventReader(), before + event + after, chunk);
            EXPECT_EQ(reading.passed, before) << event << " in chunks of " << chunk;
            EXPECT_EQ(reading.fault, fault) << event << " in chunks of " << chunk;
        }
}

TEST(EventReader, EndsAtOverlongEvent) {
    const std::string event = "data: " + std::string(EventSplitter::kMaxEvent, 'x');
    EXPECT_EQ(readAll(EventReader(), event, event.size()).fault, EventFault::overlong);
}

TEST(EventReader, StreamWithoutIdsPasses) {
    const std::string stream = "data: a\n\ndata: b\n\n";
    const Reading reading = readAll(EventReader(), stream, 1);
    EXPECT_EQ(reading.passed, stream);
    EXPECT_EQ(reading.fault, std::nullopt);
}

TEST(EventReader, FirstEventNeedsIdWhereStreamIsResumed) {
    EXPECT_EQ(readAll(EventReader(true), "data: a\n\n", 1).fault, EventFault::missingId);
    EXPECT_EQ(readAll(EventReader(true), "id: 4\ndata: a\n\n", 1).fault, std::nullopt);
}

TEST(EventReader, BlankLinesBetweenEventsAreDropped) {
    const Reading reading = readAll(EventReader(), "\n\r\nid: 1\ndata: a\n\n\n", 1);
    EXPECT_EQ(reading.passed, "id: 1\ndata: a\n\n");
    EXPECT_EQ(reading.fault, std::nullopt);
}

bool admit(EventProgress& progress, const std::string& bytes) {
    bool admitted = false;
    EventSplitter splitter;
    splitter.feed(bytes, [&](const StreamEvent& event) { admitted = progress.admit(event); });
    return admitted;
}

TEST(EventProgress, DropsEventsThatTheClientHas) {
    EventProgress progress;
    EXPECT_EQ(progress.lastId(), std::nullopt);
    EXPECT_TRUE(admit(progress, "id: 9\ndata\n\n"));
    EXPECT_TRUE(admit(progress, "id: 10\ndata\n\n"));
    EXPECT_FALSE(admit(progress, "id: 10\ndata\n\n"));
    EXPECT_FALSE(admit(progress, "id: 9\ndata\n\n"));
    EXPECT_TRUE(admit(progress, "data: without id\n\n"));
    EXPECT_TRUE(admit(progress, "id: 11\ndata\n\n"));
    EXPECT_EQ(progress.lastId(), "11");
    EXPECT_EQ(progress.repeated(), 2u);
    EXPECT_EQ(progress.admitted(), 4u);
}

TEST(EventProgress, StartsAfterTheClientsLastEventId) {
    EventProgress progress;
    progress.startBehind("4");
    EXPECT_FALSE(admit(progress, "id: 4\n\n"));
    EXPECT_TRUE(admit(progress, "id: 5\n\n"));
    EventProgress textIds;
    textIds.startBehind("b");
    EXPECT_FALSE(admit(textIds, "id: b\n\n"));
    EXPECT_TRUE(admit(textIds, "id: a\n\n"));
}

}  // namespace
}  // namespace beechpoint::upstream
