// The layout's store: one writer, whatever two controllers believe, and no step half done, wherever the
// process dies.
#include "layout/store.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "lease_sessions/session_table.hpp"

namespace beechpoint::layout {
namespace {

constexpr KeyHash kEnd = ~KeyHash{0};

LayoutPtr first() { return Layout::make(1, {{1, 0, 999, {{"a"}, {"b"}}}, {2, 1000, kEnd, {{"a"}, {"b"}}}}); }

struct Folder {
    Folder() {
        std::string name = (std::filesystem::temp_directory_path() / "beechpoint-layout-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string file() const { return path + "/layout.db"; }
    std::string path;
};

// A day of the controller's: a move to its end, a split, a move that is aborted, a move whose target dies.
const std::vector<std::pair<Millis, std::function<LayoutStep(const Changes&)>>>& day() {
    const auto stands = [](const char* host) {
        return [host](const Changes& c) { return LayoutStep(StandsStep{host, c.layout()->epoch()}); };
    };
    const auto always = [](LayoutStep step) { return [step](const Changes&) { return step; }; };
    static const std::vector<std::pair<Millis, std::function<LayoutStep(const Changes&)>>> steps = {
        {100, always(BeginStep{Move{1, "a", "c"}})},
        {200, always(CopiedStep{1})},
        {300, always(CaughtUpStep{1})},
        {400, stands("c")},
        {500, stands("a")},
        {600, [](const Changes& c) { return LayoutStep(ReleasedStep{c.layout()->epoch()}); }},
        {700, always(BeginStep{Split{2, 5000}})},
        {800, stands("a")},
        {900, stands("b")},
        {1000, always(BeginStep{Move{1, "b", "d"}})},
        {1100, always(CopiedStep{3})},
        {1200, always(AbortStep{3})},
        {1300, always(BeginStep{Move{1, "c", "e"}})},
        {1400, always(DiedStep{"e"})},
        {1500, always(ReturnedStep{"e"})},
        {30'000, always(TimeStep{})}};
    return steps;
}

TEST(Store, ComesBackAsItWas) {
    Folder folder;
    for (std::size_t upTo = 0; upTo <= day().size(); ++upTo) {
        std::filesystem::remove_all(folder.file());
        std::filesystem::remove_all(folder.file() + "-wal");
        std::filesystem::remove_all(folder.file() + "-shm");
        std::string layout, changes;
        const auto told = [](const Changes& c) {
            std::string text;
            for (const ChangeView& v : c.changes())
                if (v.state != ChangeState::done && v.state != ChangeState::undone)
                    text += std::to_string(v.id) + nameOf(v.state) + std::to_string(v.until) + ";";
            return text + std::to_string(c.lastChange()) + "," + std::to_string(c.lastSlice()) + "," +
                   std::to_string(c.dead().size());
        };
        {
            LayoutStore store(folder.file(), "one", 1, 0, first());
            for (std::size_t i = 0; i < upTo; ++i)
                store.step(day()[i].first, day()[i].second(store.changes()));
            layout = layoutText(*store.changes().layout());
            changes = told(store.changes());
        }
        LayoutStore again(folder.file(), "two", 2, 40'000, first());
        EXPECT_EQ(layoutText(*again.changes().layout()), layout) << upTo;
        EXPECT_EQ(told(again.changes()), changes) << upTo;
        EXPECT_EQ(again.fence(), 2U);
    }
}

// The numbers come from the group's table of duties, as the ledger settles it.
TEST(Store, WhoWasOvertakenIsTurnedDownByTheDutysNumber) {
    lease_sessions::SessionTable table;
    table.begin(3);
    raft::Index entry = 0;
    const auto settle = [&](lease_sessions::Operation op, const std::string& member, raft::Index session) {
        lease_sessions::Command c;
        c.op = op, c.member = member, c.singletonRole = "layout", c.session = session,
        c.processIncarnation = 1;
        table.apply(++entry, 1, lease_sessions::encodeCommand(c));
        return entry;
    };
    settle(lease_sessions::Operation::define, "", 0);
    const raft::Index s1 = settle(lease_sessions::Operation::open, "g1", 0),
                      s2 = settle(lease_sessions::Operation::open, "g2", 0);
    settle(lease_sessions::Operation::grant, "g1", s1);
    const std::uint64_t f1 = table.singletonRole("layout")->fencingToken;
    Folder folder;
    LayoutStore one(folder.file(), "g1", f1, 1'000, first());
    one.step(2'000, BeginStep{Move{1, "a", "c"}});
    EXPECT_THROW(LayoutStore(folder.file(), "g2", f1, 2'000, first()),
                 LeaseLost);                             // the same number, another holder
    settle(lease_sessions::Operation::close, "g1", s1);  // it stands still, and its session has run out
    settle(lease_sessions::Operation::grant, "g2", s2);
    const std::uint64_t f2 = table.singletonRole("layout")->fencingToken;
    ASSERT_GT(f2, f1);
    LayoutStore two(folder.file(), "g2", f2, 9'001, first());
    EXPECT_EQ(two.changes().underWay(), 1U);
    const auto epoch = one.changes().layout()->epoch();
    EXPECT_THROW(one.step(9'100, CopiedStep{1}),
                 LeaseLost);  // it comes back, and believes that it is the one
    EXPECT_THROW(LayoutStore(folder.file(), "g1", f1, 9'150, first()), LeaseLost);  // nor by opening it anew
    EXPECT_EQ(one.changes().layout()->epoch(), epoch);
    EXPECT_FALSE(two.step(9'200, CopiedStep{1}).empty());
}

TEST(Store, KeepsWhatChangesSomethingAndCutsItsLog) {
    Folder folder;
    StoreOptions options;
    options.mostRows = 3;
    LayoutStore store(folder.file(), "one", 1, 0, first(), options);
    EXPECT_TRUE(store.step(10, CopiedStep{7}).empty());
    EXPECT_EQ(store.rows(), 0U);
    std::string why;
    ChangeId id = 0;
    store.step(20, BeginStep{Move{1, "a", "c"}}, &why, &id);
    EXPECT_EQ(id, 1U);
    store.step(30, CopiedStep{1});
    store.step(40, CaughtUpStep{1});
    EXPECT_EQ(store.rows(), 3U);
    EXPECT_TRUE(store.step(50, BeginStep{Split{2, 5000}}, &why).empty());
    EXPECT_EQ(why, "the log holds 3 rows: changes under way must end first");
    store.step(60, DiedStep{"c"});
    EXPECT_EQ(store.rows(), 0U);
    EXPECT_FALSE(store.step(70, BeginStep{Split{2, 5000}}, &why).empty());
    EXPECT_EQ(store.resume().size(), 1U);
}

TEST(Store, SaysWhatIsWrongWithItsFile) {
    Folder folder;
    std::ofstream(folder.file()) << std::string(8192, 'x');
    try {
        LayoutStore(folder.file(), "one", 1, 0, first());
        FAIL();
    } catch (const StoreFailed& e) {
        EXPECT_EQ(std::string(e.what()).rfind(folder.file() + ": ", 0), 0U) << e.what();
    }
    EXPECT_THROW(LayoutStore(folder.path + "/no/such/folder", "one", 1, 0, first()), StoreFailed);
    EXPECT_THROW(readLayout("{"), BadLayout);
    EXPECT_THROW(readLayout(R"({"epoch":1,"slices":[{"id":1,"first":0,"last":5,"holders":[]}]})"), BadLayout);
}

// What a controller in a process of its own told the world before it was killed at its n-th point; -1: it got
// through.
int killedAt(const std::string& file, int n, std::map<Epoch, std::string>& published) {
    int ends[2];
    if (::pipe(ends) != 0) throw std::runtime_error("no pipe");
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::close(ends[0]);
        int points = 0;
        StoreOptions options;
        options.at = [&](const char*) {
            if (++points == n) ::kill(::getpid(), SIGKILL);
        };
        LayoutStore store(file, "child", 1, 0, first(), options);
        for (const auto& [at, step] : day())
            for (const LayoutAction& a : store.step(at, step(store.changes())))
                if (const auto* p = std::get_if<Publish>(&a)) {
                    const std::string text = layoutText(*p->layout) + "\n";
                    if (::write(ends[1], text.data(), text.size()) < 0) ::_exit(2);
                }
        ::_exit(0);
    }
    ::close(ends[1]);
    std::string all;
    char buffer[4096];
    for (ssize_t got; (got = ::read(ends[0], buffer, sizeof buffer)) > 0;)
        all.append(buffer, static_cast<std::size_t>(got));
    ::close(ends[0]);
    int status = 0;
    ::waitpid(pid, &status, 0);
    for (std::size_t at = 0, end; (end = all.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string text = all.substr(at, end - at);
        published[readLayout(text)->epoch()] = text;
    }
    return WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status) == 0 ? -1 : 0;
}

TEST(Store, KilledAtEveryStepItGoesOnOrGoesBack) {
    int points = 0, resumed = 0;
    for (int n = 1;; ++n) {
        Folder folder;
        std::map<Epoch, std::string> published;
        const int how = killedAt(folder.file(), n, published);
        if (how == -1) break;
        ASSERT_EQ(how, SIGKILL);
        ++points;
        LayoutStore store(folder.file(), "next", 2, 60'000, first());  // the duty was granted anew
        const LayoutPtr now = store.changes().layout();
        // Nothing was told that is not kept, and no epoch's number has two meanings.
        if (!published.empty()) {
            ASSERT_LE(published.rbegin()->first, now->epoch()) << n;
            if (published.contains(now->epoch())) {
                ASSERT_EQ(published.at(now->epoch()), layoutText(*now)) << n;
            }
        }
        resumed += store.changes().underWay() > 0 ? 1 : 0;
        // Whatever was under way ends, done or undone, by its own limits.
        Epoch last = now->epoch();
        const auto follow = [&](const LayoutActions& out) {  // epochs go on one by one
            for (const LayoutAction& a : out)
                if (const auto* p = std::get_if<Publish>(&a)) {
                    EXPECT_EQ(p->layout->epoch(), last + 1) << n;
                    last = p->layout->epoch();
                }
        };
        for (int round = 0; round < 20 && store.changes().underWay() > 0; ++round) {
            for (const char* host : {"a", "b", "c", "d", "e"})
                follow(store.step(60'000, StandsStep{host, store.changes().layout()->epoch()}));
            follow(store.step(store.changes().next(), TimeStep{}));
        }
        ASSERT_EQ(store.changes().underWay(), 0U) << n;
        for (const Slice& s : store.changes().layout()->slices()) ASSERT_EQ(s.holders.size(), 2U) << n;
    }
    EXPECT_GE(points, 40);
    EXPECT_GE(resumed, 10);
}

}  // namespace
}  // namespace beechpoint::layout
