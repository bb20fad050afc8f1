// What the operators' commands have in common: whom they ask, how long they wait, and how they end.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "core/result.hpp"
#include "operator_client/client.hpp"

namespace beechpoint::cli {

inline constexpr const char* kControlVariable = "BEECHPOINT_CONTROL";

// Exit statuses; kUsage (2) stands for words of the call that are off.
inline constexpr int kDone = 0;
inline constexpr int kRefused = 1;
inline constexpr int kNotKnown = 3;  // no member was reachable, or whether the change was taken is not known

struct OperatorOptions {
    std::string control;   // ADDRESS[,ADDRESS...]
    std::string settings;  // a settings file whose seed_nodes are asked
    double timeoutSeconds = 10;
    bool json = false;

    void addTo(CLI::App& command);
};

// The members to ask: --control, else the variable's, else the seed_nodes of --settings. Error (invalid): none of them, or an
// address that can't be read.
Result<std::vector<std::string>> membersOf(const OperatorOptions& options);

// Makes the call, telling on standard error whom it asks. Nothing where the options are off, which was said then.
std::optional<operator_client::Reply> perform(const OperatorOptions& options, Clock& clock,
                                              const operator_client::Call& call);

// Says on standard error why a call did not end in `done`. The exit status of any ending. `again`: what to do where it is not
// known whether a change was taken.
int explain(const operator_client::Reply& reply, const std::string& again);

// How a change ended, on standard output: `text`, or with --json an object.
int reportChange(const OperatorOptions& options, const operator_client::Reply& reply, const std::string& text,
                 const std::string& again);

}  // namespace beechpoint::cli
