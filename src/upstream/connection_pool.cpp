#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

namespace beechpoint::upstream {

ConnectionPool::ConnectionPool(asio::io_context& io, const Clock& clock, UpstreamSettings settings)
    : io_(io), clock_(clock), settings_(settings) {}

Handle ConnectionPool::send(const HostAddress& host, std::size_t maxConnections, Request request,
                            Millis timeout, Handlers handlers) {
    const auto exchange = std::make_shared<Exchange>();
    exchange->handle = ++lastHandle_;
    exchange->request = std::move(request);
    exchange->handlers = std::move(handlers);
    exchange->deadline =
        std::chrono::steady_clock::now() + std::chrono::microseconds(std::llround(timeout * 1000));
    ++counts_.exchanges;
    if (const ConnectionPtr unused = takeUnused(host, exchange->request.attemptId)) {
        exchanges_[exchange->handle] = unused;
        hosts_[host].maxConnections = maxConnections;
        unused->use(exchange);
    } else if (mayDial(host, maxConnections)) {
        dial(host, maxConnections, exchange);
    } else {
        reject(exchange);
    }
    return exchange->handle;
}

// An unused connection, which can't be taken for this request, gives way to a new one.
bool ConnectionPool::mayDial(const HostAddress& host, std::size_t maxConnections) {
    if (connections(host) >= maxConnections) closeLongestUnused(host);
    return connections(host) < maxConnections;
}

void ConnectionPool::dial(const HostAddress& host, std::size_t maxConnections, const ExchangePtr& exchange) {
    if (!hosts_.contains(host)) evictHosts();
    HostConnections& pool = hosts_[host];
    pool.maxConnections = maxConnections;
    pool.dropped = false;
    pool.usedAt = clock_.now();
    const auto connection = std::make_shared<Connection>(io_, clock_, settings_, counts_, *this, host);
    pool.all.insert(connection);
    exchanges_[exchange->handle] = connection;
    connection->dial(exchange);
}

// The one used last among those that have not carried the id.
ConnectionPtr ConnectionPool::takeUnused(const HostAddress& host, std::string_view attemptId) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) return nullptr;
    const std::vector<ConnectionPtr> unused = found->second.unused;  // a copy: closing one changes the list
    for (auto next = unused.rbegin(); next != unused.rend(); ++next) {
        const ConnectionPtr& connection = *next;
        if (!connection->usable()) {
            ++counts_.idleClosed;
            connection->close();
            continue;
        }
        if (connection->hasCarried(attemptId)) continue;
        HostConnections& pool = hosts_[host];
        std::erase(pool.unused, connection);
        pool.dropped = false;
        pool.usedAt = clock_.now();
        return connection;
    }
    return nullptr;
}

void ConnectionPool::closeLongestUnused(const HostAddress& host) {
    const auto pool = hosts_.find(host);
    if (pool == hosts_.end() || pool->second.unused.empty()) return;
    const ConnectionPtr longest = pool->second.unused.front();
    ++counts_.idleClosed;
    longest->close();
}

// Reported from the loop: no handler is called from within send().
void ConnectionPool::reject(const ExchangePtr& exchange) {
    exchanges_[exchange->handle] = nullptr;
    asio::post(io_, [weak = weak_from_this(), exchange] {
        const auto self = weak.lock();
        if (!self || self->exchanges_.erase(exchange->handle) == 0) return;  // cancelled meanwhile
        const Failure failure{FailureKind::noCapacity, false, false, false,
                              "all connections to the host are in use"};
        if (exchange->handlers.onFailed) exchange->handlers.onFailed(failure);
    });
}

// Closes the connections to the hosts unused the longest, until another host fits in.
void ConnectionPool::evictHosts() {
    const auto goesBefore = [](const auto& left, const auto& right) {
        if (left.second.busy() != right.second.busy()) return right.second.busy();
        return left.second.usedAt < right.second.usedAt;
    };
    while (hosts_.size() >= settings_.hosts) {
        const auto oldest = std::min_element(hosts_.begin(), hosts_.end(), goesBefore);
        if (oldest->second.busy()) return;  // all are in use: exchanges bound them
        ++counts_.evictedHosts;
        closeUnused(HostAddress(oldest->first));
    }
}

void ConnectionPool::onUnused(const ConnectionPtr& connection) {
    HostConnections& pool = hosts_[connection->host()];
    const bool tooMany = pool.all.size() > pool.maxConnections || pool.unused.size() >= settings_.idlePerHost;
    if (pool.dropped || tooMany) return connection->close();
    pool.unused.push_back(connection);
}

void ConnectionPool::onClosed(const ConnectionPtr& connection) {
    const auto pool = hosts_.find(connection->host());
    if (pool == hosts_.end()) return;
    pool->second.all.erase(connection);
    std::erase(pool->second.unused, connection);
    if (pool->second.all.empty()) hosts_.erase(pool);
}

void ConnectionPool::cancel(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end()) return;
    const ConnectionPtr connection = found->second;
    if (connection) return connection->abandon();
    exchanges_.erase(found);
}

void ConnectionPool::pauseReading(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found != exchanges_.end() && found->second) found->second->exchange()->paused = true;
}

void ConnectionPool::resumeReading(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end() || !found->second || !found->second->exchange()->paused) return;
    found->second->exchange()->paused = false;
    found->second->resumeReading();
}

bool ConnectionPool::sent(Handle handle) const {
    const auto found = exchanges_.find(handle);
    return found != exchanges_.end() && found->second && found->second->exchange()->sent;
}

void ConnectionPool::closeUnused(const HostAddress& host) {
    const auto pool = hosts_.find(host);
    if (pool == hosts_.end()) return;
    const auto unused = pool->second.unused;
    counts_.idleClosed += unused.size();
    for (const ConnectionPtr& connection : unused) connection->close();
}

void ConnectionPool::drop(const HostAddress& host) {
    const auto pool = hosts_.find(host);
    if (pool == hosts_.end()) return;
    pool->second.dropped = true;
    closeUnused(host);
}

void ConnectionPool::closeUnusedExceptTo(const std::vector<HostAddress>& hosts) {
    const std::set<HostAddress> listed(hosts.begin(), hosts.end());
    std::vector<HostAddress> removed;
    for (const auto& [host, pool] : hosts_)
        if (!listed.contains(host)) removed.push_back(host);
    for (const HostAddress& host : removed) drop(host);
}

void ConnectionPool::closeAll(OnClose onClose) {
    std::vector<ConnectionPtr> all;
    for (const auto& [host, pool] : hosts_) all.insert(all.end(), pool.all.begin(), pool.all.end());
    for (const ConnectionPtr& connection : all) {
        if (onClose == OnClose::reportExchanges && connection->exchange())
            connection->fail(FailureKind::cancelled, "the connections to hosts are being closed");
        else
            connection->abandon();
    }
}

std::size_t ConnectionPool::connections(const HostAddress& host) const {
    const auto pool = hosts_.find(host);
    return pool == hosts_.end() ? 0 : pool->second.all.size();
}

std::size_t ConnectionPool::unused(const HostAddress& host) const {
    const auto pool = hosts_.find(host);
    return pool == hosts_.end() ? 0 : pool->second.unused.size();
}

std::size_t ConnectionPool::connections() const {
    std::size_t sum = 0;
    for (const auto& [host, pool] : hosts_) sum += pool.all.size();
    return sum;
}

}  // namespace beechpoint::upstream
