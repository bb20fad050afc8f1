#include "gateway_watch.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace beechpoint::system_test {
namespace {

constexpr auto kLookEvery = std::chrono::milliseconds(100);
constexpr Millis kLookMost = 1'000;

}  // namespace

double figureIn(const std::string& metrics, const std::string& name) {
    const auto at = metrics.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::strtod(metrics.c_str() + at + name.size() + 2, nullptr);
}

GatewayWatch::GatewayWatch(const System& system) : timer_(io_) {
    for (const std::string& address : system.gatewayMetrics()) places_[address] = {0, 0};
    thread_ = std::thread([this] {
        look();
        io_.run();
    });
}

GatewayWatch::~GatewayWatch() { end(); }

GatewayWatch::Seen GatewayWatch::end() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
    return seen_;
}

void GatewayWatch::look() {
    for (const auto& [address, place] : places_) lookAt(address);
    timer_.expires_after(kLookEvery);
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) look();
    });
}

void GatewayWatch::lookAt(const std::string& metricsAddress) {
    HttpCall call;
    call.address = metricsAddress;
    call.target = "/metrics";
    call.most = kLookMost;
    const HttpAnswer answer = exchange(call);
    if (answer.status != 200) return;
    const Place place{figureIn(answer.body, "beechpoint_gateway_position_epoch"),
                      figureIn(answer.body, "beechpoint_gateway_position_sequence")};
    ++seen_.looks;
    if (place < places_[metricsAddress]) ++seen_.backwards;
    places_[metricsAddress] = std::max(place, places_[metricsAddress]);
}

}  // namespace beechpoint::system_test
