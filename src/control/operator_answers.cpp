#include "control/operator_answers.hpp"

#include <fmt/format.h>

#include <utility>

#include "configuration/editing.hpp"
#include "net/http.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kRetryAfter = 300;
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kServiceUnavailable = 503;

}  // namespace

Answer configurationAnswer(CallId id, const Table& table) {
    return {id, kOk, configuration::renderConfiguration(table), {}};
}

Answer appliedAnswer(CallId id, std::uint64_t revision) {
    return {id, kOk, fmt::format(R"({{"revision":{}}})", revision), {}};
}

Answer errorAnswer(CallId id, const Error& error) {
    return {id, configuration::httpStatus(error.kind), configuration::renderError(error), {}};
}

Answer unavailableAnswer(CallId id, const std::string& reason) {
    const Error error{ErrorKind::unavailable, "", reason,
                      "send the same call again, here or to another member"};
    return {id, kServiceUnavailable, configuration::renderError(error), net::retryAfterHeader(kRetryAfter)};
}

Answer redirectAnswer(CallId id, const std::string& controlAddress, const std::string& target) {
    std::string location = fmt::format("Location: http://{}{}\r\n", controlAddress, target);
    const Error error{ErrorKind::unavailable, "", "another member answers this call",
                      "follow Location: " + controlAddress};
    return {id, kTemporaryRedirect, configuration::renderError(error), std::move(location)};
}

}  // namespace beechpoint::control
