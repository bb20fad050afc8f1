#include "upstream/upstream.hpp"

#include <utility>

#include "upstream/connection_pool.hpp"

namespace beechpoint::upstream {

Upstream::Upstream(asio::io_context& io, const Clock& clock, UpstreamSettings settings)
    : pool_(std::make_shared<ConnectionPool>(io, clock, settings)) {}
Upstream::~Upstream() { pool_->closeAll(ConnectionPool::OnClose::dropExchanges); }

Handle Upstream::send(const HostAddress& host, std::size_t maxConnections, Request request, Millis timeout,
                      Handlers handlers) {
    return pool_->send(host, maxConnections, std::move(request), timeout, std::move(handlers));
}
void Upstream::cancel(Handle handle) { pool_->cancel(handle); }
void Upstream::pauseReading(Handle handle) { pool_->pauseReading(handle); }
void Upstream::resumeReading(Handle handle) { pool_->resumeReading(handle); }
bool Upstream::sent(Handle handle) const { return pool_->sent(handle); }
void Upstream::closeUnusedExceptTo(const std::vector<HostAddress>& hosts) {
    pool_->closeUnusedExceptTo(hosts);
}
void Upstream::drop(const HostAddress& host) { pool_->drop(host); }
void Upstream::closeAll() { pool_->closeAll(ConnectionPool::OnClose::reportExchanges); }
std::size_t Upstream::connections(const HostAddress& host) const { return pool_->connections(host); }
std::size_t Upstream::unused(const HostAddress& host) const { return pool_->unused(host); }
std::size_t Upstream::connections() const { return pool_->connections(); }
std::size_t Upstream::exchanges() const { return pool_->exchanges(); }
const UpstreamCounts& Upstream::counts() const { return pool_->counts(); }

}  // namespace beechpoint::upstream
