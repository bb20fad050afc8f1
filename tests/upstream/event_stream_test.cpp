// Complete events from chunks of any size, and none passed on twice.
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
