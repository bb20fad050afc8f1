/// The operators' sub-commands, a file each: calls to a running control member, and the report of its answer. Each adds itself to
/// the program's commands; given() tells whether it was called, and run() returns the exit status.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "cli/operator_options.hpp"
#include "core/clock.hpp"

namespace beechpoint::cli {

/// config get | put FILE | patch FILE | check FILE | diff FILE
class ConfigCommand {
public:
    explicit ConfigCommand(CLI::App& app);
    [[nodiscard]] bool given() const { return static_cast<bool>(*command_); }
    [[nodiscard]] int run(Clock& clock) const;

private:
    // What a sub-command of `config` takes: a file, a call to control, or both.
    enum class Takes { call, file, fileAndCall };

    CLI::App* add(const std::string& name, const std::string& help, Takes takes);
    int get(Clock& clock) const;
    int write(Clock& clock, const std::string& method) const;
    int check() const;
    int diff(Clock& clock) const;

    CLI::App* command_;
    OperatorOptions options_;
    std::string file_;
    std::optional<std::uint64_t> ifMatch_;
    CLI::App *get_, *put_, *patch_, *check_, *diff_;
};

/// evacuate ZONE [--back]
class EvacuateCommand {
public:
    explicit EvacuateCommand(CLI::App& app);
    [[nodiscard]] bool given() const { return static_cast<bool>(*command_); }
    [[nodiscard]] int run(Clock& clock) const;

private:
    CLI::App* command_;
    OperatorOptions options_;
    std::string zone_;
    bool back_ = false;
};

/// resolve NAME [--zone ZONE] [--region REGION]
class ResolveCommand {
public:
    explicit ResolveCommand(CLI::App& app);
    [[nodiscard]] bool given() const { return static_cast<bool>(*command_); }
    [[nodiscard]] int run(Clock& clock) const;

private:
    CLI::App* command_;
    OperatorOptions options_;
    std::string name_, zone_, region_;
};

/// status, duties: parts of what a control member answers to GET /status
class StatusCommand {
public:
    /// Renders the answer's body for people.
    using Render = Result<std::string> (*)(std::string_view body);

    StatusCommand(CLI::App& app, const std::string& name, const std::string& description, Render render);
    [[nodiscard]] bool given() const { return static_cast<bool>(*command_); }
    [[nodiscard]] int run(Clock& clock) const;

private:
    CLI::App* command_;
    OperatorOptions options_;
    Render render_;
};

}  // namespace beechpoint::cli
