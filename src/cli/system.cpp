#include "cli/system.hpp"

#include <csignal>
#include <iostream>

#include "cli/cli.hpp"
#include "control/control.hpp"
#include "core/logger.hpp"
#include "gateway/run.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::cli {

namespace {

int checkSettings(const std::string& path) {
    const auto settings = settings::readSettings(path);
    if (settings) {
        std::cout << "the settings are sound: " << settings.value().nodeName << '\n';
        return 0;
    }
    std::cerr << "beechpoint: " << settings.error().text() << '\n';
    return 1;
}

}  // namespace

SystemCommands::SystemCommands(CLI::App& app) : config_(app), evacuate_(app), resolve_(app), status_(app) {
    settingsPath_ = settings::settingsPath();
    gateway_ = app.add_subcommand("gateway", "serves clients: routes requests to hosts, until SIGTERM");
    control_ = app.add_subcommand("control", "keeps the configuration and knows the gateways, until SIGTERM");
    checkSettings_ = app.add_subcommand("check-settings", "says all that is wrong with a process's settings");
    for (CLI::App* command : {gateway_, control_, checkSettings_})
        command->add_option("--settings", settingsPath_,
                            "the settings file; $BEECHPOINT_NODE_FILE where absent");
}

bool SystemCommands::given() const {
    const bool process = *gateway_ || *control_ || *checkSettings_;
    return process || config_.given() || evacuate_.given() || resolve_.given() || status_.given();
}

int SystemCommands::run(Clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    if (*checkSettings_) return checkSettings(settingsPath_);
    if (config_.given()) return config_.run(clock);
    if (evacuate_.given()) return evacuate_.run(clock);
    if (resolve_.given()) return resolve_.run(clock);
    if (status_.given()) return status_.run(clock);
    Logger log(clock, logging::Format::json);
    return *gateway_ ? gateway::run(settingsPath_, clock, log) : control::run(settingsPath_, clock, log);
}

}  // namespace beechpoint::cli
