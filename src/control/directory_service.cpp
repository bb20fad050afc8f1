#include "control/directory_service.hpp"

#include <utility>

#include "configuration/editing.hpp"
#include "control/directory.hpp"
#include "net/http.hpp"
#include "net/server.hpp"

namespace beechpoint::control {
namespace {

constexpr const char* kJson = "application/json";
constexpr Millis kComeBackAfter = 500;

}  // namespace

DirectoryService::DirectoryService(const Clock& clock, Gateways gateways, double ttlSeconds)
    : clock_(clock), gateways_(std::move(gateways)), ttlSeconds_(ttlSeconds) {}

DirectoryService::~DirectoryService() = default;

void DirectoryService::handle(const net::HttpMessage& message,
                              const std::shared_ptr<net::HttpConnection>& connection) {
    if (message.method != "GET") {
        const Error error{ErrorKind::invalid, "method", "only GET is taken here", "use GET /resolve"};
        return connection->respond(405, kJson, configuration::renderError(error));
    }
    Waiting client;
    client.zone = queryValue(message.query(), "zone");
    client.region = queryValue(message.query(), "region");
    client.connection = connection;
    client.deadline = clock_.now() + kResolveWait;
    if (answer(client, gateways_())) return;
    if (draining_ || waiting_.size() >= kMaxPendingClients) return refuse(client);
    waiting_.push_back(std::move(client));
}

void DirectoryService::answerPending() {
    if (waiting_.empty()) return;
    const auto gateways = gateways_();
    const Millis now = clock_.now();
    for (auto next = waiting_.begin(); next != waiting_.end();) {
        const auto client = next++;
        const bool answered = !client->connection->waiting() || answer(*client, gateways);
        if (!answered && !draining_ && now < client->deadline) continue;
        if (!answered) refuse(*client);
        waiting_.erase(client);
    }
}

void DirectoryService::drain() {
    draining_ = true;
    answerPending();
}

bool DirectoryService::answer(const Waiting& client, const std::vector<leases::Gateway>& gateways) const {
    const auto addresses = resolve(gateways, client.zone, client.region);
    if (addresses.empty()) return false;
    client.connection->respond(200, kJson, renderResolved(addresses, ttlSeconds_));
    return true;
}

void DirectoryService::refuse(const Waiting& client) const {
    const Error error{ErrorKind::unavailable, "", "no ready gateway is known here",
                      "ask again, here or at another member"};
    client.connection->respond(503, kJson, configuration::renderError(error),
                               net::retryAfterHeader(kComeBackAfter));
}

}  // namespace beechpoint::control
