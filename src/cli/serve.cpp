#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>

#include "cli/cli.hpp"
#include "gatherer.hpp"

namespace beechpoint::cli {

namespace {

constexpr auto kConfigAgain = std::chrono::milliseconds(200);
constexpr int kConfigLooks = 15;  // told by SIGHUP counts 4 s later

}  // namespace

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
    // The file may be half written when the signal comes, and no other may follow: it is looked at again for a while.
    asio::steady_timer again(io);
    std::function<void(int)> read = [&](int looksLeft) {
        try {
            gatherer.reload(readConfigFile(path, clock));
        } catch (const std::exception& e) {
            counters.add(Counter::configsUnreadable);
            log.seldom("configuration", "bad configuration, the old one holds: {}",
                       field("error", std::string_view(e.what())));
            if (looksLeft == 0) return;
            again.expires_after(kConfigAgain);
            again.async_wait([&, looksLeft](asio::error_code error) {
                if (!error) read(looksLeft - 1);
            });
        }
    };
    std::function<void()> awaitReload = [&] {
        reload.async_wait([&](asio::error_code error, int) {
            if (error) return;
            again.cancel();
            read(kConfigLooks);
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

}  // namespace beechpoint::cli
