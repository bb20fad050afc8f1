// What a ledger keeps in a folder that lasts: read back as it was answered for, whatever the disk does; damage is found.
#include "raft/state_folder.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <random>

#include "emulator/faulty_files.hpp"
#include "net.hpp"

namespace beechpoint::raft {
namespace {

using emulator::Crash;
using emulator::FaultyFiles;

// A follower that hears leaders of ever newer terms, each of which may replace what was not settled.
struct Follower {
    explicit Follower(std::uint64_t seed, std::size_t mostEntries = 12,
                      const std::optional<PersistentState>& from = std::nullopt)
        : random(seed) {
        PersistentState kept;
        kept.groupNumber = 9;
        options.maxLogEntries = mostEntries;
        raft.emplace(options, "s2", 77, std::vector<std::string>{"s1", "s2", "s3"}, seed, 0, machine,
                     from ? from : kept);
        term = raft->currentTerm() + 1;
    }
    // True: something is to be kept.
    bool step() {
        Actions out;
        const RaftConsensus& l = *raft;
        if (random() % 8 == 0) ++term;
        if (random() % 10 == 0) {
            raft->receive(now += 2000, {"s3", "s2", 6, 9, RequestVote{++term, l.lastLogIndex() + 5, term}},
                          out);
            return out.mustPersist;
        }
        const Index low = std::max(l.commitIndex(), l.lastIncludedIndex());
        const Index prev = low + (l.lastLogIndex() > low ? random() % (l.lastLogIndex() - low + 1) : 0);
        const Index settled = random() % 3 == 0 ? prev + 1 : l.commitIndex();
        raft->receive(now += 10,
                      {"s1", "s2", 5, 9,
                       AppendEntries{term,
                                     prev,
                                     l.digestAt(prev),
                                     settled,
                                     ++round,
                                     true,
                                     {term, EntryKind::command, std::to_string(random() % 1000)}}},
                      out);
        return out.mustPersist;
    }
    std::mt19937_64 random;
    Options options;
    Text machine;
    std::optional<RaftConsensus> raft;
    Term term = 1;
    std::uint64_t round = 0;
    Millis now = 0;
};
bool same(const PersistentState& a, const PersistentState& b) {
    return a.groupNumber == b.groupNumber && a.currentTerm == b.currentTerm &&
           a.promisedTerm == b.promisedTerm && a.votedFor == b.votedFor &&
           a.lastIncludedIndex == b.lastIncludedIndex && a.lastIncludedTerm == b.lastIncludedTerm &&
           a.lastIncludedDigest == b.lastIncludedDigest && a.snapshot == b.snapshot &&
           a.lastIncludedVoters == b.lastIncludedVoters && a.entries == b.entries;
}

// The machine stops in any call, and what was not synced is kept, dropped or torn: what is read is the newest that was
// answered for, or the step that was under way; never less, never damaged, never a mix.
TEST(StateFolder, CrashInAnyCallLosesNothingAcknowledged) {
    std::uint64_t crashes = 0, cutShort = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        FaultyFiles files(seed);
        std::mt19937_64 random(seed);
        std::optional<PersistentState> answered;
        for (int processIncarnation = 1; processIncarnation <= 4; ++processIncarnation) {
            StateFolder folder(files, "f", "group", "s2");
            std::string note;
            const ReadState read = folder.load(note);
            ASSERT_NE(read.outcome, ReadOutcome::corrupt) << seed << " " << processIncarnation;
            cutShort += read.outcome == ReadOutcome::truncated;
            if (answered) {
                ASSERT_TRUE(read.state) << seed << " " << processIncarnation << " " << note;
                ASSERT_TRUE(same(*read.state, *answered)) << seed << " " << processIncarnation;
            }
            StateEncoder journal("group", "s2", random() | 1);
            Follower f(seed * 10 + static_cast<std::uint64_t>(processIncarnation), 12, read.state);
            files.crashAt(files.calls() + 1 + random() % 60);
            std::optional<PersistentState> underWay;
            try {
                for (int i = 0; i < 60; ++i) {
                    if (!f.step()) continue;
                    underWay = f.raft->persistentState();
                    ASSERT_TRUE(folder.persist(journal.encodeChanges(*f.raft, 2000)));
                    answered = underWay;
                }
            } catch (const Crash&) {
                ++crashes;
            }
            files.crash();
            // Either the one before or the one that was being kept: whichever it is, from here on it is that.
            std::string again;
            StateFolder look(files, "f", "group", "s2");
            const ReadState after = look.load(again);
            if (after.state && underWay && same(*after.state, *underWay)) answered = underWay;
        }
    }
    EXPECT_GT(crashes, 500u);
    EXPECT_GT(cutShort, 30u);
}
// A disk that has no room or fails a sync: nothing more is said to be kept, and what was is there.
TEST(StateFolder, AcknowledgesNoWriteAfterAFailure) {
    int failures = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        FaultyFiles files(seed);
        StateFolder folder(files, "f", "group", "s2");
        StateEncoder journal("group", "s2", seed);
        Follower f(seed);
        std::optional<PersistentState> answered;
        for (int i = 0; i < 60 && !folder.failed(); ++i) {
            if (i == 10) files.failing(0.1);
            if (f.step() && folder.persist(journal.encodeChanges(*f.raft)))
                answered = f.raft->persistentState();
        }
        if (!folder.failed()) continue;
        ++failures;
        files.failing(0);
        EXPECT_FALSE(folder.persist({true, 5, "x"}));
        std::string note;
        StateFolder next(files, "f", "group", "s2");
        const ReadState read = next.load(note);
        ASSERT_TRUE(read.state) << seed << note;
        EXPECT_GE(read.state->currentTerm, answered->currentTerm);
    }
    EXPECT_GT(failures, 60);
}
// A byte that turned, wherever it stands, is found; the member comes back with nothing rather than with something else.
TEST(StateFolder, DetectsAnyChangedByte) {
    FaultyFiles files(1);
    StateFolder folder(files, "f", "group", "s2");
    StateEncoder journal("group", "s2", 3);
    Follower f(4, 40);
    for (int i = 0; i < 40; ++i)
        if (f.step()) {
            ASSERT_TRUE(folder.persist(journal.encodeChanges(*f.raft)));
        }
    const auto all = files.all();
    ASSERT_EQ(all.size(), 2u);
    std::size_t bytes = 0;
    for (const auto& [path, text] : all)
        for (std::size_t i = 0; i < text.size(); ++i, ++bytes) {
            FaultyFiles copy(1);
            for (const auto& [p, t] : all) copy.put(p, t);
            std::string bad = text;
            bad[i] = static_cast<char>(bad[i] ^ (1 << (i % 8)));
            copy.put(path, bad);
            StateFolder again(copy, "f", "group", "s2");
            std::string note;
            const ReadState read = again.load(note);
            ASSERT_FALSE(read.state) << path << " byte " << i;
            ASSERT_FALSE(note.empty());
        }
    EXPECT_GT(bytes, 1000u);
    // Another's folder, or another group's, is not taken for one's own.
    for (const auto& [group, self] : {std::pair{"group", "s3"}, std::pair{"other", "s2"}}) {
        EXPECT_EQ(decodeState(group, self, all.begin()->second, "").outcome, ReadOutcome::foreign);
    }
}
// A disk on which one file can't be read, though it is there.
class UnreadableFile : public FaultyFiles {
public:
    explicit UnreadableFile(std::string path) : FaultyFiles(1), path_(std::move(path)) {}
    std::optional<std::string> read(const std::string& path) override {
        return path == path_ ? std::nullopt : FaultyFiles::read(path);
    }

private:
    std::string path_;
};

// The only copy of what was acknowledged may be in the log beside a full state that can't be used: neither is deleted or written over.
TEST(StateFolder, PutsAsideFullStateAndLogThatCannotBeUsed) {
    FaultyFiles files(1);
    StateFolder folder(files, "f", "group", "s2");
    StateEncoder journal("group", "s2", 3);
    Follower follower(4, 40);
    for (int i = 0; i < 40; ++i)
        if (follower.step()) {
            ASSERT_TRUE(folder.persist(journal.encodeChanges(*follower.raft)));
        }
    const auto stored = files.all();
    ASSERT_EQ(stored.size(), 2u);
    const auto& [fullPath, full] = *stored.begin();
    const auto& [logPath, log] = *stored.rbegin();
    std::string corrupt = full;
    corrupt[0] = 'X';  // its generation can't be read either
    const std::string another = "beechpoint ledger 9\n" + full.substr(20);
    const auto check = [&, fullPath = fullPath, log = log](FaultyFiles& disk, const std::string& found) {
        StateFolder again(disk, "f", "group", "s2");
        std::string message;
        EXPECT_FALSE(again.load(message).state);
        EXPECT_FALSE(message.empty());
        StateEncoder next("group", "s2", 4);
        Follower restarted(5, 40);
        EXPECT_TRUE(again.persist(next.encodeChanges(*restarted.raft)));
        const auto left = disk.all();
        ASSERT_TRUE(left.contains(fullPath + ".damaged"));
        EXPECT_EQ(left.at(fullPath + ".damaged"), found);
        ASSERT_TRUE(left.contains(fullPath + ".damaged-log"));
        EXPECT_EQ(left.at(fullPath + ".damaged-log"), log);
    };
    for (const std::string& found : {corrupt, another}) {
        FaultyFiles disk(1);
        disk.put(fullPath, found);
        disk.put(logPath, log);
        check(disk, found);
    }
    UnreadableFile disk(fullPath);
    disk.put(fullPath, full);
    disk.put(logPath, log);
    check(disk, full);
}
// A real process writes on a real disk and is killed in the middle, again and again. Its steps follow from its seed, so this
// process knows each of its states: what is read is the newest that was answered for, or a later one, whole.
TEST(StateFolder, ProcessKilledWhileWritingRestartsWithAllItAcknowledged) {
    std::string path = std::filesystem::canonical("/proc/self/exe").parent_path() / "folder-XXXXXX";
    ASSERT_NE(::mkdtemp(path.data()), nullptr);
    durable_files::FileSystem disk;
    std::mt19937_64 random(7);
    std::uint64_t answered = 0, later = 0;
    std::optional<PersistentState> kept;
    const int kills = 60;
    for (int n = 0; n < kills; ++n) {
        int ends[2];
        ASSERT_EQ(::pipe(ends), 0);
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::close(ends[0]);
            StateFolder folder(disk, path, "group", "s2");
            std::string note;
            const ReadState read = folder.load(note);
            StateEncoder journal("group", "s2", static_cast<ProcessIncarnation>(n) + 1);
            Follower f(static_cast<std::uint64_t>(n), 12, read.state);
            for (;;) {
                if (!f.step()) continue;
                if (!folder.persist(journal.encodeChanges(*f.raft, 4000))) ::_exit(2);
                if (::write(ends[1], "k", 1) != 1) ::_exit(3);
            }
        }
        ::close(ends[1]);
        std::uint64_t said = 0;
        char one = 0;
        for (const auto until = random() % 40; said < until && ::read(ends[0], &one, 1) == 1;) ++said;
        ::kill(pid, SIGKILL);
        while (::read(ends[0], &one, 1) == 1) ++said;
        ::close(ends[0]);
        int status = 0;
        ::waitpid(pid, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status)) << n;
        StateFolder folder(disk, path, "group", "s2");
        std::string note;
        const ReadState read = folder.load(note);
        ASSERT_NE(read.outcome, ReadOutcome::corrupt) << n << note;
        // The same steps again, up to the state that was read.
        Follower f(static_cast<std::uint64_t>(n), 12, kept);
        std::uint64_t steps = 0;
        const auto equal = [&] { return read.state && same(*read.state, f.raft->persistentState()); };
        while (steps < said) steps += f.step() ? 1 : 0;
        const bool asSaid = said == 0 || equal();
        if (!asSaid) {
            while (!f.step()) {
            }
            ASSERT_TRUE(equal()) << n << ": " << said
                                 << " steps were answered for, and another state is there";
            ++later;
        }
        answered += said;
        kept = read.state;
    }
    std::filesystem::remove_all(path);
    EXPECT_GT(answered, 500u);
    RecordProperty("oneStepLater", std::to_string(later));
}

}  // namespace
}  // namespace beechpoint::raft
