#include "gatherer_fixture.hpp"

#include <gtest/gtest.h>

namespace beechpoint::test {

coordinator::Settings settings() {
    coordinator::Settings s;
    coordinator::ClassSettings c;
    c.name = "pallet-lookup";
    c.aim = 1'200'000'000;
    c.deadline = 3'000'000'000;
    s.classes.push_back(c);
    c.name = "day-report";
    c.aim = 2'000'000'000;
    c.deadline = 5'000'000'000;
    s.classes.push_back(c);
    s.shards = 4;
    s.cells = 2;
    s.span = 2;
    s.tick = 5'000'000;
    s.answerSlack = 20'000'000;
    s.dialTimeout = 250'000'000;
    s.maxAttempts = 3;
    s.openCap = 128;
    s.parallelTries = s.cancelling = s.probing = s.retryAfter = true;
    s.maxRetryAfter = 500'000'000;
    s.reports = coordinator::Reports::withAnswers;
    return s;
}

HostEntry hostEntry(const std::string& id, const std::string& address, int cell,
                    coordinator::ServerState state) {
    HostEntry host;
    host.entry.id = id;
    host.entry.cell = cell;
    host.entry.state = state;
    host.address = address;
    return host;
}

// ---- GathererFixture

GathererFixture::GathererFixture(std::vector<std::string> hosts, std::function<void(Config&)> change) {
    config.name = "n0";
    config.listen = kAnyPort;
    config.discovery = discovery.endpoint();
    config.settings = settings();
    config.connections.calls = 32;
    config.known.list.kind = coordinator::ListKind::remembered;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        config.known.list.entries.push_back(
            hostEntry("h" + std::to_string(i), hosts[i], static_cast<int>(i % 2)));
    if (change) change(config);
    gatherer = std::make_unique<Gatherer>(io, config, clock, counters, log);
    gatherer->start();
}

GathererFixture::~GathererFixture() {
    io.restart();
    io.poll();
}

// ---- SingleHostFixture, TwoFrameHosts

SingleHostFixture::SingleHostFixture(const std::function<void(Config&)>& change)
    : fixture({host.address()}, [&](Config& c) {
          c.settings.cells = c.settings.span = 1;
          c.connections.calls = 32;
          if (change) change(c);
      }) {}

void TwoFrameHosts::onPart(const std::function<void(const StubFrameHost::Part&)>& handler) {
    first.onPart = handler;
    second.onPart = handler;
}

// ---- PartialWriteFixture

void useOneHostAndConnection(Config& config) {
    config.settings.cells = config.settings.span = 1;
    config.connections.perHost = 1;
    config.search = Config::Search{kAnyPort, {{"pallets", "pallet-lookup"}}};
}

PartialWriteFixture::PartialWriteFixture(bool searchHost)
    : host(16, 4096), fixture({host.address()}, [&](Config& c) {
          useOneHostAndConnection(c);
          c.searchTrackHosts = searchHost;
          c.connections.calls = 1;
          c.connections.sendBuffer = 4096;
          for (auto& settings : c.settings.classes) settings.aim = settings.deadline = 10'000'000'000'000;
      }) {
    host.accept(false);
}

void PartialWriteFixture::runUntilPartlyWritten() {
    runUntil(fixture.io,
             [&] { return fixture.count(Counter::attemptsSent) == 1 && host.connections.size() == 1; });
    runReady(fixture.io);
    ASSERT_EQ(fixture.count(Counter::attemptsWritten), 0u);
}

}  // namespace beechpoint::test
