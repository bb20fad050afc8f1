#include "scale/platform_process.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <charconv>
#include <csignal>
#include <string>

#include "core/logger.hpp"
#include "net/server.hpp"

namespace beechpoint::scale {
namespace {

constexpr std::size_t kHostsPerPage = 50;
constexpr std::size_t kZones = 26;
constexpr std::size_t kServices = 20;
constexpr std::size_t kCallers = 64;
constexpr std::string_view kTokenPrefix = "page_token=p-";

std::string entryOf(std::size_t host, bool draining) {
    return fmt::format(
        R"({{"instance_id":"i-{:08x}","backend":"model-{:02}","address":"10.{}.{}.{}:8080","zone":"zone-{:02}",)"
        R"("revision":"v1","capacity":64,"state":"{}","warmup_left_ms":0,"phase":"both",)"
        R"("models":[{{"name":"m-{:02}","revision":1,"adapters":[]}}]}})",
        host * 2654435761u % 4294967291u, host % kServices, host / 65536, host / 256 % 256, host % 256,
        host % kZones, draining ? "draining" : "serving", host % kServices);
}

std::size_t firstOf(std::string_view query) {
    const auto at = query.find(kTokenPrefix);
    std::size_t first = 0;
    if (at == std::string_view::npos) return first;
    const std::string_view digits = query.substr(at + kTokenPrefix.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), first);
    return first;
}

std::string pageOf(std::size_t first, std::size_t hosts, std::size_t draining) {
    const std::size_t end = std::min(hosts, first + kHostsPerPage);
    std::string page = R"({"instances":[)";
    for (std::size_t host = first; host < end; host++) {
        if (host != first) page += ',';
        page += entryOf(host, host < draining);
    }
    page +=
        end < hosts ? fmt::format(R"(],"next_page_token":"p-{}"}})", end) : R"(],"next_page_token":null})";
    return page;
}

// The first answer that could show a change counts as its moment.
void noteChanges(SharedState& shared, std::size_t changes, Millis now) {
    for (std::size_t change = changes; change > 0 && shared.changedAt[change] == 0; change--)
        shared.changedAt[change] = now;
}

}  // namespace

void runPlatform(Cluster& cluster, std::size_t hosts, const Clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    Logger logger(clock, logging::Format::text, -1);
    SharedState& shared = cluster.shared();
    net::HttpServer server(
        io, clock, logger, kCallers, [&](const net::HttpMessage& message, const auto& connection) {
            const std::size_t changes = shared.hostChanges;
            noteChanges(shared, changes, clock.now());
            connection->respond(200, "application/json", pageOf(firstOf(message.query()), hosts, changes));
        });
    server.listen({asio::ip::make_address(memberIp(0)), cluster.ports().platform});
    io.run();
}

}  // namespace beechpoint::scale
