#include "surroundings.hpp"

#include <fmt/format.h>

namespace beechpoint::system_test {
namespace {

constexpr std::size_t kCallers = 256;

std::string listOf(const asio::ip::tcp::endpoint& host) {
    return fmt::format(
        R"({{"instances":[{{"instance_id":"i-1","backend":"s1","address":"{}:{}","zone":"z1","revision":"v1",)"
        R"("capacity":64,"state":"serving","warmup_left_ms":0}}],"next_page_token":null}})",
        host.address().to_string(), host.port());
}

}  // namespace

Surroundings::Surroundings(Background& background, const asio::ip::tcp::endpoint& platform,
                           const asio::ip::tcp::endpoint& host)
    : logger_(clock_, logging::Format::json, -1) {
    background.run([&] {
        platform_ = std::make_unique<net::HttpServer>(
            background.io(), clock_, logger_, kCallers,
            [list = listOf(host)](const net::HttpMessage&, const auto& connection) {
                connection->respond(200, "application/json", list);
            });
        platform_->listen(platform);
        host_ = std::make_unique<net::HttpServer>(
            background.io(), clock_, logger_, kCallers,
            [](const net::HttpMessage& message, const auto& connection) {
                const std::string headers = fmt::format("X-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n",
                                                        message.header("x-attempt-id"));
                connection->respond(200, "text/plain", "done", headers);
            });
        host_->listen(host);
    });
}

Surroundings::~Surroundings() = default;

}  // namespace beechpoint::system_test
