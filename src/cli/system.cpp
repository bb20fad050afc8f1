#include "cli/system.hpp"

#include <fmt/format.h>

#include <csignal>
#include <iostream>

#include "cli/cli.hpp"
#include "control/control.hpp"
#include "core/logger.hpp"
#include "gateway/run.hpp"
#include "operator_client/status_text.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::cli {

namespace {

std::string mechanismsHelp() {
    std::string text = "turns off a mechanism of the gateway's decisions, to measure what it is worth:";
    for (const auto& mechanism : dispatch::kMechanismNames)
        text += fmt::format("\n  {:14} {}", mechanism.name, mechanism.meaning);
    return text;
}

std::vector<std::string> mechanismNames() {
    std::vector<std::string> names;
    for (const auto& mechanism : dispatch::kMechanismNames) names.emplace_back(mechanism.name);
    return names;
}

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

SystemCommands::SystemCommands(CLI::App& app)
    : config_(app),
      evacuate_(app),
      resolve_(app),
      status_(app, "status", "shows what a control member knows: view, gateways, hosts, revision",
              operator_client::renderStatusText),
      duties_(app, "duties",
              "shows who holds which duty under which token, and what is recorded of its calls",
              operator_client::renderDutiesText) {
    settingsPath_ = settings::settingsPath();
    gateway_ = app.add_subcommand("gateway", "serves clients: routes requests to hosts, until SIGTERM");
    control_ = app.add_subcommand("control", "keeps the configuration and knows the gateways, until SIGTERM");
    gateway_->add_option("--without", without_, mechanismsHelp())
        ->check(CLI::IsMember(mechanismNames()))
        ->type_name("NAME ...");
    gateway_->add_option("--price-shared-read", prices_.sharedRead,
                         "of a thousand shared prompt tokens read again, in worths of a mean request");
    gateway_->add_option("--price-cross-zone", prices_.crossZone,
                         "of a million bytes between zones, likewise");
    gateway_->add_option("--price-cross-region", prices_.crossRegion,
                         "of a million bytes between regions, likewise");
    checkSettings_ = app.add_subcommand("check-settings", "says all that is wrong with a process's settings");
    for (CLI::App* command : {gateway_, control_, checkSettings_})
        command->add_option("--settings", settingsPath_,
                            "the settings file; $BEECHPOINT_NODE_FILE where absent");
}

bool SystemCommands::given() const {
    const bool process = *gateway_ || *control_ || *checkSettings_;
    return process || config_.given() || evacuate_.given() || resolve_.given() || status_.given() ||
           duties_.given();
}

int SystemCommands::run(Clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    if (*checkSettings_) return checkSettings(settingsPath_);
    if (config_.given()) return config_.run(clock);
    if (evacuate_.given()) return evacuate_.run(clock);
    if (resolve_.given()) return resolve_.run(clock);
    if (status_.given()) return status_.run(clock);
    if (duties_.given()) return duties_.run(clock);
    Logger log(clock, logging::Format::json);
    if (!*gateway_) return control::run(settingsPath_, clock, log);
    gateway::Policy policy;
    policy.prices = prices_;
    for (const std::string& name : without_)
        if (const auto mechanism = dispatch::findMechanism(name)) policy.mechanisms.disable(*mechanism);
    return gateway::run(settingsPath_, policy, clock, log);
}

}  // namespace beechpoint::cli
