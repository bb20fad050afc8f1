#include "emulator/try_out.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "backend/frame.hpp"
#include "emulator/real_process.hpp"
#include "emulator/real_stage.hpp"

namespace beechpoint::emulator {

namespace {

using asio::ip::tcp;
using Json = nlohmann::json;

constexpr int kTryGatherers = 3, kTryHosts = 4;

// One connection of a gatherer to a stand-in: each part is answered at once with a value that tells who gave it.
class HostConnection : public std::enable_shared_from_this<HostConnection> {
public:
    HostConnection(tcp::socket socket, std::string name)
        : socket_(std::move(socket)), name_(std::move(name)) {}
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](asio::error_code error, std::size_t n) {
                                    if (error) return;
                                    self->in_.append(self->buffer_.data(), n);
                                    self->answer();
                                });
    }

private:
    void answer() {
        std::string out;
        backend::Frame frame;
        while (backend::readFrame(in_, frame) == backend::FrameState::complete) {
            if (frame.letter == 'H') backend::writeFrame(out, 'H', "done");
            if (frame.letter == 'M') backend::writeFrame(out, 'M', "-");
            const auto parts = frame.letter == 'S' ? backend::readParts(frame.rest) : std::nullopt;
            for (const backend::PartCall& p : parts.value_or(std::vector<backend::PartCall>()))
                backend::writeFrame(out, 'R', fmt::format("{} done 1 -\n{}-slice-{}", p.id, name_, p.slice));
            in_.erase(0, frame.size);
        }
        const auto text = std::make_shared<std::string>(std::move(out));
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](asio::error_code error, std::size_t) {
                              if (!error) self->read();
                          });
    }
    tcp::socket socket_;
    std::string name_, in_;
    std::array<char, 4096> buffer_{};
};
class Host {
public:
    Host(asio::io_context& io, std::string name)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), name_(std::move(name)) {
        accept();
    }
    int port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept() {
        acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) return;
            std::make_shared<HostConnection>(std::move(socket), name_)->read();
            accept();
        });
    }
    tcp::acceptor acceptor_;
    std::string name_;
};

int freeUdpPort(asio::io_context& io) {
    return asio::ip::udp::socket(io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0))
        .local_endpoint()
        .port();
}
// Ports that gatherers are about to listen on. Bound here and not listened on, they are given to nobody who asks for any port
// meanwhile; who names one and asks to share its address, as a gatherer's listeners do, still gets it.
class Reserved {
public:
    explicit Reserved(asio::io_context& io) : io_(io) {}
    int port() {
        tcp::socket& held = held_.emplace_back(io_, tcp::v4());
        held.set_option(asio::socket_base::reuse_address(true));
        held.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return held.local_endpoint().port();
    }

private:
    asio::io_context& io_;
    std::vector<tcp::socket> held_;
};
// One call on a connection of its own; empty: nobody answered.
std::string call(asio::io_context& io, int port, const std::string& request) {
    tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::address_v4::loopback(), static_cast<asio::ip::port_type>(port)}, error);
    if (error) return {};
    asio::write(socket, asio::buffer(request), error);
    std::string in;
    asio::read(socket, asio::dynamic_buffer(in), error);
    return in;
}
std::string simple(const std::string& method, const std::string& path, const std::string& more = "",
                   const std::string& body = "") {
    return fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n{}",
                       method, path, more, body.size(), body);
}

}  // namespace

int tryOut(const std::string& program, const std::string& folder, bool stay) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1), calls(1);
    std::vector<std::unique_ptr<Host>> hosts;
    Json instances = Json::array();
    for (int h = 0; h < kTryHosts; ++h) {
        hosts.push_back(std::make_unique<Host>(io, fmt::format("host-{}", h)));
        instances.push_back({{"instanceId", fmt::format("host-{}", h)},
                             {"hostPort", fmt::format("127.0.0.1:{}", hosts.back()->port())},
                             {"zone", "a"},
                             {"machineType", "m"},
                             {"cell", h % 2},
                             {"lifecycle", "Ready"},
                             {"weight", 1.0},
                             {"startedAtMs", 0}});
    }
    std::thread standIns([&] { io.run(); });
    const auto ending = [&](int*) {
        io.stop();
        standIns.join();
    };
    int unused = 0;
    const std::unique_ptr<int, decltype(ending)> atEnd(&unused, ending);

    Json members, singletonRoles = {"looker-on", "planner"};
    for (int g = 0; g < kTryGatherers; ++g)
        members[fmt::format("g{}", g)] = fmt::format("127.0.0.1:{}", freeUdpPort(calls));
    Reserved reserved(calls);
    std::vector<int> front, operators;
    std::vector<std::unique_ptr<RealProcess>> gatherers;
    for (int g = 0; g < kTryGatherers; ++g) {
        const std::string name = fmt::format("g{}", g), base = folder + "/" + name;
        std::filesystem::create_directories(base);
        front.push_back(reserved.port()), operators.push_back(reserved.port());
        const Json config = {
            {"name", name},
            {"listen", fmt::format("127.0.0.1:{}", front.back())},
            {"operator", fmt::format("127.0.0.1:{}", operators.back())},
            {"discovery", "127.0.0.1:9"},
            {"seed", "1"},
            {"peers", Json::object()},
            {"limits", {{"sockets", 256}}},
            {"known", {{"generation", 1}, {"reset", true}, {"instances", instances}}},
            {"settings",
             {{"classes",
               {{{"name", "lookup"}, {"promise", 1000000000}, {"deadline", 2000000000}, {"effect", "safe"}}}},
              {"familyInfo", {{"shards", 4}, {"cells", 2}, {"span", 2}, {"bundleMax", 1}}},
              {"permissions", {{"maxAttempts", 3}, {"peerMessages", true}}},
              {"rules", Json::object()}}}};
        const Json operators = {{"group",
                                 {{"listen", members[name]},
                                  {"members", members},
                                  {"voters", {"g0", "g1", "g2"}},
                                  {"duties", singletonRoles}}}};
        std::ofstream(base + "/config.json") << config.dump(1);
        std::ofstream(base + "/operator.json") << operators.dump(1);
        gatherers.push_back(std::make_unique<RealProcess>());
        gatherers.back()->start(program, base + "/config.json", folder + "/" + name + ".log", 256,
                                base + "/operator.json", base);
    }
    // What is asked for until it is so; a look every 50 ms, 10 s at the most.
    const auto until = [&](const char* what, const std::function<bool()>& so) {
        for (int tries = 0; tries < 200; ++tries, ::usleep(50'000))
            if (so()) return;
        throw RunFailed(fmt::format("{} after 10 s; the logs are in {}", what, folder));
    };
    for (int g = 0; g < kTryGatherers; ++g)
        until("a gatherer does not serve",
              [&] { return call(calls, front[g], simple("GET", "/up")).starts_with("HTTP/1.1 200"); });
    until("the group can't be founded", [&] {
        return call(calls, operators[0], simple("PUT", "/ops/group/found/1")).starts_with("HTTP/1.1 200");
    });
    until("the duties have no holders", [&] {
        const std::string shown = call(calls, operators[0], simple("GET", "/ops/group"));
        const auto body = shown.find("\r\n\r\n");
        const Json j =
            body == std::string::npos ? Json() : Json::parse(shown.substr(body + 4), nullptr, false);
        if (!j.is_object() || !j.contains("duties") || j["duties"].size() != singletonRoles.size())
            return false;
        for (const Json& d : j["duties"])
            if (d["holder"] == "") return false;
        return true;
    });
    std::cout << fmt::format(
        "Three gatherers and {} stand-in track hosts run on loopback. A query to g0:\n\n", kTryHosts);
    const std::string query =
        R"({"targets":[{"partition":0,"share":0.5},{"partition":3,"share":0.5}],"query":"hello"})";
    const std::string answer =
        call(calls, front[0],
             simple("POST", "/lookup/42",
                    "X-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: lookup\r\nX-Expires-In-Ms: 1500\r\n", query));
    const auto body = answer.find("\r\n\r\n");
    std::cout << "  " << (body == std::string::npos ? "no answer" : answer.substr(body + 4)) << "\n\n"
              << std::flush;
    const std::string show = fmt::format("{} group show --door 127.0.0.1:{}", program, operators[0]);
    const int shown = std::system(show.c_str());
    std::cout << fmt::format(
        "\nTry next, in another terminal:\n  kill -9 {}    (g1), then look again; or kill -STOP and kill "
        "-CONT\n",
        gatherers[1]->pid());
    for (int g = 0; g < kTryGatherers; ++g)
        std::cout << fmt::format("  {} group show --door 127.0.0.1:{}    (g{})\n", program, operators[g], g);
    std::cout << fmt::format("  {} group give looker-on --door 127.0.0.1:{}\nlogs: {}\n", program,
                             operators[0], folder)
              << std::flush;
    if (stay) {
        std::cout << "Press Enter to end all of it.\n" << std::flush;
        pollfd in{STDIN_FILENO, POLLIN, 0};
        while (::poll(&in, 1, 1000) == 0) {
        }
    }
    return body != std::string::npos && answer.starts_with("HTTP/1.1 200") && shown == 0 ? 0 : 1;
}

}  // namespace beechpoint::emulator
