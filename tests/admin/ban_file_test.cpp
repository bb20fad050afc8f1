// The file of banned hosts: its bytes, and bans that outlive the process.
#include "admin/ban_file.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "operator_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

TEST(BanFile, KeepsHostsBannedInOtherAndLaterProcesses) {
    StateFolder folder;
    const auto useFolder = [&](Config& c) { c.stateFolder = folder.path; };
    {
        OperatorFixture old(useFolder), beside(useFolder);
        EXPECT_EQ(old.call(put("/ops/track-hosts/down/%68%30")).status, 200);
        EXPECT_EQ(old.call(put("/ops/track-hosts/down/h0")).status, 200);
        runUntil(beside.fixture.io, [&] { return beside.stat("hosts_down") == 1; });
        for (OperatorFixture* operators : {&old, &beside}) {
            TestClient client(operators->fixture.io, operators->fixture.gatherer->endpoint());
            EXPECT_EQ(client.request(query("t1", {0}, 200)).status, 429);
            ASSERT_TRUE(operators->host.frames.empty());
        }
    }
    OperatorFixture next(useFolder);
    EXPECT_EQ(next.stat("hosts_down"), 1);
    EXPECT_EQ(next.stat("hosts_listed"), 1);
    EXPECT_EQ(next.call(put("/ops/track-hosts/up/h0")).status, 200);
    EXPECT_EQ(next.stat("hosts_down"), 0);
    TestClient client(next.fixture.io, next.fixture.gatherer->endpoint());
    EXPECT_EQ(client.request(query("t2", {0})).status, 200);
}

TEST(BanFile, IsReadOnlyWhenWholeAndItsChecksumMatches) {
    const std::string valid = admin::writeBans({"h0", "h1"});
    EXPECT_EQ(admin::readBans(valid), admin::HostBans::Hosts({"h0", "h1"}));
    for (std::size_t size = 0; size + 2 < valid.size(); ++size)
        EXPECT_FALSE(admin::readBans(valid.substr(0, size)));
    std::string corrupt = valid;
    corrupt.replace(corrupt.find("h0"), 2, "h2");  // the checksum does not match
    for (const std::string& text :
         {corrupt, std::string("{\"version\":2}"), std::string("[]"), std::string("null")})
        EXPECT_FALSE(admin::readBans(text));
}

TEST(BanFile, IsIgnoredAndWrittenAnewWhenCorrupt) {
    std::string corrupt = admin::writeBans({"h0", "h1"});
    corrupt.replace(corrupt.find("h0"), 2, "h2");
    StateFolder folder;
    std::ofstream(folder.banFile()) << corrupt;
    OperatorFixture operators([&](Config& c) { c.stateFolder = folder.path; });
    EXPECT_EQ(operators.stat("hosts_down"), 0);
    EXPECT_EQ(operators.call(put("/ops/track-hosts/down/h0")).status, 200);  // written anew
    std::ifstream file(folder.banFile());
    EXPECT_EQ(admin::readBans(std::string(std::istreambuf_iterator<char>(file), {})),
              admin::HostBans::Hosts({"h0"}));
}

}  // namespace
