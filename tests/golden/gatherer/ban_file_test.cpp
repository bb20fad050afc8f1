// The file of hosts taken out by hand: its text, its name, and its contents after a few changes.
#include "admin/ban_file.hpp"

#include <asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using admin::HostBans;

const std::vector<std::pair<std::string, HostBans::Hosts>>& samples() {
    static const std::vector<std::pair<std::string, HostBans::Hosts>> all = {
        {"none", {}},
        {"one", {"host-17"}},
        {"several", {"host-17", "a \"quoted\" \\ id", "büche", "line\nfeed", ""}}};
    return all;
}

TEST(BanFile, Texts) {
    for (const auto& [name, hosts] : samples()) {
        SCOPED_TRACE(name);
        const auto read = admin::readBans(expectGolden("ban_file", name, admin::writeBans(hosts)));
        ASSERT_TRUE(read);
        EXPECT_EQ(*read, hosts);
    }
}

// An id that is not UTF-8 is stored with a replacement character in place of what can't be read.
TEST(BanFile, IdThatIsNotText) {
    const auto read = admin::readBans(expectGolden("ban_file", "not_text", admin::writeBans({"host-\xff"})));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, HostBans::Hosts{"host-\xef\xbf\xbd"});
}

// A ban file in a folder, and what it told of last.
struct KeptBans {
    explicit KeptBans(const std::string& folder)
        : file(io, log, folder, "gatherer-a", [this](HostBans::Hosts hosts) { told = std::move(hosts); }) {
        file.start();
    }
    ~KeptBans() { file.stop(); }
    // Whether the change was stored.
    bool change(const std::string& id, bool out) {
        bool stored = false;
        file.change(id, out, [&](bool done) { stored = done; });
        return stored;
    }
    asio::io_context io;
    Clock clock;
    Logger log{clock, logging::Format::text, -1};
    HostBans::Hosts told;
    admin::BanFile file;
};

constexpr const char* kFileName = "beechpoint-gatherer-a.bans";

TEST(BanFile, FileInAFolder) {
    const TemporaryFolder folder;
    {
        KeptBans bans(folder.path());
        EXPECT_TRUE(bans.change("host-18", true));
        EXPECT_TRUE(bans.change("host-17", true));
        EXPECT_TRUE(bans.change("host-19", true));
        EXPECT_TRUE(bans.change("host-18", false));
    }
    Entries files = folder.files();
    EXPECT_EQ(files.size(), 2u);
    EXPECT_EQ(files[std::string(kFileName) + ".lock"], "");
    expectGolden("ban_file", kFileName, files[kFileName]);
}

TEST(BanFile, AnEarlierVersionsFileIsTakenOver) {
    const TemporaryFolder folder;
    const Entries entries = loadFamily("ban_file");
    ASSERT_TRUE(entries.contains(kFileName));
    folder.write(kFileName, entries.at(kFileName));
    const KeptBans bans(folder.path());
    EXPECT_EQ(bans.told, (HostBans::Hosts{"host-17", "host-19"}));
}

}  // namespace
}  // namespace beechpoint::golden
