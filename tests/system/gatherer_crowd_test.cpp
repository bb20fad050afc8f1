// The gatherer's fronts under a crowd of clients that do not behave: it lives, keeps to its memory and its descriptors, and answers
// ordinary callers beside the crowd and after it. Bounds as in crowd_test.cpp.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "addresses.hpp"
#include "crowd.hpp"
#include "crowd_play.hpp"
#include "crowd_scripts.hpp"
#include "emulator/real_process.hpp"
#include "exchange.hpp"
#include "process_figures.hpp"

namespace beechpoint::system_test {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMemoryMb = 128;
constexpr int kSockets = 500;
constexpr std::size_t kMostBody = 64 * 1024;  // that the fronts take
constexpr std::size_t kClients = 200;

class GathererCrowdTest : public ::testing::Test {
protected:
    void SetUp() override {
        limitSanitizerReserve();
        std::string name = (fs::temp_directory_path() / "beechpoint-crowd-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        folder_ = name;
        std::ofstream(folder_ / "gatherer.json") << configuration();
        std::ofstream(folder_ / "operator.json") << fmt::format(
            R"({{"opensearch":{{"listen":"{}","indexes":{{"pallets":"c"}}}}}})", addressOf(kSearchPort));
        process_.start(program(), folder_ / "gatherer.json", folder_ / "log", kSockets,
                       folder_ / "operator.json");
    }
    void TearDown() override {
        process_.kill();
        std::error_code ignored;
        fs::remove_all(folder_, ignored);
    }

    static std::string program() {
        const char* const variant = std::getenv("BEECHPOINT_SYSTEM_PROGRAM");
        return variant ? variant : BEECHPOINT_PROGRAM;
    }

    std::string addressOf(std::uint16_t port) const { return addressText(addresses_.gateway(0), port); }

    std::string configuration() const {
        return fmt::format(
            R"({{"name":"n0","listen":"{}","discovery":"{}","seed":"1","limits":{{"sockets":{},"memory_mb":{}}},)"
            R"("known":{{"generation":1,"reset":true,"instances":[]}},"settings":{{"classes":[{{"name":"c",)"
            R"("promise":1000000000,"deadline":2000000000,"effect":"safe"}}],"familyInfo":{{"shards":4,"cells":2,)"
            R"("span":2,"bundleMax":1}},"permissions":{{"maxAttempts":3}},"rules":{{}}}}}})",
            addressOf(Ports::kFront), addressText(addresses_.platform(), Ports::kPlatform), kSockets,
            kMemoryMb);
    }

    void playAt(std::uint16_t port, const std::vector<CrowdScript>& scripts) {
        HttpCall call;
        call.address = addressOf(port);
        call.target = port == kSearchPort ? "/nowhere/_search" : "/counters";
        const int expected = port == kSearchPort ? 404 : 200;
        const auto ordinaryCall = [&] { return exchange(call).status == expected; };
        ASSERT_TRUE(awaitCall(ordinaryCall)) << "the gatherer did not come to serve";
        const CrowdTarget target{process_.pid(), addresses_.gateway(0), port};
        playCrowd(target, {kMemoryMb * kMegabyte, kSockets}, scripts, ordinaryCall);
    }

    static constexpr std::uint16_t kSearchPort = Ports::kDirectory;

private:
    Addresses addresses_;
    fs::path folder_;
    emulator::RealProcess process_;
};

TEST_F(GathererCrowdTest, PlatformFrontTakesLongChunkLinesAndTrailers) {
    std::vector<CrowdScript> scripts = copies(kClients / 2, longChunkLines(plainHead("/c"), 8 * kMegabyte));
    append(scripts, copies(kClients / 2, longTrailers(plainHead("/c"), 8 * kMegabyte)));
    playAt(Ports::kFront, scripts);
}

TEST_F(GathererCrowdTest, SearchFrontTakesLongChunkLinesAndTrailers) {
    std::vector<CrowdScript> scripts =
        copies(kClients / 2, longChunkLines(plainHead("/pallets/_search"), 8 * kMegabyte));
    append(scripts, copies(kClients / 2, longTrailers(plainHead("/pallets/_search"), 8 * kMegabyte)));
    playAt(kSearchPort, scripts);
}

TEST_F(GathererCrowdTest, PlatformFrontTakesBodiesThatStopShort) {
    std::vector<CrowdScript> scripts = copies(kClients, shortOfEnd(plainHead("/c"), kMostBody));
    append(scripts, copies(kClients, chunkedShortOfEnd(plainHead("/c"), kMostBody, kSmallChunk)));
    playAt(Ports::kFront, scripts);
}

TEST_F(GathererCrowdTest, FrontsTakeMoreConnectionsThanThereAreSockets) {
    const std::vector<CrowdScript> scripts = copies(kSockets, unfinishedHead());
    Crowd atSearch(endpointOf(addressOf(kSearchPort)), scripts);
    playAt(Ports::kFront, scripts);
}

}  // namespace
}  // namespace beechpoint::system_test
