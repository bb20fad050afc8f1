#include "number_watch.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "exchange.hpp"
#include "gateway_watch.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kReadMost = 500;

}  // namespace

NumberWatch::NumberWatch(const System& system) : metrics_(system.gatewayMetrics()) {
    for (const std::size_t member : system.founders()) controls_.push_back(system.directControl(member));
    thread_ = std::thread([this] {
        while (!ends_) look();
    });
}

NumberWatch::~NumberWatch() { end(); }

NumberWatch::Seen NumberWatch::end() {
    ends_ = true;
    if (thread_.joinable()) thread_.join();
    return seen_;
}

void NumberWatch::look() {
    for (const std::string& control : controls_) readRevision(control);
    for (std::size_t gateway = 0; gateway < metrics_.size(); ++gateway) readPosition(gateway);
}

// Each read begins after the one before it has ended.
void NumberWatch::readRevision(const std::string& control) {
    HttpCall call;
    call.address = control;
    call.target = "/configuration";
    call.most = kReadMost;
    const HttpAnswer answer = exchange(call);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object()) return;
    const std::uint64_t revision = body.value("revision", std::uint64_t{0});
    ++seen_.revisions;
    if (revision < revision_)
        seen_.findings.push_back(fmt::format("revision {} after {} from {}", revision, revision_, control));
    revision_ = std::max(revision, revision_);
}

void NumberWatch::readPosition(std::size_t gateway) {
    const unsigned life = lives_[gateway];
    HttpCall call;
    call.address = metrics_[gateway];
    call.target = "/metrics";
    call.most = kReadMost;
    const HttpAnswer answer = exchange(call);
    if (answer.status != 200 || lives_[gateway] != life) return;
    const Place place{figureIn(answer.body, "beechpoint_gateway_position_epoch"),
                      figureIn(answer.body, "beechpoint_gateway_position_sequence")};
    auto& [knownLife, known] = places_[gateway];
    ++seen_.positions;
    if (knownLife == life && place < known)
        seen_.findings.push_back(fmt::format("position {}/{} after {}/{} at edge-{}", place.first,
                                             place.second, known.first, known.second, gateway + 1));
    known = knownLife == life ? std::max(place, known) : place;
    knownLife = life;
}

}  // namespace beechpoint::system_test
