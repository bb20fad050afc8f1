// The gateway role: owns its parts and wires them on one Asio loop. It decides nothing but its own life cycle:
//
//   starting --table and hosts known--> ready --SIGTERM--> draining --no request left, or time up--> ended
//
// What happens when while it drains is decided by the DrainTimeline.
//
// A gateway is ready once it has a configuration and a list of hosts, and stays so when control is away: it goes on with what
// it holds, and reads the platform's list by itself, slowly.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "control/directory_service.hpp"
#include "core/logger.hpp"
#include "gateway/control_link.hpp"
#include "gateway/drain_timeline.hpp"
#include "gateway/host_list_copy.hpp"
#include "gateway/load_sharing.hpp"
#include "gateway/request_exchange.hpp"
#include "host_discovery/poller.hpp"
#include "net/server.hpp"
#include "routing/table_copy.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::gateway {

// What an operator may set of the decisions beside the settings file.
struct Policy {
    dispatch::Mechanisms mechanisms;
    dispatch::Prices prices;
};

class Gateway {
public:
    // Throws where it can't listen.
    Gateway(asio::io_context& io, settings::ProcessSettings settings, const Policy& policy,
            const Clock& clock, Logger& log);
    void start();
    // New settings; only the seeds may differ while it runs.
    void reload(const settings::ProcessSettings& settings);
    // Drains; `ended` is called once, inside the grace time.
    void stop(std::function<void()> ended);
    // Where clients connect.
    asio::ip::tcp::endpoint frontEndpoint() const { return front_.endpoint(); }
    asio::ip::tcp::endpoint directoryEndpoint() const { return directoryServer_.endpoint(); }
    asio::ip::tcp::endpoint readinessEndpoint() const { return readiness_.endpoint(); }
    bool ready() const;

private:
    control::PollRequest pollRequest() const;
    std::string metrics() const;
    void onPollReply(const control::PollReply& reply, Millis sentAt);
    void takeTable(const TableUpdate& update);
    void tellHosts();
    void tellServices();
    std::vector<leases::Gateway> knownGateways() const;
    leases::Gateway self() const;
    void look();
    void lookAfter(Millis pause);
    void lookWhileStopping();

    asio::io_context& io_;
    settings::ProcessSettings settings_;
    const Clock& clock_;
    Logger& log_;
    std::uint64_t session_;
    bool sharesLoad_;
    routing::TableCopy table_;
    HostListCopy hosts_;
    RequestExchange exchange_;
    LoadSharing load_;
    ControlLink control_;
    host_discovery::Poller platform_;
    control::DirectoryService directory_;
    net::HttpServer front_, readiness_, directoryServer_;
    asio::steady_timer timer_;
    std::vector<leases::Gateway> gateways_;  // as control told last
    std::uint64_t directoryDigest_ = 0;      // of those
    std::uint32_t liveGateways_ = 0;         // 0: not known
    Millis liveKnownAt_ = 0;
    Millis startedAt_ = 0;
    DrainTimeline drain_;
    std::function<void()> ended_;
};

}  // namespace beechpoint::gateway
