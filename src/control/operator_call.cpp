#include "control/operator_call.hpp"

#include "control/percent_encoding.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kConfigurationPath = "/configuration";
constexpr std::string_view kEvacuatePrefix = "/evacuate/";
constexpr std::string_view kMethodPlace = "method";
constexpr int kMethodNotAllowed = 405;

// "5", 5 and W/"5" name the same version.
std::string_view withoutQuotes(std::string_view tag) {
    if (tag.starts_with("W/")) tag.remove_prefix(2);
    if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') tag = tag.substr(1, tag.size() - 2);
    return tag;
}

Error methodError(std::string_view method, std::string_view allowed) {
    return {ErrorKind::invalid, std::string(kMethodPlace), fmt::format("{} is not taken here", method),
            fmt::format("use {}", allowed)};
}

}  // namespace

Result<OperatorCall> parseOperatorCall(std::string_view method, std::string_view path,
                                       std::string_view ifMatch) {
    OperatorCall call;
    call.target = std::string(path);
    call.ifMatch = std::string(withoutQuotes(ifMatch));
    if (path == kConfigurationPath) {
        if (method == "GET")
            call.kind = OperatorCallKind::read;
        else if (method == "PUT")
            call.kind = OperatorCallKind::put;
        else if (method == "PATCH")
            call.kind = OperatorCallKind::patch;
        else
            return methodError(method, "GET, PUT or PATCH");
        return call;
    }
    if (path.starts_with(kEvacuatePrefix)) {
        if (method != "POST" && method != "DELETE") return methodError(method, "POST or DELETE");
        call.kind = method == "POST" ? OperatorCallKind::evacuate : OperatorCallKind::takeBack;
        const auto zone = percentDecoded(path.substr(kEvacuatePrefix.size()));
        if (!zone || zone->empty())
            return Error{ErrorKind::invalid, "zone", "the path names no zone", "use /evacuate/ZONE"};
        call.zone = *zone;
        return call;
    }
    return Error{ErrorKind::notFound, std::string(path), "there is no such path",
                 "use /configuration or /evacuate/ZONE"};
}

int statusOfCallError(const Error& error) {
    return error.location == kMethodPlace ? kMethodNotAllowed : configuration::httpStatus(error.kind);
}

Result<configuration::Decision> decide(const OperatorCall& call, const Table& table) {
    switch (call.kind) {
        case OperatorCallKind::put:
            return configuration::putConfiguration(table, call.ifMatch, call.body);
        case OperatorCallKind::patch:
            return configuration::patchConfiguration(table, call.ifMatch, call.body);
        case OperatorCallKind::evacuate:
            return configuration::evacuate(table, call.zone, true);
        case OperatorCallKind::takeBack:
            return configuration::evacuate(table, call.zone, false);
        case OperatorCallKind::read:
            break;
    }
    return Error{ErrorKind::invalid, "", "a read changes nothing", ""};
}

}  // namespace beechpoint::control
