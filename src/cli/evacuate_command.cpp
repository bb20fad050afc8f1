// beechpoint evacuate: takes a zone out of rotation, or back into it.
#include <fmt/format.h>

#include "cli/cli.hpp"
#include "cli/operator_commands.hpp"

namespace beechpoint::cli {

EvacuateCommand::EvacuateCommand(CLI::App& app)
    : command_(app.add_subcommand("evacuate", "sends nothing further to the hosts of a zone")) {
    command_->add_option("ZONE", zone_, "the zone's name")->required();
    command_->add_flag("--back", back_, "takes the zone back instead");
    options_.addTo(*command_);
}

int EvacuateCommand::run(Clock& clock) const {
    operator_client::Call call;
    call.method = back_ ? "DELETE" : "POST";
    call.target = "/evacuate/" + operator_client::percentEncoded(zone_);
    const auto reply = perform(options_, clock, call);
    if (!reply) return kUsage;
    const std::string text = fmt::format("zone {}: {}", zone_, back_ ? "taken back" : "evacuated");
    return reportChange(options_, *reply, text, "run it again, which is safe");
}

}  // namespace beechpoint::cli
