// The record that each process of an upgrade keeps of itself: as it is written in every state, and how another
// process takes one of an earlier version.
#include "admin/overlap_record.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using admin::Overlap;
using State = admin::Lifecycle::State;

constexpr Millis kStartedAt = 1'764'684'000'123.25;
constexpr const char* kPrefix = "beechpoint-gatherer-a.";

const std::vector<std::pair<std::string, State>>& states() {
    static const std::vector<std::pair<std::string, State>> all = {{"starting", State::starting},
                                                                   {"serving", State::serving},
                                                                   {"draining", State::draining},
                                                                   {"stopping", State::stopping}};
    return all;
}

// A process's record in a folder, and what it sees of the others there.
struct Process {
    Process(const std::string& folder, Millis startedAt)
        : record(io, log, folder, "gatherer-a", overlap, [] {}) {
        record.start(startedAt);
    }
    asio::io_context io;
    Clock clock;
    Logger log{clock, logging::Format::text, -1};
    Overlap overlap;
    admin::OverlapRecord record;
};

// A record of another process, which lives: the file is locked.
class LockedRecord {
public:
    LockedRecord(const TemporaryFolder& folder, const std::string& id, const std::string& bytes) {
        folder.write(id, bytes);
        file_ = ::open(folder.file(id).c_str(), O_RDONLY | O_CLOEXEC);
        locked_ = file_ >= 0 && ::flock(file_, LOCK_EX | LOCK_NB) == 0;
    }
    ~LockedRecord() {
        if (file_ >= 0) ::close(file_);
    }
    LockedRecord(const LockedRecord&) = delete;
    LockedRecord& operator=(const LockedRecord&) = delete;
    bool locked() const { return locked_; }

private:
    int file_ = -1;
    bool locked_ = false;
};

// The name of the only record in the folder but `other`.
std::string ownRecord(const TemporaryFolder& folder, const std::string& other = "") {
    std::string own;
    for (const auto& [name, bytes] : folder.files()) {
        if (name == other) continue;
        EXPECT_EQ(own, "") << "more than one record";
        own = name;
    }
    return own;
}

TEST(OverlapRecord, WrittenInEveryState) {
    const TemporaryFolder folder;
    Process process(folder.path(), kStartedAt);
    const std::string id = ownRecord(folder);
    EXPECT_TRUE(id.starts_with(kPrefix) && id.ends_with(".process")) << id;
    EXPECT_EQ(id.size(), std::string(kPrefix).size() + 6 + std::string(".process").size());
    for (const auto& [name, state] : states()) {
        process.record.publish(state);
        expectGolden("overlap_record", name, readFile(folder.file(id)));
    }
    process.record.stop();
    EXPECT_TRUE(folder.files().empty());
}

// Exactly what the record says is seen: telling the overlap of that very process is no news to it.
TEST(OverlapRecord, ReadInEveryState) {
    const Entries entries = loadFamily("overlap_record");
    for (const auto& [name, state] : states()) {
        SCOPED_TRACE(name);
        ASSERT_TRUE(entries.contains(name));
        const TemporaryFolder folder;
        const std::string id = std::string(kPrefix) + "earlier.process";
        const LockedRecord other(folder, id, entries.at(name));
        ASSERT_TRUE(other.locked());
        Process process(folder.path(), kStartedAt - 1000);
        EXPECT_EQ(process.overlap.others(), 1u);
        EXPECT_EQ(process.overlap.successor(), state == State::serving);
        EXPECT_FALSE(process.overlap.seen({ownRecord(folder, id), kStartedAt - 1000, State::starting},
                                          {{id, kStartedAt, state}}));
    }
}

TEST(OverlapRecord, ADeadProcesssRecordIsClearedAway) {
    const Entries entries = loadFamily("overlap_record");
    ASSERT_TRUE(entries.contains("serving"));
    const TemporaryFolder folder;
    folder.write(std::string(kPrefix) + "earlier.process", entries.at("serving"));
    const Process process(folder.path(), kStartedAt);
    EXPECT_EQ(process.overlap.others(), 0u);
    EXPECT_EQ(folder.files().size(), 1u);
}

}  // namespace
}  // namespace beechpoint::golden
