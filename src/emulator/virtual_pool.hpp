// A gatherer's connections to the model's hosts, in virtual time: what backend::Pool is on sockets, as far as
// the core can see it. Connections are opened as needed, up to a cap a host; each carries so many parts at
// once, and more wait in it unread. Where it is simpler than backend::Pool: it does not tell silent connections
// from slow ones.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/exchange.hpp"
#include "emulator/world.hpp"

namespace beechpoint::emulator {

class VirtualPool : public TrackHosts {
public:
    struct Limits {
        Millis dialTimeout = 250;
        std::size_t calls = 32;    // at once on a connection
        std::size_t perHost = 16;  // connections
    };
    VirtualPool(World& world, const Clock& clock, int gatherer, Limits limits);

    void attach(Exchange& exchange) { exchange_ = &exchange; }
    void update(const HostList&) override {}  // the world knows its hosts by name
    void send(Attempt attempt) override { sent_.push_back(std::move(attempt)); }
    void flush() override;
    void abandon(AttemptId attempt) override;
    void probe(const std::string& server) override;

    void onUp(ConnId conn);
    void onGone(ConnId conn);  // refused or reset
    void onAnswer(const PartAnswer& answer);
    void onProbe(const ProbeAnswer& answer);

    Millis next() const;  // of the next dial or probe that has taken too long
    void advance(Millis now);

private:
    struct Part {
        AttemptId id;
        std::uint64_t tryNumber = 0;
        int slice = 0;
        Millis until = 0;
    };
    struct Connection {
        std::string server;
        bool up = false;
        Millis dialedAt = 0;
        std::deque<Part> waiting;
        std::map<std::pair<std::uint64_t, int>, Part> out;  // by what the wire calls it
        std::deque<Millis> probes;                          // when each was asked
        std::size_t load() const { return waiting.size() + out.size(); }
    };
    ConnId choose(const std::string& server);
    void fill(ConnId id);

    World& world_;
    const Clock& clock_;
    int gatherer_;
    Limits limits_;
    Exchange* exchange_ = nullptr;
    std::vector<Attempt> sent_;  // since the last flush
    std::map<ConnId, Connection> connections_;
    std::map<AttemptId, ConnId> at_;
    bool flushing_ = false;
};

Load loadOf(const std::optional<HostReport>& report);

}  // namespace beechpoint::emulator
