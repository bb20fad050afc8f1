// The whole system as processes of the program on loopback: control members and gateways, each with a settings file, an address and a
// log of its own, relays in front of the members, and what the system finds around it.
#pragma once

#include <array>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "addresses.hpp"
#include "background.hpp"
#include "emulator/real_process.hpp"
#include "exchange.hpp"
#include "relay.hpp"
#include "socket_owners.hpp"
#include "surroundings.hpp"

namespace beechpoint::system_test {

inline constexpr std::size_t kMostMembers = 9;
inline constexpr std::size_t kMostGateways = 40;
inline constexpr int kUsageWindowS = 1;           // short, so that a short run has many
inline constexpr Millis kUsageLate = 10'000;      // a report is due so long after its window's end
inline constexpr Millis kLease = 3'000;           // of a duty
inline constexpr Millis kConfigApply = 3'000;     // from an acknowledgement
inline constexpr Millis kConditionMost = 20'000;  // for a condition to come true

using Members = std::vector<std::size_t>;

class System {
public:
    struct Shape {
        std::size_t members = 3;  // at the founding
        std::size_t gateways = 2;
        int machinesToLose = 1;
        int zonesToLose = 1;
        std::size_t hosts = 1;            // each in a zone of its own, z1 first
        std::size_t streamHosts = 0;      // of the service s2, listed only: the test serves them
        bool duties = false;              // usage reports, in windows of kUsageWindow
        std::int64_t memoryMb = 256;      // limits of each process
        int openFiles = 1024;             // the kernel holds it to them, too
        bool gatewayDirectories = false;  // gateways answer GET /resolve at Ports::kDirectory
    };

    explicit System(Shape shape);
    ~System();

    // All members with bootstrap, and all gateways. Whether the system came to serve.
    bool found();

    // What processes run that are started from now on; at first the program of this build.
    void useProgram(std::string path) { program_ = std::move(path); }

    // The seeds are members; none: the founders.
    void startMember(std::size_t member, bool bootstrap = false, const Members& seeds = {});
    void startGateway(std::size_t gateway, const Members& seeds = {});
    void killMember(std::size_t member);  // SIGKILL
    void killGateway(std::size_t gateway);
    void signalMember(std::size_t member, int signal);
    void signalGateway(std::size_t gateway, int signal);
    // The status that the process ended with; nothing where it goes on running.
    std::optional<int> awaitEnd(std::size_t member, Millis most = kConditionMost);
    std::optional<int> awaitGatewayEnd(std::size_t gateway, Millis most = kConditionMost);
    // Whether the process has its handlers of SIGTERM and SIGHUP in place: before, either ends it as any other program.
    bool memberHandlesSignals(std::size_t member) const;
    bool gatewayHandlesSignals(std::size_t gateway) const;
    void wipe(std::size_t member);  // its disk; not while it runs
    bool runs(std::size_t member) const { return members_[member].runs(); }
    pid_t memberProcess(std::size_t member) const { return members_[member].pid(); }
    pid_t gatewayProcess(std::size_t gateway) const { return gateways_[gateway].pid(); }

    // Waits by asking again and again, with an end.
    bool await(const std::function<bool()>& condition, Millis most = kConditionMost);
    // Exactly these members form the view, all of them answer polls, and writes are taken.
    bool awaitView(const Members& members, Millis most = kConditionMost);
    bool awaitGateways(std::uint64_t revision, Millis most = kConditionMost);

    // GET /status of the member itself; null where it does not answer.
    nlohmann::json statusOf(std::size_t member) const;
    // What the gateway answers a client of the route that only this revision has; 0: nothing.
    int askGateway(std::size_t gateway, std::uint64_t revision);

    std::string nodeOf(std::size_t member) const;
    std::string gatewayNode(std::size_t gateway) const;
    // Where operators reach a member: through the relay.
    std::string controlAddress(std::size_t member) const;
    std::vector<std::string> controlAddresses(const Members& members) const;
    std::size_t memberAt(const std::string& controlAddress) const;  // kMostMembers: none
    // Past the relay, as who stands beside the member.
    std::string directControl(std::size_t member) const;
    std::string directInternal(std::size_t member) const;
    std::vector<std::string> gatewayMetrics() const;  // addresses
    // Where clients reach a gateway.
    std::string frontAddress(std::size_t gateway) const;
    // Past the relays.
    std::string memberIp(std::size_t member) const { return addresses_.member(member); }
    std::string gatewayIp(std::size_t gateway) const { return addresses_.gateway(gateway); }
    asio::ip::tcp::endpoint streamHost(std::size_t host) const;
    // The members of the view in the order of the chain, as this member knows it.
    Members chainAt(std::size_t member) const;

    Relay& relay() { return relay_; }
    Surroundings& surroundings() { return surroundings_; }
    const Clock& clock() const { return clock_; }
    const Shape& shape() const { return shape_; }
    Members founders() const;
    // The last lines of all processes' logs.
    std::string logs() const;

private:
    std::filesystem::path fileOf(const std::string& node, const char* ending) const;
    std::string commonSettings(const std::string& node, const std::string& ip, const Members& seeds) const;
    std::string limits() const;
    std::string dutyBounds() const;
    std::string dutySettings() const;
    void launch(emulator::RealProcess& process, const std::string& node, const char* role,
                const std::string& settings);
    std::optional<int> awaitEndOf(emulator::RealProcess& process, const std::string& node, Millis most);
    bool inView(std::size_t member, const Members& members) const;

    Shape shape_;
    Clock clock_;
    Addresses addresses_;
    std::filesystem::path folder_;
    SocketOwners owners_;
    Background background_;
    Relay relay_;
    Surroundings surroundings_;
    std::array<emulator::RealProcess, kMostMembers> members_;
    std::array<emulator::RealProcess, kMostGateways> gateways_;
    std::uint64_t asked_ = 0;
    std::string program_;
};

// A path below the route that every configuration has.
inline constexpr const char* kSteadyPath = "/steady/x";

// The whole configuration under a revision, as one operator writes it: a route that only this revision of this author has, and one that all
// have.
std::string configurationText(std::uint64_t revision, const std::string& author = "first");
std::string routePath(std::uint64_t revision, const std::string& author = "first");

}  // namespace beechpoint::system_test
