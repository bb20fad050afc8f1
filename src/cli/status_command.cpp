// beechpoint status and beechpoint duties: what a control member knows of the view, the gateways, the host list and the duties.
#include <iostream>

#include "cli/cli.hpp"
#include "cli/operator_commands.hpp"

namespace beechpoint::cli {

StatusCommand::StatusCommand(CLI::App& app, const std::string& name, const std::string& description,
                             Render render)
    : command_(app.add_subcommand(name, description)), render_(render) {
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
    const auto text = render_(reply->body);
    if (!text) {
        std::cerr << "beechpoint: " << text.error().text() << '\n';
        return kNotKnown;
    }
    std::cout << text.value();
    return kDone;
}

}  // namespace beechpoint::cli
