#include "control/operator_call.hpp"

#include <fmt/format.h>

#include <utility>

#include "directory/percent_encoding.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kConfigurationPath = "/configuration";
constexpr std::string_view kEvacuatePrefix = "/evacuate/";
constexpr std::string_view kMethodLocation = "method";
constexpr int kMethodNotAllowed = 405;

// "5", 5 and W/"5" name the same version (entity tags, RFC 9110, 8.8.3).
std::string_view withoutQuotes(std::string_view tag) {
    if (tag.starts_with("W/")) tag.remove_prefix(2);
    if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') tag = tag.substr(1, tag.size() - 2);
    return tag;
}

Error methodError(std::string_view method, std::string_view allowed) {
    return {ErrorKind::invalid, std::string(kMethodLocation), fmt::format("{} is not taken here", method),
            fmt::format("use {}", allowed)};
}

Result<OperatorCallKind> configurationCallKind(std::string_view method) {
    if (method == "GET") return OperatorCallKind::read;
    if (method == "PUT") return OperatorCallKind::put;
    if (method == "PATCH") return OperatorCallKind::patch;
    return methodError(method, "GET, PUT or PATCH");
}

Result<OperatorCallKind> evacuationCallKind(std::string_view method) {
    if (method == "POST") return OperatorCallKind::evacuate;
    if (method == "DELETE") return OperatorCallKind::cancelEvacuation;
    return methodError(method, "POST or DELETE");
}

Result<std::string> zoneOf(std::string_view path) {
    const auto zone = directory::percentDecoded(path.substr(kEvacuatePrefix.size()));
    if (!zone || zone->empty())
        return Error{ErrorKind::invalid, "zone", "the path names no zone", "use /evacuate/ZONE"};
    return *zone;
}

}  // namespace

Result<OperatorCall> parseOperatorCall(std::string_view method, std::string_view path,
                                       std::string_view ifMatch) {
    OperatorCall call;
    call.target = std::string(path);
    call.ifMatch = std::string(withoutQuotes(ifMatch));
    if (path == kConfigurationPath) {
        const auto kind = configurationCallKind(method);
        if (!kind) return kind.error();
        call.kind = kind.value();
        return call;
    }
    if (path.starts_with(kEvacuatePrefix)) {
        const auto kind = evacuationCallKind(method);
        if (!kind) return kind.error();
        auto zone = zoneOf(path);
        if (!zone) return zone.error();
        call.kind = kind.value();
        call.zone = std::move(zone.value());
        return call;
    }
    return Error{ErrorKind::notFound, std::string(path), "there is no such path",
                 "use /configuration or /evacuate/ZONE"};
}

int statusOfCallError(const Error& error) {
    return error.location == kMethodLocation ? kMethodNotAllowed : configuration::httpStatus(error.kind);
}

Result<configuration::Decision> decide(const OperatorCall& call, const Table& table) {
    switch (call.kind) {
        case OperatorCallKind::put:
            return configuration::putConfiguration(table, call.ifMatch, call.body);
        case OperatorCallKind::patch:
            return configuration::patchConfiguration(table, call.ifMatch, call.body);
        case OperatorCallKind::evacuate:
            return configuration::evacuate(table, call.zone, true);
        case OperatorCallKind::cancelEvacuation:
            return configuration::evacuate(table, call.zone, false);
        case OperatorCallKind::read:
            break;
    }
    return Error{ErrorKind::invalid, "", "a read changes nothing", ""};
}

}  // namespace beechpoint::control
