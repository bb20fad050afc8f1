// beechpoint group: what staff ask a running gatherer about its group, by its operators' endpoint.
#include <fmt/format.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "cli/cli.hpp"

namespace beechpoint::cli {

namespace {

using asio::ip::tcp;
using Json = nlohmann::json;

constexpr auto kWait = std::chrono::seconds(10);  // a request that nobody settles ends after 8

struct Reply {
    int status = 0;
    std::string body;
};

// One call on a connection of its own; nothing: nobody answered in time.
std::optional<Reply> call(const tcp::endpoint& endpoint, const std::string& method, const std::string& path) {
    asio::io_context io(1);
    tcp::socket socket(io);
    const std::string request = fmt::format(
        "{} {} HTTP/1.1\r\nHost: beechpoint\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, path);
    std::string in;
    asio::error_code ended = asio::error::would_block;
    socket.async_connect(endpoint, [&](asio::error_code error) {
        if (error) return void(ended = error);
        asio::async_write(socket, asio::buffer(request), [&](asio::error_code failed, std::size_t) {
            if (failed) return void(ended = failed);
            asio::async_read(socket, asio::dynamic_buffer(in),
                             [&](asio::error_code last, std::size_t) { ended = last; });
        });
    });
    io.run_for(kWait);
    const auto head = in.find("\r\n\r\n");
    if (ended != asio::error::eof || head == std::string::npos || !in.starts_with("HTTP/1.1 "))
        return std::nullopt;
    Reply reply{0, in.substr(head + 4)};
    std::from_chars(in.data() + 9, in.data() + 12, reply.status);
    return reply;
}

std::string age(const Json& ms) {
    return ms.is_number() ? fmt::format("{:.1f} s ago", ms.get<double>() / 1000) : std::string("-");
}

void print(const Json& j) {
    if (j.value("role", "") == "waiting") {
        std::cout
            << "another process of this gatherer is the member; this one joins once that one has gone\n";
        return;
    }
    std::cout << fmt::format("group {} number {}: this is {}, {} in term {}\n",
                             j.at("group").get<std::string>(), j.at("number").get<std::uint64_t>(),
                             j.at("self").get<std::string>(), j.at("role").get<std::string>(),
                             j.at("term").get<std::uint64_t>());
    const auto leader = j.at("leader").get<std::string>();
    std::cout << (leader.empty()
                      ? std::string("leader: none known\n")
                      : fmt::format("leader: {}, heard {}\n", leader, age(j.at("leaderHeardMsAgo"))));
    std::cout << fmt::format("settled up to entry {}, digest {}; folder: {}\n\n",
                             j.at("entry").get<std::uint64_t>(), j.at("digest").get<std::string>(),
                             j.at("folder").get<std::string>());
    std::cout << fmt::format("{:<20} {:<9} {:<6} {:<12} {}\n", "member", "presence", "voter", "heard",
                             "session");
    for (const Json& m : j.at("members"))
        std::cout << fmt::format("{:<20} {:<9} {:<6} {:<12} {}\n", m.at("name").get<std::string>(),
                                 m.at("presence").get<std::string>(), m.at("voter").get<bool>() ? "yes" : "",
                                 m.at("name") == j.at("self") ? "itself" : age(m.at("heardMsAgo")),
                                 m.at("session").get<std::uint64_t>() != 0 ? "open" : "");
    std::cout << fmt::format("\n{:<24} {:<20} {}\n", "duty", "holder", "fence");
    for (const Json& d : j.at("duties")) {
        const auto name = d.at("name").get<std::string>(), holder = d.at("holder").get<std::string>();
        std::cout << fmt::format(
            "{:<24} {:<20} {}{}\n", name, holder.empty() ? "nobody" : holder,
            d.at("fence").get<std::uint64_t>(),
            j.at("mayAct").contains(name)
                ? fmt::format("  (this one; {:.1f} s left)", j.at("sessionEndsInMs").get<double>() / 1000)
                : "");
    }
}

}  // namespace

int group(const std::vector<std::string>& words, const std::string& endpoint) {
    const auto is = [&](const char* word, std::size_t least, std::size_t most) {
        return !words.empty() && words[0] == word && words.size() >= least && words.size() <= most;
    };
    const bool show = is("show", 1, 1);
    if (!show && !is("found", 2, 2) && !is("take", 2, 2) && !is("give", 2, 3)) {
        std::cerr << "beechpoint: group show | found NUMBER | take DUTY | give DUTY [MEMBER]\n";
        return kUsage;
    }
    const auto at = backend::readEndpoint(endpoint);
    if (!at) {
        std::cerr << "beechpoint: name the operators' door by --door ADDRESS:PORT, NODE_OPERATOR or a "
                     "configuration\n";
        return kUsage;
    }
    const auto reply = show ? call(*at, "GET", "/ops/group")
                            : call(*at, "PUT", fmt::format("/ops/group/{}", fmt::join(words, "/")));
    if (!reply) {
        std::cerr << "beechpoint: nobody answers at " << endpoint << '\n';
        return 1;
    }
    const Json json = show && reply->status == 200 ? Json::parse(reply->body, nullptr, false) : Json();
    if (reply->status != 200 || (show && !json.is_object())) {
        std::cerr << "beechpoint: " << reply->status << ": " << reply->body;
        return 1;
    }
    show ? print(json) : void(std::cout << reply->body);
    return 0;
}

}  // namespace beechpoint::cli
