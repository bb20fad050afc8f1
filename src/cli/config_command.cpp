// beechpoint config: the configuration in force, and files that are to replace it.
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "cli/cli.hpp"
#include "cli/operator_commands.hpp"
#include "configuration/editing.hpp"
#include "operator_client/configuration_difference.hpp"

namespace beechpoint::cli {
namespace {

using Json = nlohmann::json;
using operator_client::Call;
using operator_client::Reply;

constexpr const char* kTarget = "/configuration";

// "-" is standard input. Nothing where it can't be read, which has been reported then.
std::optional<std::string> readFile(const std::string& path) {
    if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream file(path, std::ios::binary);
    if (file) return std::string(std::istreambuf_iterator<char>(file), {});
    std::cerr << "beechpoint: can't read " << path << '\n';
    return std::nullopt;
}

std::optional<std::uint64_t> revisionIn(const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned())
        return std::nullopt;
    return json["revision"].get<std::uint64_t>();
}

Call readCall() {
    Call call;
    call.method = "GET";
    call.target = kTarget;
    return call;
}

}  // namespace

ConfigCommand::ConfigCommand(CLI::App& app)
    : command_(app.add_subcommand("config", "reads, checks and changes the configuration in force")) {
    command_->require_subcommand(1);
    get_ = add("get", "prints the newest configuration", Takes::call);
    put_ = add("put", "puts a whole configuration into force", Takes::fileAndCall);
    patch_ = add("patch", "changes named items of the configuration", Takes::fileAndCall);
    check_ =
        add("check", "says what is wrong with a whole configuration, without asking anybody", Takes::file);
    diff_ = add("diff", "shows what a whole configuration would change", Takes::fileAndCall);
    for (CLI::App* command : {put_, patch_})
        command->add_option("--if-match", ifMatch_,
                            "the revision on which the file builds; that in force where absent");
}

CLI::App* ConfigCommand::add(const std::string& name, const std::string& help, Takes takes) {
    CLI::App* const command = command_->add_subcommand(name, help);
    if (takes != Takes::call) command->add_option("FILE", file_, "JSON; - for standard input")->required();
    if (takes != Takes::file) options_.addTo(*command);
    return command;
}

int ConfigCommand::run(Clock& clock) const {
    if (*get_) return get(clock);
    if (*put_) return write(clock, "PUT");
    if (*patch_) return write(clock, "PATCH");
    if (*check_) return check();
    return diff(clock);
}

int ConfigCommand::get(Clock& clock) const {
    const auto reply = perform(options_, clock, readCall());
    if (!reply) return kUsage;
    const int status = explain(*reply, {});
    if (status == kDone) std::cout << reply->body << '\n';
    return status;
}

int ConfigCommand::write(Clock& clock, const std::string& method) const {
    auto body = readFile(file_);
    if (!body) return kUsage;
    std::optional<std::uint64_t> ifMatch = ifMatch_;
    if (!ifMatch) {
        const auto current = perform(options_, clock, readCall());
        if (!current) return kUsage;
        const int status = explain(*current, {});
        if (status != kDone) return status;
        ifMatch = revisionIn(current->body);
    }
    if (!ifMatch) {
        std::cerr << "beechpoint: the answer names no revision; give --if-match\n";
        return kNotKnown;
    }
    Call call{method, kTarget, std::move(*body), ifMatch};
    const auto reply = perform(options_, clock, call);
    if (!reply) return kUsage;
    const auto revision = revisionIn(reply->body);
    const std::string text =
        fmt::format("in force: revision {}", revision ? std::to_string(*revision) : std::string("not told"));
    return reportChange(options_, *reply, text,
                        fmt::format("run it again with --if-match {}, which is safe", *ifMatch));
}

int ConfigCommand::check() const {
    const auto body = readFile(file_);
    if (!body) return kUsage;
    const auto decision = configuration::putConfiguration({}, "0", *body);
    if (!decision) {
        std::cerr << "beechpoint: " << file_ << ": " << decision.error().text() << '\n';
        return kRefused;
    }
    std::cout << "the configuration is sound: revision " << revisionIn(*body).value_or(0) << '\n';
    return kDone;
}

int ConfigCommand::diff(Clock& clock) const {
    const auto proposed = readFile(file_);
    if (!proposed) return kUsage;
    const auto reply = perform(options_, clock, readCall());
    if (!reply) return kUsage;
    const int status = explain(*reply, {});
    if (status != kDone) return status;
    const auto differences = operator_client::difference(reply->body, *proposed);
    if (!differences) {
        std::cerr << "beechpoint: " << differences.error().text() << '\n';
        return kRefused;
    }
    std::cout << (options_.json ? operator_client::renderDifferencesJson(differences.value())
                                : operator_client::renderDifferences(differences.value()));
    return kDone;
}

}  // namespace beechpoint::cli
