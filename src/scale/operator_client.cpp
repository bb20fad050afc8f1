#include "scale/operator_client.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <thread>

#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::scale {
namespace {

constexpr int kRedirects = 2;
constexpr int kSocketTimeoutS = 5;
constexpr auto kPause = std::chrono::milliseconds(50);
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMostBody = 16 * 1024 * 1024;

struct Answer {
    int status = 0;  // 0: none came
    std::string location;
};

std::string routeText(std::size_t route, std::size_t services, std::size_t timeoutMs) {
    return fmt::format(
        R"({{"name":"tenant-{0:05}","hostname":"serving.example","path_prefix":"/tenant-{0:05}/","type":"streaming",)"
        R"("timeout_ms":{1},"target_latency_ms":500,"priority_class":{2},"backend":"model-{3:02}","max_attempts":2,)"
        R"("resumable":true,"gap_aim_ms":400{4}}})",
        route, timeoutMs, route % 3, route % services,
        route % 10 == 0 ? R"(,"allowed_regions":["region-1","region-2"])" : "");
}

void limitWaits(asio::ip::tcp::socket& socket) {
    const timeval most{kSocketTimeoutS, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
}

Answer readAnswer(asio::ip::tcp::socket& socket) {
    net::Buffer buffer;
    net::HttpReader reader(net::HttpReader::Kind::response, buffer, {}, kMostBody);
    asio::error_code error;
    while (reader.parse() == net::HttpReader::State::more) {
        // Plain recv: a blocking read of Asio would wait on past the time-out of the socket.
        const auto room = buffer.prepare(kReadBytes);
        const ssize_t got = ::recv(socket.native_handle(), room.data(), room.size(), 0);
        if (got <= 0) return {};
        buffer.commit(static_cast<std::size_t>(got));
    }
    const net::HttpMessage message = reader.message();
    return {message.status, std::string(message.header("location"))};
}

Answer callOnce(const std::string& address, const std::string& head, const std::string& body) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    asio::error_code error;
    const auto colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    socket.connect({asio::ip::make_address(address.substr(0, colon)), port}, error);
    if (error) return {};
    limitWaits(socket);
    asio::write(socket, asio::buffer(head + body), error);
    return error ? Answer{} : readAnswer(socket);
}

// The address of a Location header.
std::string addressOf(const std::string& location) {
    const std::string prefix = "http://";
    if (!location.starts_with(prefix)) return {};
    return location.substr(prefix.size(), location.find('/', prefix.size()) - prefix.size());
}

}  // namespace

std::string firstConfiguration(std::size_t routes, std::size_t services) {
    std::string text = R"({"revision":1,"limits":{},"services":[)";
    for (std::size_t service = 0; service < services; service++)
        text +=
            fmt::format(R"({}{{"name":"model-{:02}","health_check_path":"/health","max_connections":370}})",
                        service == 0 ? "" : ",", service);
    text += R"(],"routes":[)";
    for (std::size_t route = 0; route < routes; route++) {
        if (route != 0) text += ',';
        text += routeText(route, services, 15000);
    }
    return text + "]}";
}

std::string changeOfOneRoute(std::size_t revision, std::size_t route, std::size_t services) {
    return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", revision,
                       routeText(route, services, 15000 + revision));
}

OperatorClient::OperatorClient(std::vector<std::string> addresses, const Clock& clock)
    : addresses_(std::move(addresses)), clock_(clock) {}

Millis OperatorClient::put(std::size_t basedOn, const std::string& body, Millis most) {
    return send("PUT", basedOn, body, most);
}

Millis OperatorClient::patch(std::size_t basedOn, const std::string& body, Millis most) {
    return send("PATCH", basedOn, body, most);
}

Millis OperatorClient::send(const std::string& method, std::size_t basedOn, const std::string& body,
                            Millis most) {
    const Millis end = clock_.now() + most;
    while (clock_.now() < end) {
        std::string address = addresses_[turn_ % addresses_.size()];
        Answer answer;
        for (int hop = 0; hop <= kRedirects && !address.empty(); hop++) {
            const std::string head = fmt::format(
                "{} /configuration HTTP/1.1\r\nHost: {}\r\nIf-Match: {}\r\nContent-Length: {}\r\n\r\n",
                method, address, basedOn, body.size());
            answer = callOnce(address, head, body);
            if (answer.status != 307) break;
            address = addressOf(answer.location);
        }
        if (answer.status == 200) return clock_.now();
        turn_++;
        std::this_thread::sleep_for(kPause);
    }
    return 0;
}

}  // namespace beechpoint::scale
