/// The gateway role: an edge proxy that relays clients' requests to hosts. Owns its parts and wires them on one Asio loop;
/// all of it is called from that loop's thread only. It decides nothing but its own life cycle:
///
///   state      event                                     next
///   starting   table and host list known                 ready
///   ready      SIGTERM (stop())                          draining
///   draining   no request left, or grace time nearly up  shut down
///
/// What happens when while it drains is decided by DrainTimeline, which host a request goes to by dispatch::Dispatcher.
///
/// A gateway is ready once it has a configuration and a host list, and stays so when control is unreachable: it goes on with
/// the last of both, and polls the platform's host list by itself, slowly.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/logger.hpp"
#include "directory/directory_service.hpp"
#include "gateway/control_link.hpp"
#include "gateway/drain_timeline.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/host_list_copy.hpp"
#include "gateway/load_sharing.hpp"
#include "gateway/request_exchange.hpp"
#include "gateway/table_transfer.hpp"
#include "gateway/usage_reporter.hpp"
#include "host_discovery/poller.hpp"
#include "net/server.hpp"
#include "routing/table_copy.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::gateway {

class Gateway {
public:
    /// `io`, `clock` and `log` must outlive it.
    Gateway(asio::io_context& io, settings::ProcessSettings settings, const Policy& policy,
            const Clock& clock, Logger& log);

    /// Listens and begins to poll control. Throws where it can't listen.
    void start();
    /// New settings; only the seed nodes may differ while it runs.
    void reload(const settings::ProcessSettings& settings);
    /// Drains; `ended` is called once, inside the grace time.
    void stop(std::function<void()> ended);

    /// Where clients connect.
    [[nodiscard]] asio::ip::tcp::endpoint frontEndpoint() const { return front_.endpoint(); }
    [[nodiscard]] asio::ip::tcp::endpoint directoryEndpoint() const { return directoryServer_.endpoint(); }
    [[nodiscard]] asio::ip::tcp::endpoint readinessEndpoint() const { return readiness_.endpoint(); }
    /// Whether clients may be sent here.
    [[nodiscard]] bool ready() const;

private:
    void configureFront();
    void boundMemory();
    void answerReadiness(const net::HttpMessage& message,
                         const std::shared_ptr<net::HttpConnection>& client) const;
    std::string metrics() const;

    control::PollRequest pollRequest() const;
    void onPollReply(const control::PollReply& reply);
    void updateTable(const TableUpdate& update);
    void updateDirectory(const control::PollReply& reply);
    void updateLiveGateways(const control::PollReply& reply);
    void updateHosts();
    std::vector<leases::Gateway> knownGateways() const;
    leases::Gateway self() const;

    Millis lastControlContact() const;
    void checkControlContact();
    void checkPeriodically();
    void checkDrain();
    void checkAfter(Millis delay);
    void shutDown();

    settings::ProcessSettings settings_;
    const Clock& clock_;
    Logger& log_;
    std::uint64_t session_;
    bool sharesLoad_;
    routing::TableCopy table_;
    TableTransfer transfer_;  // of a large table that comes in chunks
    HostListCopy hosts_;
    RequestExchange exchange_;
    LoadSharing load_;
    UsageReporter usage_;
    ControlLink control_;
    host_discovery::Poller platform_;  // runs only while control is unreachable
    directory::DirectoryService directory_;
    ListenerLimits listenerLimits_;
    net::ConnectionBudget memory_;  // of all clients
    net::HttpServer front_, readiness_, directoryServer_;
    asio::steady_timer timer_;
    std::vector<leases::Gateway> gateways_;  // of control's last reply that had them
    std::uint64_t directoryDigest_ = 0;      // of those
    std::uint32_t liveGateways_ = 0;         // 0: not known
    Millis liveGatewaysAt_ = 0;              // when that number was last reported
    Millis startedAt_ = 0;
    DrainTimeline drain_;
    std::function<void()> ended_;
};

}  // namespace beechpoint::gateway
