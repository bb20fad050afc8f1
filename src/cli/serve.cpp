#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <string>

#include "cli/cli.hpp"
#include "gatherer.hpp"

namespace beechpoint::cli {

namespace {

constexpr auto kRetryPeriod = std::chrono::milliseconds(200);
constexpr int kRetries = 15;  // a file completed up to 3 s after SIGHUP still counts, within the 4 s allowed

// A gatherer with its signals. Owns the loop, which runs inside run().
class ServeProcess {
public:
    ServeProcess(const Config& config, const std::string& path, Clock& clock, Logger& log)
        : path_(path), clock_(clock), log_(log), gatherer_(io_, config, clock, counters_, log) {}

    // Until SIGTERM or SIGINT.
    void run() {
        stop_.async_wait([this](asio::error_code error, int) {
            if (!error) gatherer_.stop([this] { io_.stop(); });
        });
        awaitPrint();
        awaitReload();
        gatherer_.start();
        io_.run();
        log_.info("counters at exit: {}", field("counters", counters_.line()));
    }

private:
    void awaitPrint() {
        print_.async_wait([this](asio::error_code error, int) {
            if (error) return;
            log_.info("counters: {}", field("counters", counters_.line()));
            awaitPrint();
        });
    }

    void awaitReload() {
        reload_.async_wait([this](asio::error_code error, int) {
            if (error) return;
            retry_.cancel();
            readConfiguration(kRetries);
            awaitReload();
        });
    }

    // The file may be half written when the signal comes, and no other may follow: it is read again for a while.
    void readConfiguration(int retriesLeft) {
        try {
            gatherer_.reload(readConfigFile(path_, clock_));
        } catch (const std::exception& exception) {
            counters_.add(Counter::configsUnreadable);
            log_.seldom("configuration", "bad configuration, the previous one stays in force: {}",
                        field("error", std::string_view(exception.what())));
            if (retriesLeft > 0) retryLater(retriesLeft - 1);
        }
    }

    void retryLater(int retriesLeft) {
        retry_.expires_after(kRetryPeriod);
        retry_.async_wait([this, retriesLeft](asio::error_code error) {
            if (!error) readConfiguration(retriesLeft);
        });
    }

    const std::string& path_;
    Clock& clock_;
    Logger& log_;
    asio::io_context io_{1};
    Counters counters_;
    // Before the gatherer: a signal that nobody waits for would end the program.
    asio::signal_set stop_{io_, SIGTERM, SIGINT};
    asio::signal_set print_{io_, SIGUSR1};
    asio::signal_set reload_{io_, SIGHUP};
    Gatherer gatherer_;
    asio::steady_timer retry_{io_};
};

}  // namespace

int serve(const Config& config, const std::string& path, Clock& clock, Logger& log) {
    std::signal(SIGPIPE, SIG_IGN);
    ServeProcess(config, path, clock, log).run();
    return 0;
}

}  // namespace beechpoint::cli
