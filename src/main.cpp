#include <sys/resource.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "config.hpp"
#include "gatherer.hpp"

namespace {

using namespace beechpoint;

constexpr int kUsage = 2;

int serve(const Config& config, const std::string& path, Clock& clock, Logger& log) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    Counters counters;
    // First of all: a signal that nobody waits for would end the program.
    asio::signal_set stop(io, SIGTERM, SIGINT), print(io, SIGUSR1), reload(io, SIGHUP);
    Gatherer gatherer(io, config, clock, counters, log);
    std::function<void()> awaitPrint = [&] {
        print.async_wait([&](asio::error_code error, int) {
            if (error) return;
            log.info("counters: {}", field("counters", counters.line()));
            awaitPrint();
        });
    };
    std::function<void()> awaitReload = [&] {
        reload.async_wait([&](asio::error_code error, int) {
            if (error) return;
            try {
                gatherer.reload(readConfigFile(path, clock));
            } catch (const std::exception& e) {
                log.warn("bad configuration, the old one holds: {}",
                         field("error", std::string_view(e.what())));
            }
            awaitReload();
        });
    };
    stop.async_wait([&](asio::error_code error, int) {
        if (!error) gatherer.stop([&] { io.stop(); });
    });
    awaitPrint();
    awaitReload();
    gatherer.start();
    io.run();
    log.info("counters at exit: {}", field("counters", counters.line()));
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    Clock clock;
    auto log = std::make_unique<Logger>(clock);
    try {
        cxxopts::Options options("beechpoint",
                                 "Gathers answers of track hosts: beechpoint serve|check-config|version\n");
        options.add_options()("command", "serve, check-config or version", cxxopts::value<std::string>())(
            "c,config", "the configuration's file; $NODE_CONFIG where absent", cxxopts::value<std::string>())(
            "o,operator", "an operator's file: the query API, SNMP", cxxopts::value<std::string>())(
            "log-format", "text, or json: one object a line",
            cxxopts::value<std::string>()->default_value("text"))("h,help", "print this");
        options.parse_positional({"command"});
        options.positional_help("COMMAND");
        const auto given = options.parse(argc, argv);
        if (given.count("help") || !given.count("command")) {
            std::cout << options.help();
            return given.count("help") ? 0 : kUsage;
        }
        const auto command = given["command"].as<std::string>();
        if (command == "version") {
            std::cout << "beechpoint " << BEECHPOINT_VERSION << '\n';
            return 0;
        }
        if (command != "serve" && command != "check-config") {
            std::cerr << "beechpoint: no such command: " << command << '\n';
            return kUsage;
        }
        const auto format = given["log-format"].as<std::string>();
        if (format != "text" && format != "json") {
            std::cerr << "beechpoint: --log-format must be text or json\n";
            return kUsage;
        }
        if (format == "json") log = std::make_unique<Logger>(clock, logging::Format::json);
        const char* const named = std::getenv("NODE_CONFIG");
        const std::string path = given.count("config") ? given["config"].as<std::string>()
                                 : named               ? named
                                                       : "";
        if (path.empty()) {
            std::cerr << "beechpoint: name a configuration by --config or NODE_CONFIG\n";
            return kUsage;
        }
        Config config = readConfigFile(path, clock);
        if (const char* const door = std::getenv("NODE_OPERATOR"); door && *door) readDoor(door, config);
        const char* const folder = std::getenv("TMPDIR");
        config.stateFolder = folder && *folder ? folder : "/tmp";
        if (given.count("operator")) readOperatorFile(given["operator"].as<std::string>(), config);
        if (command == "serve") return serve(config, path, clock, *log);
        std::cout << "the configuration is sound: " << config.settings.classes.size() << " classes, "
                  << config.known.list.entries.size() << " hosts known\n";
        return 0;
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "beechpoint: " << e.what() << '\n';
        return kUsage;
    } catch (const BadConfig& e) {
        log->warn("bad configuration: {}", field("error", std::string_view(e.what())));
    } catch (const std::exception& e) {
        log->warn("can't go on: {}", field("error", std::string_view(e.what())));
    }
    return 1;
}
