// The layout's store: the text of a layout, the rows of the file, and a file of an earlier version that is opened and
// gone on with. The file's own bytes are SQLite's, which differ between its versions: what is written is compared row
// by row.
#include <sqlite3.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "golden_file.hpp"
#include "layout/store.hpp"

namespace beechpoint::golden {
namespace {

using namespace layout;

constexpr const char* kFamily = "layout_store";
constexpr KeyHash kEnd = ~KeyHash{0};

// A holder in every state.
LayoutPtr sampleLayout() {
    return Layout::make(
        7, {{1, 0, 999, {{"a", HolderState::serving, 2}, {"b", HolderState::copying, 3}}},
            {2, 1000, 4999, {{"a", HolderState::handingOver, 4}, {"b", HolderState::catchingUp, 5}}},
            {5, 5000, kEnd, {{"a", HolderState::serving, 6}, {"c", HolderState::retired, 7}}}});
}

TEST(LayoutStore, LayoutText) {
    const std::string text = expectGolden(kFamily, "layout_text", serializeLayout(*sampleLayout()));
    const LayoutPtr read = parseLayout(text);
    EXPECT_EQ(read->epoch(), 7u);
    EXPECT_EQ(read->slices(), sampleLayout()->slices());
}

// The rows of a store's file as text: a line for each row, its cells set apart by bars.
std::string rowsOf(const std::string& file) {
    sqlite3* opened = nullptr;
    const int result = sqlite3_open_v2(file.c_str(), &opened, SQLITE_OPEN_READWRITE, nullptr);
    const std::unique_ptr<sqlite3, int (*)(sqlite3*)> db(opened, sqlite3_close);
    EXPECT_EQ(result, SQLITE_OK);
    std::string rows;
    const auto add = [](void* to, int count, char** cells, char**) {
        std::string& text = *static_cast<std::string*>(to);
        for (int i = 0; i < count; ++i) text += std::string(i > 0 ? "|" : "") + (cells[i] ? cells[i] : "");
        text += '\n';
        return 0;
    };
    for (const char* sql :
         {"SELECT name, sql FROM sqlite_master WHERE name NOT LIKE 'sqlite_%' ORDER BY name",
          "SELECT * FROM controller", "SELECT * FROM base", "SELECT * FROM log ORDER BY seq"})
        EXPECT_EQ(sqlite3_exec(db.get(), sql, add, &rows, nullptr), SQLITE_OK) << sql;
    return rows;
}

LayoutPtr firstLayout() {
    return Layout::make(
        1, {{1, 0, 999, {{"a"}, {"b"}}}, {2, 1000, 4999, {{"a"}, {"b"}}}, {3, 5000, kEnd, {{"a"}, {"b"}}}});
}

// A change that ends, so that the log is cut, and then a row or more of each kind of step: the last change is under way
// at the end, which keeps them in the log.
void writeStore(const std::string& file) {
    LayoutStore store(file, "gatherer-a", 0x900000001, 50, firstLayout());
    const auto epoch = [&] { return store.changes().layout()->epoch(); };
    const auto step = [&](Millis now, const LayoutStep& what) {
        std::string reason;
        const std::size_t rows = store.logRows();
        store.step(now, what, &reason);
        EXPECT_EQ(reason, "");
        EXPECT_NE(store.logRows(), rows) << "the step at " << now << " was not kept";
    };
    step(100, BeginStep{Split{2, 3000}});
    step(200, EpochConfirmedStep{"a", epoch()});
    step(300, EpochConfirmedStep{"b", epoch()});
    step(400, EpochReleasedStep{epoch()});
    EXPECT_EQ(store.logRows(), 0u);
    step(500.125, BeginStep{Move{1, "a", "c"}});
    step(600, CopyCompletedStep{2});
    step(700, CatchUpCompletedStep{2});
    step(800, EpochConfirmedStep{"c", epoch()});
    step(900, BeginStep{Merge{4, 5}});
    step(1000, EpochReleasedStep{epoch()});
    step(1100, HostDiedStep{"b"});
    step(1200, HostReturnedStep{"b"});
    step(1300, BeginStep{Split{3, 9000}});
    step(1400, AbortStep{3});
    step(1500, BeginStep{Move{1, "b", "d"}});
    step(12'000, AdvanceTimeStep{});
}

TEST(LayoutStore, RowsByTheSameOperations) {
    const TemporaryFolder folder;
    writeStore(folder.file("layout.db"));
    expectGolden(kFamily, "rows", rowsOf(folder.file("layout.db")));
    if (writesGoldenFiles()) expectGolden(kFamily, "layout.db", readFile(folder.file("layout.db")));
}

TEST(LayoutStore, AnEarlierVersionsFileIsOpenedAsItWas) {
    const TemporaryFolder folder, fresh;
    const Entries entries = loadFamily(kFamily);
    ASSERT_TRUE(entries.contains("layout.db") && entries.contains("rows"));
    folder.write("layout.db", entries.at("layout.db"));
    EXPECT_EQ(rowsOf(folder.file("layout.db")), entries.at("rows"));

    writeStore(fresh.file("layout.db"));
    const LayoutStore store(folder.file("layout.db"), "gatherer-a", 0x900000001, 2000, firstLayout());
    const LayoutStore again(fresh.file("layout.db"), "gatherer-a", 0x900000001, 2000, firstLayout());
    EXPECT_EQ(serializeLayout(*store.changes().layout()), serializeLayout(*again.changes().layout()));
    EXPECT_EQ(store.changes().changes().size(), again.changes().changes().size());
    EXPECT_EQ(store.logRows(), again.logRows());
    expectGolden(kFamily, "layout_text_reopened", serializeLayout(*store.changes().layout()));
}

TEST(LayoutStore, AnEarlierVersionsFenceHolds) {
    const TemporaryFolder folder;
    const Entries entries = loadFamily(kFamily);
    ASSERT_TRUE(entries.contains("layout.db"));
    folder.write("layout.db", entries.at("layout.db"));
    const std::string file = folder.file("layout.db");
    EXPECT_THROW(LayoutStore(file, "gatherer-b", 0x900000001, 2000, firstLayout()), LeaseLost);
    EXPECT_THROW(LayoutStore(file, "gatherer-a", 0x900000000, 2000, firstLayout()), LeaseLost);
    EXPECT_NO_THROW(LayoutStore(file, "gatherer-b", 0x900000002, 2000, firstLayout()));
}

}  // namespace
}  // namespace beechpoint::golden
