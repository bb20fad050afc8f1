/// Drives a ListReader: makes its calls to the platform on the Asio loop and reports their results. Idle until started. Called from
/// the loop's thread only.
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
        std::string address;  ///< of the platform, IP:PORT
        ListReader::Settings reader;
    };
    /// After each complete reading: the list and when it was read or confirmed; `changed` where it is a new one.
    using OnReading =
        std::function<void(const std::shared_ptr<const HostList>& list, Millis confirmedAt, bool changed)>;

    /// `readerId` names this process among readers under one fencing token. `io`, `clock` and `logger` must outlive it. The callback may start and stop the poller.
    Poller(asio::io_context& io, const Clock& clock, Logger& logger, Settings settings, std::uint64_t seed,
           std::uint64_t readerId, OnReading onReading);
    ~Poller();
    Poller(const Poller&) = delete;
    Poller& operator=(const Poller&) = delete;

    /// See ListReader. Starting anew while it runs under the same fencing token changes nothing.
    void start(std::uint64_t fencingToken, std::uint64_t lastNumber, std::shared_ptr<const HostList> known);
    void stop();
    [[nodiscard]] bool running() const;
    void raiseNumber(std::uint64_t number);
    /// Since the last complete reading.
    [[nodiscard]] int failures() const;
    /// Made so far; the platform's calls are priced.
    [[nodiscard]] std::uint64_t calls() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::host_discovery
