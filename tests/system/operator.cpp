#include "operator.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "figures.hpp"

namespace beechpoint::system_test {

namespace {

const char* nameOf(operator_client::Ending ending) {
    switch (ending) {
        case operator_client::Ending::done:
            return "done";
        case operator_client::Ending::refused:
            return "refused";
        case operator_client::Ending::unreachable:
            return "unreachable";
        case operator_client::Ending::unknown:
            return "unknown";
    }
    return "";
}

}  // namespace

std::string Outcome::text() const {
    return fmt::format("{}, status {} by {} after {:.0f} ms: {}", nameOf(reply.ending), reply.status,
                       reply.address, took, reply.body);
}

Operator::Operator(const System& system, std::string author, std::uint64_t seed)
    : system_(system), author_(std::move(author)), seed_(seed) {}

Outcome Operator::put(std::uint64_t revision, const Members& members, Millis most) {
    operator_client::Call call{"PUT", "/configuration", configurationText(revision, author_), revision - 1};
    return perform(std::move(call), members, most);
}

Outcome Operator::read(const Members& members, Millis most) {
    return perform({"GET", "/configuration", {}, std::nullopt}, members, most);
}

Outcome Operator::evacuate(const std::string& zone, bool back, const Members& members, Millis most) {
    return perform({back ? "DELETE" : "POST", "/evacuate/" + zone, {}, std::nullopt}, members, most);
}

Outcome Operator::perform(operator_client::Call call, const Members& members, Millis most) {
    operator_client::Client client(system_.clock(), {system_.controlAddresses(members), most, ++seed_},
                                   [](std::string_view) {});
    Outcome outcome;
    const Millis began = system_.clock().now();
    outcome.reply = client.perform(call);
    outcome.took = system_.clock().now() - began;
    report("operators' calls", nameOf(outcome.reply.ending), outcome.took);
    return outcome;
}

std::uint64_t revisionOf(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("revision", std::uint64_t{0}) : 0;
}

}  // namespace beechpoint::system_test
