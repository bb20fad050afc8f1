// The real driver: a short day with a deploy, a partition and a killed gatherer against the program itself,
// twice.
// The script's events must come at the script's times, and the rules' verdict must be the same.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include "emulator/real_run.hpp"
#include "emulator/real_stage.hpp"
#include "small.hpp"

using namespace beechpoint::emulator;
using Json = nlohmann::json;

namespace {

Scenario shortDay() {
    return test::small([](Json& j) {
        j["lengthS"] = 9;
        j["host"]["coldS"] = 4;
        j["script"] =
            Json::array({{{"atS", 1},
                          {"event", "deploy"},
                          {"hosts", {"north-0", "south-0"}},
                          {"batchShare", 0.5},
                          {"everyS", 2},
                          {"drainS", 1},
                          {"startS", 0.5}},
                         {{"atS", 2.5}, {"event", "site_cut"}, {"site", "middle"}, {"forS", 2}},
                         {{"atS", 5}, {"event", "gatherer_kill"}, {"gatherers", {"g0"}}, {"startS", 1}},
                         {{"atS", 5.5}, {"event", "gatherer_reload"}, {"gatherers", {"g1"}}},
                         {{"atS", 6}, {"event", "gatherer_restart"}, {"gatherers", {"g2"}}, {"startS", 2}},
                         {{"atS", 6.5}, {"event", "discovery_silent"}, {"gatherers", {"g1"}}, {"forS", 1}}});
    });
}

// Runs of the program itself; a party may end while this process writes to it.
class RealRun : public testing::Test {
protected:
    static void SetUpTestSuite() { std::signal(SIGPIPE, SIG_IGN); }
};

struct TemporaryFolder {
    TemporaryFolder() {
        char name[] = "beechpoint-emulated-XXXXXX";
        if (::mkdtemp(name) == nullptr) throw std::runtime_error("can't make a folder");
        path = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string path;
};

// The events without the times at which they came, which are checked here.
std::string scripted(const std::string& events) {
    std::string out;
    std::istringstream lines(events);
    for (std::string line; std::getline(lines, line);) {
        const Json event = Json::parse(line);
        EXPECT_LE(std::abs(event["atMs"].get<double>() - event["scriptMs"].get<double>()), 50);
        out += event["scriptMs"].dump() + " " + event["event"].get<std::string>() + " " +
               event["detail"].get<std::string>() + "\n";
    }
    return out;
}

template <class F>
std::string failureOf(F f) {
    try {
        f();
    } catch (const RunFailed& e) {
        return e.what();
    }
    return "none";
}

TEST_F(RealRun, SaysWhyWhenItCannotRun) {
    TemporaryFolder folder;
    RealOptions options;
    options.folder = folder.path;
    options.gatherer = "no-such-program";
    const Scenario scenario = shortDay();
    EXPECT_NE(failureOf([&] { runReal(scenario, 1, options); }).find("can't run no-such-program"),
              std::string::npos);
    // A program that ends at once.
    options.gatherer = "/bin/false";
    EXPECT_NE(failureOf([&] { runReal(scenario, 1, options); }).find("ended unasked with status 1"),
              std::string::npos);
    // A port in use: the first party's own address, which another socket holds.
    asio::io_context io;
    tcp::acceptor occupied(io);
    tcp::endpoint at(asio::ip::make_address_v4("127.11.0.1"), 0);
    bindTo(occupied, at);
    occupied.listen();
    Scenario based = scenario;
    based.portBase = at.port();
    options.gatherer = BEECHPOINT_PROGRAM;
    const std::string failure = failureOf([&] { runReal(based, 1, options); });
    EXPECT_NE(failure.find("can't listen on 127.11.0.1:" + std::to_string(at.port())), std::string::npos);
}

TEST_F(RealRun, KeepsTheRulesAndTheScriptsTimesInTwoRuns) {
    const Scenario scenario = shortDay();
    std::string first;
    for (int round = 0; round < 2; ++round) {
        TemporaryFolder folder;
        RealOptions options;
        options.gatherer = BEECHPOINT_PROGRAM;
        options.folder = folder.path;
        // A machine under other tests may be late; the events' times are checked apart.
        options.latest = 1000;
        std::uint64_t parts = 0;
        options.atEnd = [&](std::uint64_t n) { parts = n; };
        const Results results = runReal(scenario, 7, options);
        EXPECT_EQ(results.broken, 0) << results.rules;
        EXPECT_LE(results.load.all, 0.1);
        EXPECT_GT(parts, 300);
        EXPECT_GT(results.service, 0.5);
        const std::string events = scripted(results.events);
        EXPECT_NE(events.find("gatherer_kill g0"), std::string::npos);
        EXPECT_NE(events.find("site_healed middle"), std::string::npos);
        if (round == 0)
            first = events;
        else
            EXPECT_EQ(events, first);
    }
}

}  // namespace
