// What the system finds around it: the platform, which lists the hosts and keeps a book of the duties' calls, and the hosts, which
// answer every request and record it.
//
//   path of a request | what a host does
//   /once/...         | works for kWorkTime, then answers
//   /stream/...       | answers in pieces, kPieceTime apart
//   /large/...        | answers kLargeAnswer bytes in pieces, as they are taken
//   /events/...       | answers in events, kEventTime apart, behind Last-Event-Id; by draw spoiled (event_script.hpp)
//   any other         | answers at once
#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "background.hpp"
#include "core/clock.hpp"
#include "core/logger.hpp"
#include "event_script.hpp"
#include "net/server.hpp"

namespace beechpoint::system_test {

inline constexpr auto kWorkTime = std::chrono::milliseconds(30);
inline constexpr auto kPieceTime = std::chrono::milliseconds(50);
inline constexpr auto kEventTime = std::chrono::milliseconds(10);
inline constexpr std::size_t kLargePiece = 64 * 1024;         // bytes
inline constexpr std::size_t kLargeAnswer = 8 * 1024 * 1024;  // bytes
inline constexpr std::size_t kMostBody = 8 * 1024 * 1024;     // that a host takes, in bytes
inline constexpr const char* kPlainAnswer = "done";
inline constexpr const char* kStreamedAnswer = "begin;middle;end";
// Every key of the tests contains this, so that a host can tell when one has come through.
inline constexpr const char* kKeyMark = "soak-key-";

// One POST to the platform. Times are in milliseconds since 1970.
struct DutyCall {
    Millis at = 0;
    std::string subject;  // the path; of an order, with its service and zone
    std::string holder;
    std::uint64_t token = 0;
    std::string body;
    int answer = 0;         // 0: the connection was reset
    bool accepted = false;  // also where the answer was lost
};

// A request that a host ran.
struct HostRun {
    Millis at = 0;
    std::string id;
    std::string tenant;  // X-Tenant-Name; empty: none
    std::string path;
    bool keySeen = false;  // an Authorization header, or a key in any header
    bool spoiled = false;  // its answer was
};

// What befalls the duties' calls, each with a probability of its own.
struct PlatformTroubles {
    double refused = 0;  // 429
    double lost = 0;     // taken, and the answer lost
    double slow = 0;     // answered after kSlowTime
    static constexpr auto kSlowTime = std::chrono::milliseconds(800);
};

// The instance id of a host of streams (stream_host.hpp).
std::string streamHostName(std::size_t host);

class Surroundings {
public:
    // `streamHosts` are listed, as hosts of the service s2, and served by others.
    Surroundings(Background& background, const asio::ip::tcp::endpoint& platform,
                 const std::vector<asio::ip::tcp::endpoint>& hosts,
                 const std::vector<asio::ip::tcp::endpoint>& streamHosts = {});
    ~Surroundings();  // after the loop has stopped

    void trouble(const PlatformTroubles& troubles, std::uint64_t seed);
    // The share of streams of events that are spoiled from now on.
    void spoilStreams(double probability);
    std::vector<DutyCall> dutyCalls();
    std::vector<HostRun> runs();

private:
    using Connection = std::shared_ptr<net::HttpConnection>;
    void onPlatformCall(const net::HttpMessage& message, const Connection& connection);
    void onDutyCall(const net::HttpMessage& message, const Connection& connection);
    void onHostRequest(const net::HttpMessage& message, const Connection& connection);
    void streamEvents(HostRun& run, std::uint64_t after, const Connection& connection,
                      const std::string& headers);
    static void streamLarge(std::size_t left, const Connection& connection);
    void later(std::chrono::milliseconds after, std::function<void()> action);
    bool happens(double probability) { return std::bernoulli_distribution(probability)(random_); }
    Millis unixTime() const { return clock_.toUnix(clock_.now()); }

    Background& background_;
    Clock clock_;
    Logger logger_;
    std::string list_;
    PlatformTroubles troubles_;
    double spoiledStreams_ = 0;
    std::mt19937_64 random_;
    std::map<std::string, std::uint64_t> highestTokens_;
    std::vector<DutyCall> dutyCalls_;
    std::vector<HostRun> runs_;
    std::unique_ptr<net::HttpServer> platform_;
    std::vector<std::unique_ptr<net::HttpServer>> hosts_;
};

}  // namespace beechpoint::system_test
