// beechpoint resolve: which gateways the directory names to a client.
#include <fmt/format.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/cli.hpp"
#include "cli/operator_commands.hpp"

namespace beechpoint::cli {

ResolveCommand::ResolveCommand(CLI::App& app)
    : command_(app.add_subcommand("resolve", "asks which gateways a client is told of")) {
    command_->add_option("NAME", name_, "the host name that the client asks for")->required();
    command_->add_option("--zone", zone_, "the client's zone");
    command_->add_option("--region", region_, "the client's region");
    options_.addTo(*command_);
}

int ResolveCommand::run(Clock& clock) const {
    using operator_client::percentEncoded;
    operator_client::Call call;
    call.method = "GET";
    call.target = "/resolve?name=" + percentEncoded(name_);
    if (!zone_.empty()) call.target += "&zone=" + percentEncoded(zone_);
    if (!region_.empty()) call.target += "&region=" + percentEncoded(region_);
    const auto reply = perform(options_, clock, call);
    if (!reply) return kUsage;
    const int status = explain(*reply, {});
    if (status != kDone) return status;
    const auto answer = nlohmann::json::parse(reply->body, nullptr, false);
    const bool readable =
        answer.is_object() && answer.contains("addresses") && answer["addresses"].is_array();
    if (options_.json || !readable) {
        std::cout << reply->body << '\n';
        return readable ? kDone : kNotKnown;
    }
    for (const auto& address : answer["addresses"])
        std::cout << (address.is_string() ? address.get<std::string>() : address.dump()) << '\n';
    return kDone;
}

}  // namespace beechpoint::cli
