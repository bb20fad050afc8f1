// LayoutStore: only one controller can write, even if two consider themselves the owner, and every step is
// atomic, wherever the process is killed.
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

LayoutPtr initialLayout() {
    return Layout::make(1, {{1, 0, 999, {{"a"}, {"b"}}}, {2, 1000, kEnd, {{"a"}, {"b"}}}});
}

struct TemporaryDirectory {
    TemporaryDirectory() {
        std::string name = (std::filesystem::temp_directory_path() / "beechpoint-layout-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary directory");
        path = name;
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
    std::string file() const { return path + "/layout.db"; }
    std::string path;
};

// A completed move, a split, an aborted move and a move whose target dies, with the time of each step.
const std::vector<std::pair<Millis, std::function<LayoutStep(const ChangeManager&)>>>& scenarioSteps() {
    const auto confirm = [](const char* host) {
        return [host](const ChangeManager& c) {
            return LayoutStep(EpochConfirmedStep{host, c.layout()->epoch()});
        };
    };
    const auto always = [](LayoutStep step) { return [step](const ChangeManager&) { return step; }; };
    static const std::vector<std::pair<Millis, std::function<LayoutStep(const ChangeManager&)>>> steps = {
        {100, always(BeginStep{Move{1, "a", "c"}})},
        {200, always(CopyCompletedStep{1})},
        {300, always(CatchUpCompletedStep{1})},
        {400, confirm("c")},
        {500, confirm("a")},
        {600, [](const ChangeManager& c) { return LayoutStep(EpochReleasedStep{c.layout()->epoch()}); }},
        {700, always(BeginStep{Split{2, 5000}})},
        {800, confirm("a")},
        {900, confirm("b")},
        {1000, always(BeginStep{Move{1, "b", "d"}})},
        {1100, always(CopyCompletedStep{3})},
        {1200, always(AbortStep{3})},
        {1300, always(BeginStep{Move{1, "c", "e"}})},
        {1400, always(HostDiedStep{"e"})},
        {1500, always(HostReturnedStep{"e"})},
        {30'000, always(AdvanceTimeStep{})}};
    return steps;
}

TEST(Store, RestoresItsStateAfterEveryStep) {
    TemporaryDirectory directory;
    for (std::size_t stepCount = 0; stepCount <= scenarioSteps().size(); ++stepCount) {
        std::filesystem::remove_all(directory.file());
        std::filesystem::remove_all(directory.file() + "-wal");
        std::filesystem::remove_all(directory.file() + "-shm");
        std::string layout, changes;
        const auto summary = [](const ChangeManager& c) {
            std::string text;
            for (const ChangeView& v : c.changes())
                if (v.state != ChangeState::done && v.state != ChangeState::undone)
                    text += std::to_string(v.id) + nameOf(v.state) + std::to_string(v.deadline) + ";";
            return text + std::to_string(c.lastChange()) + "," + std::to_string(c.lastSlice()) + "," +
                   std::to_string(c.deadHosts().size());
        };
        {
            LayoutStore store(directory.file(), "one", 1, 0, initialLayout());
            for (std::size_t i = 0; i < stepCount; ++i)
                store.step(scenarioSteps()[i].first, scenarioSteps()[i].second(store.changes()));
            layout = serializeLayout(*store.changes().layout());
            changes = summary(store.changes());
        }
        LayoutStore reopened(directory.file(), "two", 2, 40'000, initialLayout());
        EXPECT_EQ(serializeLayout(*reopened.changes().layout()), layout) << stepCount;
        EXPECT_EQ(summary(reopened.changes()), changes) << stepCount;
        EXPECT_EQ(reopened.fencingToken(), 2U);
    }
}

// The fencing tokens come from the session table, which applies the committed log.
TEST(Store, RejectsASupersededControllerByItsFencingToken) {
    lease_sessions::SessionTable table;
    table.begin(3);
    raft::Index entry = 0;
    const auto commit = [&](lease_sessions::Operation op, const std::string& member, raft::Index session) {
        lease_sessions::Command c;
        c.op = op, c.member = member, c.singletonRole = "layout", c.session = session,
        c.processIncarnation = 1;
        table.apply(++entry, 1, lease_sessions::encodeCommand(c));
        return entry;
    };
    commit(lease_sessions::Operation::define, "", 0);
    const raft::Index s1 = commit(lease_sessions::Operation::open, "g1", 0),
                      s2 = commit(lease_sessions::Operation::open, "g2", 0);
    commit(lease_sessions::Operation::grant, "g1", s1);
    const std::uint64_t f1 = table.singletonRole("layout")->fencingToken;
    TemporaryDirectory directory;
    LayoutStore one(directory.file(), "g1", f1, 1'000, initialLayout());
    one.step(2'000, BeginStep{Move{1, "a", "c"}});
    // Same token, different controller.
    EXPECT_THROW(LayoutStore(directory.file(), "g2", f1, 2'000, initialLayout()), LeaseLost);
    commit(lease_sessions::Operation::close, "g1", s1);  // g1 is paused and its session has expired
    commit(lease_sessions::Operation::grant, "g2", s2);
    const std::uint64_t f2 = table.singletonRole("layout")->fencingToken;
    ASSERT_GT(f2, f1);
    LayoutStore two(directory.file(), "g2", f2, 9'001, initialLayout());
    EXPECT_EQ(two.changes().activeCount(), 1U);
    const auto epoch = one.changes().layout()->epoch();
    // g1 resumes with an outdated token; reopening does not help.
    EXPECT_THROW(one.step(9'100, CopyCompletedStep{1}), LeaseLost);
    EXPECT_THROW(LayoutStore(directory.file(), "g1", f1, 9'150, initialLayout()), LeaseLost);
    EXPECT_EQ(one.changes().layout()->epoch(), epoch);
    EXPECT_FALSE(two.step(9'200, CopyCompletedStep{1}).empty());
}

TEST(Store, LogsOnlyEffectiveStepsAndCompactsItsLog) {
    TemporaryDirectory directory;
    StoreOptions options;
    options.maxLogRows = 3;
    LayoutStore store(directory.file(), "one", 1, 0, initialLayout(), options);
    EXPECT_TRUE(store.step(10, CopyCompletedStep{7}).empty());
    EXPECT_EQ(store.logRows(), 0U);
    std::string reason;
    ChangeId id = 0;
    store.step(20, BeginStep{Move{1, "a", "c"}}, &reason, &id);
    EXPECT_EQ(id, 1U);
    store.step(30, CopyCompletedStep{1});
    store.step(40, CatchUpCompletedStep{1});
    EXPECT_EQ(store.logRows(), 3U);
    EXPECT_TRUE(store.step(50, BeginStep{Split{2, 5000}}, &reason).empty());
    EXPECT_EQ(reason, "the log holds 3 rows: changes in progress must end first");
    store.step(60, HostDiedStep{"c"});
    EXPECT_EQ(store.logRows(), 0U);
    EXPECT_FALSE(store.step(70, BeginStep{Split{2, 5000}}, &reason).empty());
    EXPECT_EQ(store.resume().size(), 1U);
}

TEST(Store, ReportsUnusableFiles) {
    TemporaryDirectory directory;
    std::ofstream(directory.file()) << std::string(8192, 'x');
    try {
        LayoutStore(directory.file(), "one", 1, 0, initialLayout());
        FAIL();
    } catch (const StoreError& e) {
        EXPECT_EQ(std::string(e.what()).rfind(directory.file() + ": ", 0), 0U) << e.what();
    }
    EXPECT_THROW(LayoutStore(directory.path + "/no/such/folder", "one", 1, 0, initialLayout()), StoreError);
    EXPECT_THROW(parseLayout("{"), InvalidLayout);
    EXPECT_THROW(parseLayout(R"({"epoch":1,"slices":[{"id":1,"first":0,"last":5,"holders":[]}]})"),
                 InvalidLayout);
}

// Runs the scenario in a child process that is killed at its n-th crash point, and collects the epochs that
// it published. Returns the signal that ended it, or -1 if it completed.
int runUntilKilled(const std::string& file, int n, std::map<Epoch, std::string>& published) {
    int pipeEnds[2];
    if (::pipe(pipeEnds) != 0) throw std::runtime_error("cannot create a pipe");
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::close(pipeEnds[0]);
        int points = 0;
        StoreOptions options;
        options.crashPoint = [&](const char*) {
            if (++points == n) ::kill(::getpid(), SIGKILL);
        };
        LayoutStore store(file, "child", 1, 0, initialLayout(), options);
        for (const auto& [at, step] : scenarioSteps())
            for (const LayoutAction& a : store.step(at, step(store.changes())))
                if (const auto* p = std::get_if<Publish>(&a)) {
                    const std::string text = serializeLayout(*p->layout) + "\n";
                    if (::write(pipeEnds[1], text.data(), text.size()) < 0) ::_exit(2);
                }
        ::_exit(0);
    }
    ::close(pipeEnds[1]);
    std::string output;
    char buffer[4096];
    for (ssize_t count; (count = ::read(pipeEnds[0], buffer, sizeof buffer)) > 0;)
        output.append(buffer, static_cast<std::size_t>(count));
    ::close(pipeEnds[0]);
    int status = 0;
    ::waitpid(pid, &status, 0);
    for (std::size_t at = 0, end; (end = output.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string text = output.substr(at, end - at);
        published[parseLayout(text)->epoch()] = text;
    }
    return WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status) == 0 ? -1 : 0;
}

TEST(Store, RecoversFromAKillAtEveryCrashPoint) {
    int points = 0, resumed = 0;
    for (int n = 1;; ++n) {
        TemporaryDirectory directory;
        std::map<Epoch, std::string> published;
        const int outcome = runUntilKilled(directory.file(), n, published);
        if (outcome == -1) break;
        ASSERT_EQ(outcome, SIGKILL);
        ++points;
        LayoutStore store(directory.file(), "next", 2, 60'000, initialLayout());  // a new grant of the duty
        const LayoutPtr recovered = store.changes().layout();
        // Every published epoch is persisted, and no epoch number stands for two layouts.
        if (!published.empty()) {
            ASSERT_LE(published.rbegin()->first, recovered->epoch()) << n;
            if (published.contains(recovered->epoch())) {
                ASSERT_EQ(published.at(recovered->epoch()), serializeLayout(*recovered)) << n;
            }
        }
        resumed += store.changes().activeCount() > 0 ? 1 : 0;
        // Every change in progress ends, done or undone, by its timeouts.
        Epoch last = recovered->epoch();
        const auto checkEpochs = [&](const LayoutActions& out) {  // epochs are consecutive
            for (const LayoutAction& a : out)
                if (const auto* p = std::get_if<Publish>(&a)) {
                    EXPECT_EQ(p->layout->epoch(), last + 1) << n;
                    last = p->layout->epoch();
                }
        };
        for (int round = 0; round < 20 && store.changes().activeCount() > 0; ++round) {
            for (const char* host : {"a", "b", "c", "d", "e"})
                checkEpochs(store.step(60'000, EpochConfirmedStep{host, store.changes().layout()->epoch()}));
            checkEpochs(store.step(store.changes().nextDeadline(), AdvanceTimeStep{}));
        }
        ASSERT_EQ(store.changes().activeCount(), 0U) << n;
        for (const Slice& s : store.changes().layout()->slices()) ASSERT_EQ(s.holders.size(), 2U) << n;
    }
    EXPECT_GE(points, 40);
    EXPECT_GE(resumed, 10);
}

}  // namespace
}  // namespace beechpoint::layout
