#include "cli/operator_options.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "operator_client/status_text.hpp"
#include "settings/addresses.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::cli {
namespace {

using operator_client::Ending;
using Json = nlohmann::json;

constexpr double kMillisPerSecond = 1000;
constexpr double kMaxTimeoutS = 3600;

std::string environment(const char* name) {
    const char* const value = std::getenv(name);
    return value ? value : "";
}

Result<std::vector<std::string>> splitAddresses(const std::string& text) {
    std::vector<std::string> addresses;
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        addresses.push_back(text.substr(begin, end - begin));
        if (!settings::isIpv4Endpoint(addresses.back()))
            return Error{ErrorKind::invalid, "--control",
                         fmt::format("'{}' is not IP:PORT", addresses.back()),
                         "write it as 10.0.0.1:8146,10.0.0.2:8146"};
        begin = end + 1;
    }
    return addresses;
}

std::string_view nameOf(Ending ending) {
    switch (ending) {
        case Ending::done:
            return "done";
        case Ending::refused:
            return "refused";
        case Ending::unreachable:
            return "unreachable";
        case Ending::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace

void OperatorOptions::addTo(CLI::App& command) {
    command.add_option("--control", control,
                       "control members, IP:PORT[,IP:PORT...]; $BEECHPOINT_CONTROL where absent");
    command.add_option("--settings", settings, "a process's settings file: its seed_nodes are asked");
    command.add_option("--timeout", timeoutSeconds, "seconds for the whole command")
        ->check(CLI::Range(0.1, kMaxTimeoutS));
    command.add_flag("--json", json, "the answer as JSON");
}

Result<std::vector<std::string>> membersOf(const OperatorOptions& options) {
    const std::string named =
        options.control.empty() && options.settings.empty() ? environment(kControlVariable) : options.control;
    if (!named.empty()) return splitAddresses(named);
    if (options.settings.empty())
        return Error{ErrorKind::invalid, "", "no control member is named",
                     fmt::format("use --control IP:PORT, ${} or --settings FILE", kControlVariable)};
    const auto settings = settings::readSettings(options.settings);
    if (!settings) return settings.error();
    if (settings.value().seedNodes.empty())
        return Error{ErrorKind::invalid, options.settings, "has no seed_nodes", "use --control IP:PORT"};
    return settings.value().seedNodes;
}

std::optional<operator_client::Reply> perform(const OperatorOptions& options, Clock& clock,
                                              const operator_client::Call& call) {
    auto members = membersOf(options);
    if (!members) {
        std::cerr << "beechpoint: " << members.error().text() << '\n';
        return std::nullopt;
    }
    operator_client::Client::Settings settings;
    settings.members = std::move(members.value());
    settings.total = options.timeoutSeconds * kMillisPerSecond;
    settings.seed = std::random_device()();
    operator_client::Client client(clock, std::move(settings), [](std::string_view line) {
        std::cerr << "beechpoint: " << line << '\n';
    });
    return client.perform(call);
}

int explain(const operator_client::Reply& reply, const std::string& again) {
    switch (reply.ending) {
        case Ending::done:
            return kDone;
        case Ending::refused:
            std::cerr << fmt::format("beechpoint: refused with {} by {}: {}\n", reply.status, reply.address,
                                     operator_client::describeRefusal(reply.body));
            return kRefused;
        case Ending::unreachable:
            std::cerr << "beechpoint: no control member gave a clear answer in time; nothing was changed\n";
            break;
        case Ending::unknown:
            std::cerr << "beechpoint: no clear answer in time: whether the change was taken is not known; "
                      << again << '\n';
            break;
    }
    if (reply.status != 0)
        std::cerr << fmt::format("beechpoint: the last answer was {} by {}: {}\n", reply.status,
                                 reply.address, operator_client::describeRefusal(reply.body));
    return kNotKnown;
}

int reportChange(const OperatorOptions& options, const operator_client::Reply& reply, const std::string& text,
                 const std::string& again) {
    const int status = explain(reply, again);
    if (options.json) {
        const Json answer = Json::parse(reply.body, nullptr, false);
        const Json out{{"outcome", nameOf(reply.ending)},
                       {"status", reply.status},
                       {"member", reply.address},
                       {"answer", answer.is_discarded() ? Json(nullptr) : answer}};
        std::cout << out.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
    } else if (status == kDone) {
        std::cout << text << '\n';
    }
    return status;
}

}  // namespace beechpoint::cli
