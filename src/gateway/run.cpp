#include "gateway/run.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <functional>

#include "core/exit_signals.hpp"
#include "gateway/gateway.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::gateway {

int run(const std::string& settingsPath, const Policy& policy, Clock& clock, Logger& log) {
    asio::io_context io(1);
    asio::signal_set stop(io, SIGTERM, SIGINT);
    asio::signal_set reload(io, SIGHUP);
    const auto settings = settings::readSettings(settingsPath);
    if (!settings) {
        log.warn("bad settings: {}", field("error", settings.error().text()));
        return 1;
    }
    Gateway gateway(io, settings.value(), policy, clock, log);
    std::function<void()> awaitReload = [&] {
        reload.async_wait([&](asio::error_code error, int) {
            if (error) return;
            const auto changed = settings::readSettings(settingsPath);
            if (changed)
                gateway.reload(changed.value());
            else
                log.warn("bad settings, the previous ones stay in force: {}",
                         field("error", changed.error().text()));
            awaitReload();
        });
    };
    stop.async_wait([&](asio::error_code error, int) {
        if (!error) gateway.stop([&] { io.stop(); });
    });
    awaitReload();
    gateway.start();
    io.run();
    holdBackHandledSignals();
    return 0;
}

}  // namespace beechpoint::gateway
