#include "gateway/health_check_client.hpp"

#include <memory>
#include <utility>

#include "gateway/host_answer.hpp"

namespace beechpoint::gateway {

namespace {

constexpr Millis kTimeout = 800;

void readHead(const upstream::AnswerHead& head, dispatch::HealthCheckEnded& result) {
    const std::string* const instance = upstream::findHeader(head.headers, "X-Instance-Id");
    result.answered = instance && *instance == result.instanceId;
    result.healthy = result.answered && head.status == 200;
    if (result.answered) result.warmupLeft = warmupLeft(head);
}

}  // namespace

HealthCheckClient::HealthCheckClient(upstream::Upstream& upstream, OnEnded onEnded)
    : upstream_(upstream), onEnded_(std::move(onEnded)) {}

void HealthCheckClient::check(const std::string& instanceId, const upstream::HostAddress& host,
                              const std::string& hostHeader, const std::string& path,
                              std::size_t maxConnections) {
    auto result = std::make_shared<dispatch::HealthCheckEnded>();
    result->instanceId = instanceId;
    upstream::Request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", hostHeader}};
    request.requireAttemptId = false;
    upstream::Handlers handlers;
    handlers.onHead = [result](const upstream::AnswerHead& head) { readHead(head, *result); };
    handlers.onEnd = [this, result] { onEnded_(*result); };
    handlers.onFailed = [this, result](const upstream::Failure&) {
        result->healthy = false;
        onEnded_(*result);
    };
    upstream_.send(host, maxConnections, std::move(request), kTimeout, std::move(handlers));
}

}  // namespace beechpoint::gateway
