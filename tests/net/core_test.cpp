// The exchange by itself, with a clock that the test sets and track hosts that only listen.
#include <algorithm>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

struct FakeHosts : TrackHosts {
    void update(const HostList&) override {}
    void send(Attempt a) override { sent.push_back(std::move(a)); }
    void flush() override {}
    void abandon(AttemptId id) override { abandoned.push_back(id); }
    void probe(const std::string&) override {}
    std::vector<Attempt> sent;
    std::vector<AttemptId> abandoned;
};

struct Bed {
    explicit Bed(const coordinator::Settings& s = settings())
        : exchange(s, 1, clock, counters, log, [this](Millis at) { next = at; }) {
        clock.set(Clock::kOrigin);
        exchange.attach(hosts);
        list("a", coordinator::ServerState::up, coordinator::ListKind::remembered);
    }
    void list(const std::string& id, coordinator::ServerState state,
              coordinator::ListKind kind = coordinator::ListKind::changes) {
        exchange.list({kind, {host(id, "127.0.0.1:1", 0, state)}});
    }
    Ticket take(const std::string& id, int parts = 2, Millis lasts = 3000) {
        Request r;
        r.id = id;
        r.klass = "pallet-lookup";
        r.expires = clock.now() + lasts;
        for (int i = 0; i < parts; ++i) r.parts.push_back({i, 1.0 / parts});
        r.text = "q";
        return exchange.take(std::move(r), [this](const Final& f) {
            finals.push_back(f);
            values.clear();
            for (const PartAnswer& p : f.parts) values += p.value;
            finals.back().parts.clear();
        });
    }
    void pass(Millis ms) {
        for (const Millis end = clock.now() + ms; clock.now() < end;) {
            clock.set(std::min(end, std::max(next, clock.now() + 0.1)));
            exchange.tick();
        }
    }
    Clock clock;
    Counters counters;
    Logger log{clock};
    Millis next = 1e300;
    FakeHosts hosts;
    Exchange exchange;
    std::vector<Final> finals;
    std::string values;
};

void answersOnceAndWhole() {
    Bed bed;
    bed.take("t");
    CHECK(bed.hosts.sent.size() == 2 && bed.exchange.open() == 3);
    for (const Attempt& a : bed.hosts.sent) CHECK(bed.exchange.claim(a.id));
    bed.clock.set(bed.clock.now() + 10);
    bed.exchange.ended(bed.hosts.sent[0].id, Outcome::served, "x");
    CHECK(bed.finals.empty());
    bed.exchange.ended(bed.hosts.sent[0].id, Outcome::served, "late");  // one outcome: dropped
    CHECK(bed.finals.empty());
    bed.exchange.ended(bed.hosts.sent[1].id, Outcome::served, "y");
    CHECK(bed.finals.size() == 1 && bed.finals[0].whole && bed.values == "xy");
    CHECK(bed.exchange.live() == 0 && bed.exchange.open() == 0);
    bed.pass(5000);
    CHECK(bed.finals.size() == 1 && bed.counters.get(Counter::answeredWhole) == 1);
}

void neverInPart() {
    Bed bed;
    bed.take("t");
    bed.exchange.claim(bed.hosts.sent[0].id);
    bed.exchange.ended(bed.hosts.sent[0].id, Outcome::served, "x");
    bed.pass(3000);
    CHECK(bed.finals.size() == 1 && bed.finals[0].kind != Final::Kind::answered && bed.values.empty());
    CHECK(bed.finals[0].why == Final::Why::deadline);
    CHECK(bed.finals[0].retryAfter > 0);  // it may come again, and is told when
}

void endsInTime() {
    for (const Millis lasts : {0.0, 1.0, 25.0, 300.0, 3000.0}) {
        Bed bed;
        bed.take("t", 2, lasts);
        const Millis taken = bed.clock.now();
        while (bed.finals.empty()) bed.pass(0.1);
        CHECK(bed.clock.now() <= taken + std::min(lasts, 1200.0) + 0.2);
    }
}

void holdsToTheCaps() {
    coordinator::Settings s = settings();
    s.openCap = 7;
    Bed bed(s);
    bed.take("a"), bed.take("b");
    bed.take("c");
    CHECK(bed.finals.size() == 1 && bed.finals[0].why == Final::Why::openCap);
    CHECK(bed.finals[0].kind == Final::Kind::refused && bed.finals[0].retryAfter == 500);
    bed.take("a", 0);  // its id is in use
    CHECK(bed.finals.size() == 2 && bed.finals[1].why == Final::Why::duplicateId);
    bed.pass(2000);  // both have ended: who comes with their ids right after is still somebody else
    CHECK(bed.finals.size() == 4 && bed.exchange.live() == 0);
    bed.take("a", 1);
    CHECK(bed.finals.size() == 5 && bed.finals[4].why == Final::Why::duplicateId);
    bed.pass(5000);  // and ids are not kept for good
    bed.take("d", 1);
    CHECK(bed.exchange.live() == 1 && bed.exchange.idsHeld() == 1);

    Bed other;  // whatever fails, no part goes out more than three times
    other.take("t", 1);
    for (std::size_t i = 0; i < other.hosts.sent.size(); ++i) {
        CHECK(i < 3);
        other.exchange.claim(other.hosts.sent[i].id);
        other.exchange.ended(other.hosts.sent[i].id, Outcome::error);
        other.pass(50);
    }
    CHECK(other.finals.size() == 1 && other.exchange.live() == 0);
}

// What waited for a connection is asked about again before it is written.
void claimsAgain() {
    Bed drained;
    drained.take("t", 1);
    drained.list("a", coordinator::ServerState::draining);
    CHECK(!drained.exchange.claim(drained.hosts.sent[0].id));
    CHECK(drained.counters.get(Counter::attemptsNotSent) == 1);

    Bed gone;
    const Ticket ticket = gone.take("t", 1);
    gone.exchange.gone(ticket);
    CHECK(!gone.exchange.claim(gone.hosts.sent[0].id) && gone.finals.empty());
    CHECK(gone.hosts.abandoned.size() == 1 && gone.counters.get(Counter::clientsGone) == 1);
    gone.exchange.gone(ticket);
    CHECK(gone.counters.get(Counter::clientsGone) == 1);

    Bed late;
    late.take("t", 1, 400);
    late.clock.set(late.clock.now() + 400);
    CHECK(!late.exchange.claim(late.hosts.sent[0].id));
}

// Whatever a site allows, a part whose client has left is neither sent nor sent again; with its client there it is sent again.
void sendsNothingForWhoLeft() {
    for (const bool cancels : {true, false})
        for (const bool copies : {true, false})
            for (const bool left : {true, false}) {
                coordinator::Settings s = settings();
                s.cancelling = cancels;
                s.parallelTries = copies;
                Bed bed(s);
                bed.list("b", coordinator::ServerState::up);
                const Ticket ticket = bed.take("t", 1);
                CHECK(bed.exchange.claim(bed.hosts.sent[0].id) && bed.exchange.wanted(bed.hosts.sent[0].id));
                bed.exchange.written(bed.hosts.sent[0].id);
                if (left) bed.exchange.gone(ticket);
                CHECK(bed.exchange.wanted(bed.hosts.sent[0].id) == !left);
                bed.pass(1000);
                if (!left && copies) bed.exchange.ended(bed.hosts.sent[0].id, Outcome::error);
                CHECK((bed.hosts.sent.size() > 1) == !left);
                CHECK(bed.counters.get(Counter::goneAfterSent) == (left ? 1 : 0));
                CHECK(bed.counters.get(Counter::goneBeforeSent) == 0);
            }
}

// The end of the process: one answer to each, harmless to repeat or not.
void endsAll() {
    for (const bool unsafe : {false, true})
        for (const bool sent : {false, true}) {
            coordinator::Settings s = settings();
            if (unsafe) s.classes[0].effect = coordinator::Effect::unsafe;
            Bed bed(s);
            bed.take("t", 1);
            CHECK(bed.exchange.claim(bed.hosts.sent[0].id));
            if (sent) bed.exchange.written(bed.hosts.sent[0].id);
            bed.exchange.endAll();
            CHECK(bed.finals.size() == 1 && bed.exchange.live() == 0 && bed.exchange.open() == 0);
            CHECK(bed.finals[0].kind == (unsafe && sent ? Final::Kind::failed : Final::Kind::refused));
            bed.exchange.ended(bed.hosts.sent[0].id, Outcome::served, "late");
            CHECK(bed.finals.size() == 1);
        }
}

// On a long day hosts come and go under new ids, and each is a kind of its own.
void forgetsKindsOfLines() {
    Clock clock;
    Logger log(clock, logging::Format::text, -1);
    for (int i = 0; i < 1000; ++i) {
        clock.set(Clock::kOrigin + i * 100.0);
        log.seldom("dial " + std::to_string(i), "host {}", i);
        log.seldom("same", "again");
    }
    CHECK(log.kinds() <= 65);
}

void timesAttemptsOut() {
    Bed bed;
    bed.take("t", 1, 500);
    CHECK(bed.exchange.claim(bed.hosts.sent[0].id));
    bed.pass(600);
    CHECK(bed.finals.size() == 1 && bed.hosts.abandoned.size() == 1);
    bed.exchange.ended(bed.hosts.sent[0].id, Outcome::served, "late");
    CHECK(bed.finals.size() == 1);
}

}  // namespace

int main() {
    answersOnceAndWhole();
    neverInPart();
    endsInTime();
    holdsToTheCaps();
    claimsAgain();
    timesAttemptsOut();
    sendsNothingForWhoLeft();
    endsAll();
    forgetsKindsOfLines();
}
