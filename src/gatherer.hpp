// One gatherer: the core between its fronts and its back, on one loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "admin/ban_file.hpp"
#include "admin/host_bans.hpp"
#include "admin/lifecycle.hpp"
#include "admin/operator_endpoint.hpp"
#include "admin/overlap_record.hpp"
#include "backend/pool.hpp"
#include "cluster/cluster.hpp"
#include "config.hpp"
#include "core/exchange.hpp"
#include "discovery/watch.hpp"
#include "frontend/opensearch.hpp"
#include "frontend/platform.hpp"
#include "net/server.hpp"
#include "snmp/agent.hpp"

namespace beechpoint {

class Gatherer : public admin::Controls, private HostProbes {
public:
    Gatherer(asio::io_context& io, const Config& config, const Clock& clock, Counters& counters, Logger& log);
    void start();  // throws where an address can't be listened on
    // Answers all that it has and takes for a little longer, then calls `done`.
    void stop(std::function<void()> done);
    // Takes from a configuration read anew what may change in service: discovery's address.
    void reload(const Config& fresh);
    asio::ip::tcp::endpoint endpoint() const { return server_.endpoint(); }
    asio::ip::tcp::endpoint searchEndpoint() const { return searchServer_->endpoint(); }
    asio::ip::tcp::endpoint operatorAddress() const { return operatorEndpoint_->endpoint(); }
    asio::ip::udp::endpoint snmpEndpoint() const { return snmp_->endpoint(); }
    Exchange& exchange() { return exchange_; }
    double limitsShare() const { return share_; }  // less than 1 while another process of this gatherer lives
    std::size_t clients() const { return connections(); }

private:
    void wake(Millis at);
    // What operators may ask for.
    bool ready() const override { return lifecycle_.ready(); }
    std::string stats() const override;
    bool drain(bool start) override;
    void trackHost(const std::string& id, bool out, Later later) override;
    std::string group() const override { return group_ ? group_->show() : std::string(); }
    bool foundGroup(std::uint64_t number) override { return group_ && group_->foundGroup(number); }
    void singletonRole(bool take, const std::string& name, const std::string& to,
                       std::function<void(Settled)> later) override;
    bool away(const std::string& server) override { return group_->isTakenAsUnreachable(server); }
    void saw(const std::string& server, bool there) override { group_->recordProbe(server, there); }
    void lifecycleChanged();
    void shareLimits();
    void closeSome();
    void finish();
    void boundMemory();
    std::size_t connections() const;

    const Config& config_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    asio::steady_timer timer_, stopTimer_;
    Exchange exchange_;
    backend::Pool hosts_;
    admin::Lifecycle lifecycle_;
    admin::Overlap overlap_;
    frontend::Platform platform_;
    net::ConnectionBudget memory_;  // of all clients
    net::HttpServer server_;
    std::unique_ptr<frontend::OpenSearch> search_;  // off on the platform
    std::unique_ptr<net::HttpServer> searchServer_;
    std::unique_ptr<snmp::Agent> snmp_;  // off on the platform
    admin::HostBans bans_;
    discovery::Watch watch_;
    std::unique_ptr<admin::BanFile> banFile_;
    std::unique_ptr<admin::OverlapRecord> record_;
    std::unique_ptr<cluster::ClusterMember> group_;              // off on the platform
    std::unique_ptr<admin::OperatorEndpoint> operatorEndpoint_;  // closed where no address is named
    std::function<void()> stopped_;
    double share_ = 1;  // of the limits
    bool closingSome_ = false;
};

}  // namespace beechpoint
