// The process of the control role: signals, the settings file, the loop.
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>

#include "control/control.hpp"
#include "core/random_seed.hpp"

namespace beechpoint::control {
namespace {

constexpr int kExitCannotListen = 1;
constexpr int kExitSettings = 2;
constexpr int kMostStarts = 25;  // attempts to listen: a process before this one may still hold the addresses
constexpr auto kStartAgain = std::chrono::milliseconds(200);
constexpr auto kSettingsLook = std::chrono::seconds(2);  // the file may change without a signal

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
        readTime_ = changedAt();
    }

    int run() {
        stop_.async_wait([this](const asio::error_code& error, int) {
            if (!error) leave();
        });
        awaitReload();
        start(1);
        watchSettings();
        io_.run();
        return exitStatus_;
    }

private:
    void start(int attempt) {
        const auto started = control_.start();
        if (started) return logger_.info("control started");
        logger_.warn("control can't start: {}", field("error", started.error().text()));
        const bool again = started.error().kind != ErrorKind::invalid && attempt < kMostStarts;
        if (!again)
            return end(started.error().kind == ErrorKind::invalid ? kExitSettings : kExitCannotListen);
        startTimer_.expires_after(kStartAgain);
        startTimer_.async_wait([this, attempt](const asio::error_code& error) {
            if (!error) start(attempt + 1);
        });
    }

    void leave() {
        startTimer_.cancel();
        control_.stop([this] { end(0); });
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
        settingsTimer_.expires_after(kSettingsLook);
        settingsTimer_.async_wait([this](const asio::error_code& error) {
            if (error) return;
            if (changedAt() != readTime_) readSettings();
            watchSettings();
        });
    }

    // A file that can't be read, perhaps half written, changes nothing; the next look reads it again.
    void readSettings() {
        const auto time = changedAt();
        auto settings = settings::readSettings(path_);
        if (!settings) {
            logger_.seldom("settings", "the settings can't be read, the old ones stay: {}",
                           field("error", settings.error().text()));
            readTime_ = {};
            return;
        }
        readTime_ = time;
        control_.reload(std::move(settings.value()));
    }

    std::filesystem::file_time_type changedAt() const {
        std::error_code ignored;
        return std::filesystem::last_write_time(path_, ignored);
    }

    std::string path_;
    Logger& logger_;
    asio::io_context io_{1};
    asio::signal_set stop_, reload_;
    asio::steady_timer startTimer_, settingsTimer_;
    Control control_;
    std::filesystem::file_time_type readTime_;
    int exitStatus_ = 0;
};

}  // namespace

int run(const std::string& settingsPath, Clock& clock, Logger& logger) {
    std::signal(SIGPIPE, SIG_IGN);
    auto settings = settings::readSettings(settingsPath);
    if (!settings) {
        logger.warn("the settings are not sound: {}", field("error", settings.error().text()));
        return kExitSettings;
    }
    return Process(settingsPath, std::move(settings.value()), clock, logger).run();
}

}  // namespace beechpoint::control
