/// The sub-commands of the serving system: its two roles, and the client calls of its operators.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "cli/operator_commands.hpp"
#include "core/clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace beechpoint::cli {

/// Adds the sub-commands to `app`, which must outlive this object.
class SystemCommands {
public:
    explicit SystemCommands(CLI::App& app);
    /// Whether one of them was called.
    [[nodiscard]] bool given() const;
    /// Runs that one. The exit status.
    [[nodiscard]] int run(Clock& clock);

private:
    CLI::App* gateway_;
    CLI::App* control_;
    CLI::App* checkSettings_;
    std::string settingsPath_;
    std::vector<std::string> without_;  // mechanisms
    dispatch::Prices prices_;
    ConfigCommand config_;
    EvacuateCommand evacuate_;
    ResolveCommand resolve_;
    StatusCommand status_;
    StatusCommand duties_;
};

}  // namespace beechpoint::cli
