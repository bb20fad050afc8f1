#include "directory/directory_service.hpp"

#include <utility>

#include "configuration/editing.hpp"
#include "directory/directory.hpp"
#include "net/http.hpp"
#include "net/server.hpp"

namespace beechpoint::directory {
namespace {

constexpr const char* kJson = "application/json";
constexpr Millis kRetryAfter = 500;  // milliseconds

}  // namespace

DirectoryService::DirectoryService(const Clock& clock, Gateways gateways, double ttlSeconds)
    : clock_(clock), gateways_(std::move(gateways)), ttlSeconds_(ttlSeconds) {}

DirectoryService::~DirectoryService() = default;

void DirectoryService::handle(const net::HttpMessage& message,
                              const std::shared_ptr<net::HttpConnection>& connection) {
    if (message.method != "GET") {
        const Error error{ErrorKind::invalid, "method", "only GET is taken here", "use GET /resolve"};
        connection->respond(405, kJson, configuration::renderError(error));
        return;
    }
    PendingRequest request;
    request.zone = queryValue(message.query(), "zone");
    request.region = queryValue(message.query(), "region");
    request.connection = connection;
    request.deadline = clock_.now() + kResolveWait;
    if (answer(request, gateways_())) return;
    if (draining_ || pending_.size() >= kMaxPendingClients)
        refuse(request);
    else
        pending_.push_back(std::move(request));
}

void DirectoryService::answerPending() {
    if (pending_.empty()) return;
    const auto gateways = gateways_();
    const Millis now = clock_.now();
    for (auto next = pending_.begin(); next != pending_.end();) {
        const auto request = next++;
        const bool isDone = !request->connection->waiting() || answer(*request, gateways);
        const bool mayWait = !draining_ && now < request->deadline;
        if (!isDone && mayWait) continue;
        if (!isDone) refuse(*request);
        pending_.erase(request);
    }
}

void DirectoryService::drain() {
    draining_ = true;
    answerPending();
}

bool DirectoryService::answer(const PendingRequest& request,
                              const std::vector<leases::Gateway>& gateways) const {
    const auto addresses = resolve(gateways, request.zone, request.region);
    if (addresses.empty()) return false;
    request.connection->respond(200, kJson, renderResolved(addresses, ttlSeconds_));
    return true;
}

void DirectoryService::refuse(const PendingRequest& request) const {
    const Error error{ErrorKind::unavailable, "", "no ready gateway is known here",
                      "ask again, here or at another member"};
    request.connection->respond(503, kJson, configuration::renderError(error),
                                net::retryAfterHeader(kRetryAfter));
}

}  // namespace beechpoint::directory
