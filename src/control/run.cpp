/// The process of the control role (control::run): signals, the settings file, the event loop. One thread runs all of it.
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>

#include "control/control.hpp"
#include "core/exit_signals.hpp"
#include "core/random_seed.hpp"

namespace beechpoint::control {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kMaxStartAttempts =
    25;  // attempts to listen: a process before this one may still hold the addresses
constexpr auto kRestartAfter = std::chrono::milliseconds(200);
constexpr auto kSettingsCheckEvery = std::chrono::seconds(2);  // the file may change without a signal

// Owns the event loop, the member and the signal handlers; lives for one run().
class Process {
public:
    Process(const std::string& path, settings::ProcessSettings settings, Clock& clock, Logger& logger)
        : path_(path),
          logger_(logger),
          stop_(io_, SIGTERM, SIGINT),
          reload_(io_, SIGHUP),
          startTimer_(io_),
          settingsTimer_(io_),
          control_(io_, clock, logger, std::move(settings), {drawSeed(), {}}) {
        changeOfReadSettings_ = lastChangeOfFile();
    }

    int run() {
        stop_.async_wait([this](const asio::error_code& error, int) {
            if (!error) startDraining();
        });
        awaitReload();
        start(1);
        watchSettings();
        io_.run();
        holdBackHandledSignals();
        return exitStatus_;
    }

private:
    void start(int attempt) {
        const auto started = control_.start();
        if (started) {
            logger_.info("control started");
            return;
        }
        logger_.warn("control can't start: {}", field("error", started.error().text()));
        if (started.error().kind == ErrorKind::invalid) {
            end(kExitInvalidSettings);
            return;
        }
        if (attempt >= kMaxStartAttempts) {
            end(kExitCannotListen);
            return;
        }
        startTimer_.expires_after(kRestartAfter);
        startTimer_.async_wait([this, attempt](const asio::error_code& error) {
            if (!error) start(attempt + 1);
        });
    }

    void startDraining() {
        startTimer_.cancel();
        control_.stop([this] { end(kExitOk); });
    }

    void end(int status) {
        exitStatus_ = status;
        io_.stop();
    }

    void awaitReload() {
        reload_.async_wait([this](const asio::error_code& error, int) {
            if (error) return;
            readSettings();
            awaitReload();
        });
    }

    void watchSettings() {
        settingsTimer_.expires_after(kSettingsCheckEvery);
        settingsTimer_.async_wait([this](const asio::error_code& error) {
            if (error) return;
            if (lastChangeOfFile() != changeOfReadSettings_) readSettings();
            watchSettings();
        });
    }

    // An unreadable file, possibly half written, changes nothing; the next check reads it again.
    void readSettings() {
        const auto time = lastChangeOfFile();
        auto settings = settings::readSettings(path_);
        if (!settings) {
            logger_.seldom("settings", "the settings can't be read, the old ones stay: {}",
                           field("error", settings.error().text()));
            changeOfReadSettings_ = {};
            return;
        }
        changeOfReadSettings_ = time;
        control_.reload(std::move(settings.value()));
    }

    std::filesystem::file_time_type lastChangeOfFile() const {
        std::error_code ignored;
        return std::filesystem::last_write_time(path_, ignored);
    }

    std::string path_;
    Logger& logger_;
    asio::io_context io_{1};
    asio::signal_set stop_;
    asio::signal_set reload_;
    asio::steady_timer startTimer_;
    asio::steady_timer settingsTimer_;
    Control control_;
    std::filesystem::file_time_type changeOfReadSettings_;
    int exitStatus_ = kExitOk;
};

}  // namespace

int run(const std::string& settingsPath, Clock& clock, Logger& logger) {
    std::signal(SIGPIPE, SIG_IGN);
    auto settings = settings::readSettings(settingsPath);
    if (!settings) {
        logger.warn("the settings are invalid: {}", field("error", settings.error().text()));
        return kExitInvalidSettings;
    }
    return Process(settingsPath, std::move(settings.value()), clock, logger).run();
}

}  // namespace beechpoint::control
