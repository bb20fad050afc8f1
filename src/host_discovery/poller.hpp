// Drives a ListReader: makes its calls to the platform on the Asio loop and tells what comes of them. Idle until started.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/logger.hpp"
#include "host_discovery/list_reader.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::host_discovery {

class Poller {
public:
    struct Settings {
        std::string address;  // of the platform, IP:PORT
        ListReader::Settings reader;
    };
    // After each complete reading: the list and when it was read or confirmed; `changed` where it is a new one.
    using OnReading =
        std::function<void(const std::shared_ptr<const HostList>& list, Millis confirmedAt, bool changed)>;

    // `readerId` names this process among readers of one fence. The callback may start and stop the poller.
    Poller(asio::io_context& io, const Clock& clock, Logger& logger, Settings settings, std::uint64_t seed,
           std::uint64_t readerId, OnReading onReading);
    ~Poller();
    Poller(const Poller&) = delete;
    Poller& operator=(const Poller&) = delete;

    // See ListReader. Starting anew while it runs under the same fence changes nothing.
    void start(std::uint64_t fencingToken, std::uint64_t lastNumber, std::shared_ptr<const HostList> held);
    void stop();
    bool running() const;
    void raiseNumber(std::uint64_t number);
    int failures() const;         // since the last complete reading
    std::uint64_t calls() const;  // made so far; the platform's calls are priced

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::host_discovery
