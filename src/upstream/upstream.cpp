#include "upstream/upstream.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <map>
#include <set>
#include <unordered_map>

#include "upstream/connection.hpp"

namespace beechpoint::upstream {

Result<HostAddress> HostAddress::parse(std::string_view text) {
    constexpr std::uint64_t kMostPort = 65535;
    const auto wrong = [&] {
        return Error{ErrorKind::invalid, std::string(text), "is no numeric ADDRESS:PORT",
                     "write it as 10.0.0.1:8080"};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return wrong();
    std::string_view ip = text.substr(0, colon);
    const auto port = net::decimalNumber(text.substr(colon + 1));
    const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed) ip = ip.substr(1, ip.size() - 2);
    asio::error_code error;
    const auto address = asio::ip::make_address(std::string(ip), error);
    if (error || bracketed != address.is_v6() || !port || *port == 0 || *port > kMostPort) return wrong();
    return HostAddress{address.to_string(), static_cast<std::uint16_t>(*port)};
}

std::string HostAddress::text() const {
    const bool six = ip.find(':') != std::string::npos;
    return fmt::format("{}{}{}:{}", six ? "[" : "", ip, six ? "]" : "", port);
}

std::string_view nameOf(FailureKind kind) {
    switch (kind) {
        case FailureKind::noCapacity:
            return "noCapacity";
        case FailureKind::notConnected:
            return "notConnected";
        case FailureKind::resetBeforeAnswer:
            return "resetBeforeAnswer";
        case FailureKind::brokenAnswer:
            return "brokenAnswer";
        case FailureKind::malformedAnswer:
            return "malformedAnswer";
        case FailureKind::foreignAnswer:
            return "foreignAnswer";
        case FailureKind::timedOut:
            return "timedOut";
        case FailureKind::cancelled:
            return "cancelled";
    }
    return "unknown";
}

class Upstream::Impl : public ConnectionOwner, public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, UpstreamSettings settings)
        : io_(io), clock_(clock), settings_(settings) {}
    virtual ~Impl() = default;

    Handle send(const HostAddress& host, std::size_t maxConnections, Request request, Millis timeout,
                Handlers handlers);
    void cancel(Handle handle);
    void pauseReading(Handle handle);
    void resumeReading(Handle handle);
    bool sent(Handle handle) const;
    void closeUnusedExceptTo(const std::vector<HostAddress>& hosts);
    void drop(const HostAddress& host);
    void closeAll(bool tell);
    std::size_t connections(const HostAddress& host) const;
    std::size_t unused(const HostAddress& host) const;
    std::size_t connections() const;
    std::size_t exchanges() const { return exchanges_.size(); }
    const UpstreamCounts& counts() const { return counts_; }

    void onExchangeOver(const ExchangePtr& exchange) override { exchanges_.erase(exchange->handle); }
    void onUnused(const ConnectionPtr& connection) override;
    void onClosed(const ConnectionPtr& connection) override;

private:
    // The connections to one host. Gone with its last connection.
    struct Pool {
        std::set<ConnectionPtr> all;
        std::vector<ConnectionPtr> unused;  // the one used last at the back
        std::size_t most = 0;               // connections allowed at the last send()
        bool dropped = false;               // connections end with their exchange
        Millis usedAt = 0;
    };

    ConnectionPtr takeUnused(const HostAddress& host, std::string_view attemptId);
    void closeLongestUnused(const HostAddress& host);
    void refuse(const ExchangePtr& exchange);
    void closeUnused(const HostAddress& host);
    void makeRoomForHost();

    asio::io_context& io_;
    const Clock& clock_;
    UpstreamSettings settings_;
    UpstreamCounts counts_;
    Handle lastHandle_ = 0;
    std::map<HostAddress, Pool> pools_;
    std::unordered_map<Handle, ConnectionPtr> exchanges_;  // null: its refusal is on its way
};

Handle Upstream::Impl::send(const HostAddress& host, std::size_t maxConnections, Request request,
                            Millis timeout, Handlers handlers) {
    const auto exchange = std::make_shared<Exchange>();
    exchange->handle = ++lastHandle_;
    exchange->request = std::move(request);
    exchange->handlers = std::move(handlers);
    exchange->deadline =
        std::chrono::steady_clock::now() + std::chrono::microseconds(std::llround(timeout * 1000));
    ++counts_.exchanges;
    if (const ConnectionPtr kept = takeUnused(host, exchange->request.attemptId)) {
        exchanges_[exchange->handle] = kept;
        pools_[host].most = maxConnections;
        kept->use(exchange);
        return exchange->handle;
    }
    if (connections(host) >= maxConnections) closeLongestUnused(host);
    if (connections(host) >= maxConnections) {
        refuse(exchange);
        return exchange->handle;
    }
    if (!pools_.contains(host)) makeRoomForHost();
    Pool& pool = pools_[host];
    pool.most = maxConnections;
    pool.dropped = false;
    pool.usedAt = clock_.now();
    const auto connection = std::make_shared<Connection>(io_, clock_, settings_, counts_, *this, host);
    pool.all.insert(connection);
    exchanges_[exchange->handle] = connection;
    connection->dial(exchange);
    return exchange->handle;
}

// The one used last among those that have not carried the id.
ConnectionPtr Upstream::Impl::takeUnused(const HostAddress& host, std::string_view attemptId) {
    const auto found = pools_.find(host);
    if (found == pools_.end()) return nullptr;
    const std::vector<ConnectionPtr> unused =
        found->second.unused;  // closing one changes the pool, or ends it
    for (auto next = unused.rbegin(); next != unused.rend(); ++next) {
        const ConnectionPtr& connection = *next;
        if (!connection->usable()) {
            ++counts_.idleClosed;
            connection->close();
            continue;
        }
        if (connection->hasCarried(attemptId)) continue;
        Pool& pool = pools_[host];
        std::erase(pool.unused, connection);
        pool.dropped = false;
        pool.usedAt = clock_.now();
        return connection;
    }
    return nullptr;
}

// A place for a new connection, where those that lie unused can't be taken.
void Upstream::Impl::closeLongestUnused(const HostAddress& host) {
    const auto pool = pools_.find(host);
    if (pool == pools_.end() || pool->second.unused.empty()) return;
    const ConnectionPtr longest = pool->second.unused.front();
    ++counts_.idleClosed;
    longest->close();
}

// Told from the loop: no handler is called from within send().
void Upstream::Impl::refuse(const ExchangePtr& exchange) {
    exchanges_[exchange->handle] = nullptr;
    asio::post(io_, [weak = weak_from_this(), exchange] {
        const auto self = weak.lock();
        if (!self || self->exchanges_.erase(exchange->handle) == 0) return;  // cancelled meanwhile
        const Failure failure{FailureKind::noCapacity, false, false, false,
                              "all connections to the host are in use"};
        if (exchange->handlers.onFailed) exchange->handlers.onFailed(failure);
    });
}

void Upstream::Impl::makeRoomForHost() {
    while (pools_.size() >= settings_.hosts) {
        const auto older = [](const auto& left, const auto& right) {
            const bool leftBusy = left.second.unused.size() < left.second.all.size();
            const bool rightBusy = right.second.unused.size() < right.second.all.size();
            return std::pair(leftBusy, left.second.usedAt) < std::pair(rightBusy, right.second.usedAt);
        };
        const auto oldest = std::min_element(pools_.begin(), pools_.end(), older);
        if (oldest->second.unused.size() < oldest->second.all.size())
            return;  // all are in use: exchanges bound them
        ++counts_.evictedHosts;
        closeUnused(HostAddress(oldest->first));
    }
}

void Upstream::Impl::onUnused(const ConnectionPtr& connection) {
    Pool& pool = pools_[connection->host()];
    const bool tooMany = pool.all.size() > pool.most || pool.unused.size() >= settings_.idlePerHost;
    if (pool.dropped || tooMany) return connection->close();
    pool.unused.push_back(connection);
}

void Upstream::Impl::onClosed(const ConnectionPtr& connection) {
    const auto pool = pools_.find(connection->host());
    if (pool == pools_.end()) return;
    pool->second.all.erase(connection);
    std::erase(pool->second.unused, connection);
    if (pool->second.all.empty()) pools_.erase(pool);
}

void Upstream::Impl::cancel(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end()) return;
    const ConnectionPtr connection = found->second;
    if (connection) return connection->abandon();
    exchanges_.erase(found);
}

void Upstream::Impl::pauseReading(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found != exchanges_.end() && found->second) found->second->exchange()->paused = true;
}

void Upstream::Impl::resumeReading(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end() || !found->second || !found->second->exchange()->paused) return;
    found->second->exchange()->paused = false;
    found->second->resumeReading();
}

bool Upstream::Impl::sent(Handle handle) const {
    const auto found = exchanges_.find(handle);
    return found != exchanges_.end() && found->second && found->second->exchange()->sent;
}

void Upstream::Impl::closeUnused(const HostAddress& host) {
    const auto pool = pools_.find(host);
    if (pool == pools_.end()) return;
    const auto unused = pool->second.unused;
    counts_.idleClosed += unused.size();
    for (const ConnectionPtr& connection : unused) connection->close();
}

void Upstream::Impl::drop(const HostAddress& host) {
    const auto pool = pools_.find(host);
    if (pool == pools_.end()) return;
    pool->second.dropped = true;
    closeUnused(host);
}

void Upstream::Impl::closeUnusedExceptTo(const std::vector<HostAddress>& hosts) {
    const std::set<HostAddress> kept(hosts.begin(), hosts.end());
    std::vector<HostAddress> vanished;
    for (const auto& [host, pool] : pools_)
        if (!kept.contains(host)) vanished.push_back(host);
    for (const HostAddress& host : vanished) drop(host);
}

void Upstream::Impl::closeAll(bool tell) {
    std::vector<ConnectionPtr> all;
    for (const auto& [host, pool] : pools_) all.insert(all.end(), pool.all.begin(), pool.all.end());
    for (const ConnectionPtr& connection : all) {
        if (tell && connection->exchange())
            connection->fail(FailureKind::cancelled, "the connections to hosts are being closed");
        else
            connection->abandon();
    }
}

std::size_t Upstream::Impl::connections(const HostAddress& host) const {
    const auto pool = pools_.find(host);
    return pool == pools_.end() ? 0 : pool->second.all.size();
}

std::size_t Upstream::Impl::unused(const HostAddress& host) const {
    const auto pool = pools_.find(host);
    return pool == pools_.end() ? 0 : pool->second.unused.size();
}

std::size_t Upstream::Impl::connections() const {
    std::size_t sum = 0;
    for (const auto& [host, pool] : pools_) sum += pool.all.size();
    return sum;
}

Upstream::Upstream(asio::io_context& io, const Clock& clock, UpstreamSettings settings)
    : impl_(std::make_shared<Impl>(io, clock, settings)) {}
Upstream::~Upstream() { impl_->closeAll(false); }

Handle Upstream::send(const HostAddress& host, std::size_t maxConnections, Request request, Millis timeout,
                      Handlers handlers) {
    return impl_->send(host, maxConnections, std::move(request), timeout, std::move(handlers));
}
void Upstream::cancel(Handle handle) { impl_->cancel(handle); }
void Upstream::pauseReading(Handle handle) { impl_->pauseReading(handle); }
void Upstream::resumeReading(Handle handle) { impl_->resumeReading(handle); }
bool Upstream::sent(Handle handle) const { return impl_->sent(handle); }
void Upstream::closeUnusedExceptTo(const std::vector<HostAddress>& hosts) {
    impl_->closeUnusedExceptTo(hosts);
}
void Upstream::drop(const HostAddress& host) { impl_->drop(host); }
void Upstream::closeAll() { impl_->closeAll(true); }
std::size_t Upstream::connections(const HostAddress& host) const { return impl_->connections(host); }
std::size_t Upstream::unused(const HostAddress& host) const { return impl_->unused(host); }
std::size_t Upstream::connections() const { return impl_->connections(); }
std::size_t Upstream::exchanges() const { return impl_->exchanges(); }
const UpstreamCounts& Upstream::counts() const { return impl_->counts(); }

}  // namespace beechpoint::upstream
