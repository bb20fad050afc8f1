#include "exchange.hpp"

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>

#include "upstream/upstream.hpp"

namespace beechpoint::system_test {
namespace {

constexpr const char* kClientHost = "system.example";

upstream::Request requestOf(const HttpCall& call) {
    upstream::Request request;
    request.method = call.method;
    request.target = call.target;
    request.headers.push_back({"Host", call.attemptId.empty() ? call.address : kClientHost});
    if (call.ifMatch) request.headers.push_back({"If-Match", fmt::format("{}", *call.ifMatch)});
    if (!call.body.empty()) request.body = std::make_shared<const std::string>(call.body);
    request.attemptId = call.attemptId;
    request.requireAttemptId = false;
    return request;
}

}  // namespace

HttpAnswer exchange(const HttpCall& call) {
    const auto host = upstream::HostAddress::parse(call.address);
    if (!host) return {};
    Clock clock;
    asio::io_context io(1);
    upstream::Upstream upstream(io, clock);
    HttpAnswer answer;
    const auto end = [&] {
        asio::post(io, [&] {
            upstream.closeAll();
            io.stop();
        });
    };
    upstream::Handlers handlers;
    handlers.onHead = [&](const upstream::AnswerHead& head) {
        answer.status = head.status;
        if (const std::string* location = upstream::findHeader(head.headers, "Location"))
            answer.location = *location;
    };
    handlers.onData = [&](std::string_view bytes) { answer.body += bytes; };
    handlers.onEnd = end;
    handlers.onFailed = [&](const upstream::Failure&) {
        answer = {};
        end();
    };
    upstream.send(host.value(), 1, requestOf(call), call.most, std::move(handlers));
    io.run();
    return answer;
}

}  // namespace beechpoint::system_test
