/// A gatherer in this process in front of stub hosts, with a clock that tests can set.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gatherer.hpp"
#include "stub_hosts.hpp"
#include "test_client.hpp"

namespace beechpoint::test {

/// Two classes, "pallet-lookup" and "day-report", over four shards in two cells.
coordinator::Settings settings();

/// An entry of a host list.
HostEntry hostEntry(const std::string& id, const std::string& address, int cell = 0,
                    coordinator::ServerState state = coordinator::ServerState::up);

/// A gatherer in front of the hosts given, each of which holds every shard. Discovery does not answer until
/// the test lets it.
struct GathererFixture {
    /// `change` alters the configuration before the gatherer starts.
    explicit GathererFixture(std::vector<std::string> hosts, std::function<void(Config&)> change = {});
    /// Runs the handlers that are ready, which would otherwise run on a gatherer that is gone.
    ~GathererFixture();
    std::uint64_t count(Counter counter) const { return counters.get(counter); }
    asio::io_context& io = eventLoop();
    Clock clock;
    Counters counters;
    Logger log{clock};
    StubHttpHost discovery{io};
    Config config;
    std::unique_ptr<Gatherer> gatherer;
};

/// A gatherer in front of one host that holds all shards, so that a retry goes to the same host.
struct SingleHostFixture {
    explicit SingleHostFixture(const std::function<void(Config&)>& change = {});
    StubFrameHost host{eventLoop()};
    GathererFixture fixture;
    TestClient client{fixture.io, fixture.gatherer->endpoint()};
};

/// Two hosts that speak frames.
struct TwoFrameHosts {
    StubFrameHost first{eventLoop()}, second{eventLoop()};
    std::vector<std::string> addresses() const { return {first.address(), second.address()}; }
    void onPart(const std::function<void(const StubFrameHost::Part&)>& handler);
};

/// Configuration: one host holds all shards, over one connection; the query API listens, too.
void useOneHostAndConnection(Config& config);

/// A host of either protocol that does not read, behind small buffers: a large part is written in part only.
struct PartialWriteFixture {
    explicit PartialWriteFixture(bool searchHost);
    /// Runs until the part in hand is partly written.
    void runUntilPartlyWritten();
    RawSocketHost host;
    GathererFixture fixture;
};

/// The answer without hits of a healthy host of the query API.
inline constexpr const char* kEmptySearchAnswer =
    R"({"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}})";

}  // namespace beechpoint::test
