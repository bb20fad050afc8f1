/// The HostListSource of the program: host_discovery::Poller, on the I/O loop that it is made with.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "control/host_list_source.hpp"
#include "host_discovery/poller.hpp"

namespace beechpoint::control {

class PolledHostList final : public HostListSource {
public:
    /// References must outlive it.
    /// @param seed of the poller's random draws, also its reader id; differs at each start of the process
    /// @param onReading called on the loop after each complete reading
    PolledHostList(asio::io_context& io, const Clock& clock, Logger& logger,
                   host_discovery::Poller::Settings settings, std::uint64_t seed,
                   host_discovery::Poller::OnReading onReading)
        : poller_(io, clock, logger, std::move(settings), seed, seed, std::move(onReading)) {}

    void start(std::uint64_t fencingToken, std::uint64_t lastNumber,
               std::shared_ptr<const host_discovery::HostList> held) override {
        poller_.start(fencingToken, lastNumber, std::move(held));
    }
    void stop() override { poller_.stop(); }
    [[nodiscard]] bool running() const override { return poller_.running(); }
    [[nodiscard]] int failures() const override { return poller_.failures(); }
    void raiseNumber(std::uint64_t number) override { poller_.raiseNumber(number); }

private:
    host_discovery::Poller poller_;
};

}  // namespace beechpoint::control
