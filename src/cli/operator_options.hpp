/// What the operators' commands have in common: which members they call, how long they wait, and how they end.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "core/result.hpp"
#include "operator_client/client.hpp"

namespace beechpoint::cli {

inline constexpr const char* kControlVariable = "BEECHPOINT_CONTROL";

// Exit statuses; kUsage (2) stands for a wrong command line.
inline constexpr int kDone = 0;
inline constexpr int kRefused = 1;
inline constexpr int kNotKnown =
    3;  ///< no member was reachable, or whether the change was applied is not known

struct OperatorOptions {
    std::string control;   ///< ADDRESS[,ADDRESS...]
    std::string settings;  ///< a settings file whose seed_nodes are called
    double timeoutSeconds = 10;
    bool json = false;

    void addTo(CLI::App& command);
};

/// The members to call: --control, else the variable's, else the seed_nodes of --settings. Error (invalid): none of them, or an
/// address that can't be read.
[[nodiscard]] Result<std::vector<std::string>> membersOf(const OperatorOptions& options);

/// Makes the call, with a line on standard error for each member called. Nothing where the options are wrong, which has been
/// reported then.
[[nodiscard]] std::optional<operator_client::Reply> perform(const OperatorOptions& options, Clock& clock,
                                                            const operator_client::Call& call);

/// Reports on standard error why a call did not end in `done`. The exit status of any ending. `again`: what to do where it is not
/// known whether a change was applied.
[[nodiscard]] int explain(const operator_client::Reply& reply, const std::string& again);

/// Reports how a change ended on standard output: `text`, or with --json an object. The exit status.
[[nodiscard]] int reportChange(const OperatorOptions& options, const operator_client::Reply& reply,
                               const std::string& text, const std::string& again);

}  // namespace beechpoint::cli
