/// The connections to all hosts: which of them a request is sent on, and when unused ones are closed. What Upstream promises is
/// done here. Private to the module; called from the loop's thread only.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "upstream/connection.hpp"

namespace beechpoint::upstream {

class ConnectionPool : public ConnectionOwner, public std::enable_shared_from_this<ConnectionPool> {
public:
    enum class OnClose {
        reportExchanges,  ///< open exchanges end with `cancelled`
        dropExchanges,    ///< no handler is called
    };

    /// `io` and `clock` must outlive it.
    ConnectionPool(asio::io_context& io, const Clock& clock, UpstreamSettings settings);
    virtual ~ConnectionPool() = default;

    // As those of Upstream.
    Handle send(const HostAddress& host, std::size_t maxConnections, Request request, Millis timeout,
                Handlers handlers);
    void cancel(Handle handle);
    void pauseReading(Handle handle);
    void resumeReading(Handle handle);
    [[nodiscard]] bool sent(Handle handle) const;
    void closeUnusedExceptTo(const std::vector<HostAddress>& hosts);
    void drop(const HostAddress& host);
    void closeAll(OnClose onClose);
    [[nodiscard]] std::size_t connections(const HostAddress& host) const;
    [[nodiscard]] std::size_t unused(const HostAddress& host) const;
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t exchanges() const { return exchanges_.size(); }
    [[nodiscard]] const UpstreamCounts& counts() const { return counts_; }

    void onExchangeOver(const ExchangePtr& exchange) override { exchanges_.erase(exchange->handle); }
    void onUnused(const ConnectionPtr& connection) override;
    void onClosed(const ConnectionPtr& connection) override;

private:
    // The connections to one host. Erased with its last connection.
    struct HostConnections {
        std::set<ConnectionPtr> all;
        std::vector<ConnectionPtr> unused;  // the one used last at the back
        std::size_t maxConnections = 0;     // as of the last send()
        bool dropped = false;               // connections end with their exchange
        Millis usedAt = 0;

        bool busy() const { return unused.size() < all.size(); }
    };

    ConnectionPtr takeUnused(const HostAddress& host, std::string_view attemptId);
    bool mayDial(const HostAddress& host, std::size_t maxConnections);
    void dial(const HostAddress& host, std::size_t maxConnections, const ExchangePtr& exchange);
    void reject(const ExchangePtr& exchange);
    void closeLongestUnused(const HostAddress& host);
    void closeUnused(const HostAddress& host);
    void evictHosts();

    asio::io_context& io_;
    const Clock& clock_;
    UpstreamSettings settings_;
    UpstreamCounts counts_;
    Handle lastHandle_ = 0;
    std::map<HostAddress, HostConnections> hosts_;
    std::unordered_map<Handle, ConnectionPtr> exchanges_;  // null: its rejection is on its way
};

}  // namespace beechpoint::upstream
