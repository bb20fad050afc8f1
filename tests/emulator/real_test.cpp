// The real driver: a short day with a deploy, a cut and a killed gatherer against the program itself, twice.
// The script's events must come at the script's times, and the rules' verdict must be the same.
#include <sys/stat.h>

#include <asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

#include "check.hpp"
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

struct Folder {
    Folder() {
        char name[] = "beechpoint-emulated-XXXXXX";
        CHECK(::mkdtemp(name) != nullptr);
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// Events without the time at which each came, which is looked at apart.
std::string scripted(const std::string& events) {
    std::string out;
    std::istringstream lines(events);
    for (std::string line; std::getline(lines, line);) {
        const Json e = Json::parse(line);
        CHECK(std::abs(e["atMs"].get<double>() - e["scriptMs"].get<double>()) <= 50);
        out += e["scriptMs"].dump() + " " + e["event"].get<std::string>() + " " +
               e["detail"].get<std::string>() + "\n";
    }
    return out;
}

void rehearses(const std::string& program) {
    const Scenario s = shortDay();
    std::string first;
    for (int round = 0; round < 2; ++round) {
        Folder folder;
        RealOptions options;
        options.gatherer = program;
        options.folder = folder.path;
        options.latest =
            1000;  // a machine under other tests may be late; the events' times are checked apart
        std::uint64_t parts = 0;
        options.atEnd = [&](std::uint64_t n) { parts = n; };
        const Results r = runReal(s, 7, options);
        if (r.broken > 0) std::fputs(r.rules.c_str(), stderr);
        CHECK(r.broken == 0);
        CHECK(r.load.all <= 0.1);
        CHECK(parts > 300);
        CHECK(r.service > 0.5);
        const std::string events = scripted(r.events);
        CHECK(events.find("gatherer_kill g0") != std::string::npos);
        CHECK(events.find("site_healed middle") != std::string::npos);
        if (round == 0)
            first = events;
        else
            CHECK(events == first);
    }
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

// What can't be run says why, in one line.
void saysWhyItCannotRun(const std::string& program) {
    Folder folder;
    RealOptions options;
    options.folder = folder.path;
    options.gatherer = "no-such-program";
    const Scenario s = shortDay();
    CHECK(failureOf([&] { runReal(s, 1, options); }).find("can't run no-such-program") != std::string::npos);
    // A program that ends at once.
    options.gatherer = "/bin/false";
    CHECK(failureOf([&] { runReal(s, 1, options); }).find("ended unasked with status 1") !=
          std::string::npos);
    // A port in use: the first party's own address, held by somebody else.
    asio::io_context io;
    tcp::acceptor held(io);
    tcp::endpoint at(asio::ip::make_address_v4("127.11.0.1"), 0);
    bindTo(held, at);
    held.listen();
    Scenario based = s;
    based.portBase = at.port();
    options.gatherer = program;
    const std::string failure = failureOf([&] { runReal(based, 1, options); });
    CHECK(failure.find("can't listen on 127.11.0.1:" + std::to_string(at.port())) != std::string::npos);
}

}  // namespace

int main(int, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    saysWhyItCannotRun(argv[1]);
    rehearses(argv[1]);
}
