// beechpoint status: what a control member knows of the view, the gateways and the platform's host list.
#include <iostream>

#include "cli/cli.hpp"
#include "cli/operator_commands.hpp"
#include "operator_client/status_text.hpp"

namespace beechpoint::cli {

StatusCommand::StatusCommand(CLI::App& app)
    : command_(app.add_subcommand("status",
                                  "shows what a control member knows: view, gateways, hosts, revision")) {
    options_.addTo(*command_);
}

int StatusCommand::run(Clock& clock) const {
    operator_client::Call call;
    call.method = "GET";
    call.target = "/status";
    const auto reply = perform(options_, clock, call);
    if (!reply) return kUsage;
    const int status = explain(*reply, {});
    if (status != kDone) return status;
    if (options_.json) {
        std::cout << reply->body << '\n';
        return kDone;
    }
    const auto text = operator_client::renderStatusText(reply->body);
    if (!text) {
        std::cerr << "beechpoint: " << text.error().text() << '\n';
        return kNotKnown;
    }
    std::cout << text.value();
    return kDone;
}

}  // namespace beechpoint::cli
