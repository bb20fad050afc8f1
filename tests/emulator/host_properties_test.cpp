// What must hold of a host whatever comes in which order.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "emulator/host.hpp"

namespace beechpoint::emulator {
namespace {

struct Step {
    int what;    // of the events below
    int wait;    // ms since the step before
    int number;  // which part, or how much
};

std::ostream& operator<<(std::ostream& out, const Step& s) {
    return out << '{' << s.what << ',' << s.wait << ',' << s.number << '}';
}

rc::Gen<std::vector<Step>> steps() {
    const auto one = rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 400), rc::gen::inRange(1, 60)),
        [](const auto& t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
        });
    return rc::gen::container<std::vector<Step>>(one);
}

HostKind drawnKind() {
    HostKind k;
    k.cores = *rc::gen::inRange(1, 4);
    k.slots = *rc::gen::inRange(1, 6);
    k.waitingRoom = *rc::gen::inRange(0, 10);
    k.warmByWork = *rc::gen::arbitrary<bool>();
    k.errorRate = 0.1;
    k.coldTime = *rc::gen::inRange(0, 5000);
    k.connectionCap = 3;
    return k;
}

// Plays the steps, and looks at the host after each.
template <class Look>
void play(HostModel& host, const std::vector<Step>& all, Look look) {
    Millis now = 0;
    PartTicket last = 0;
    for (const Step& s : all) {
        now += s.wait;
        HostActions out;
        host.advance(now, out);
        const auto part = static_cast<PartTicket>(s.number);
        switch (s.what) {
            case 0:
            case 1:
            case 2:
            case 3:
                host.offer(now, ++last, 5.0 * s.number, now + 20.0 * s.number, out);
                break;
            case 4:
                if (last > 0) host.cancel(now, 1 + part % last, out);
                break;
            case 5:
                host.pause(now, now + 10 * s.number, out);
                break;
            case 6:
                host.slow(now, 1 + s.number / 10.0, now + 20 * s.number, out);
                break;
            case 7:
                host.policy(now, {s.number % 2 == 0, s.number % 3 == 0, s.number % 5 == 0}, out);
                break;
            case 8:
                host.connect(now, out);
                break;
            case 9:
                host.disconnect(now, out);
                break;
            case 10:
                host.probe(now, out);
                break;
            case 11:
                if (s.number == 59) host.die(now, out);
                if (s.number == 58) host.drain(now, out);
                break;
        }
        look(now, out);
    }
    HostActions out;
    now += 1e6;  // all that is held ends
    host.advance(now, out);
    look(now, out);
}

// Every part that came is served, failed, turned away, dropped, done for nobody, lost with the process, or
// held.
RC_GTEST_PROP(HostProperties, WorkIsConserved, ()) {
    HostModel host(drawnKind(), {}, *rc::gen::arbitrary<std::uint64_t>(), 3, 0, *rc::gen::arbitrary<bool>());
    play(host, *steps(), [&](Millis, const HostActions&) {
        const HostTally& t = host.tally();
        RC_ASSERT(t.arrived ==
                  t.served + t.failed + t.turnedAway + t.dropped + t.ranOn + t.lost + host.held());
    });
    RC_ASSERT(host.held() == 0U);
}

// It never does more than its cores can, and holds no more than its slots and its room.
RC_GTEST_PROP(HostProperties, CapacityIsNeverAboveTheStated, ()) {
    const HostKind kind = drawnKind();
    HostModel host(kind, {}, *rc::gen::arbitrary<std::uint64_t>(), 3, 0, *rc::gen::arbitrary<bool>());
    play(host, *steps(), [&](Millis, const HostActions&) {
        RC_ASSERT(host.capacity() <= kind.cores * kind.speed.to + 1e-9);
        RC_ASSERT(host.rate() <= host.capacity() + 1e-9);
        RC_ASSERT(host.inWork() <= static_cast<std::size_t>(kind.slots));
        RC_ASSERT(host.waiting() <= static_cast<std::size_t>(kind.waitingRoom));
    });
}

// A host only ever gets warmer, is as warm as its time at least, and warm at its end.
RC_GTEST_PROP(HostProperties, WarmUpIsMonotone, ()) {
    const HostKind kind = drawnKind();
    HostModel host(kind, {}, *rc::gen::arbitrary<std::uint64_t>(), 3, 0, true);
    double before = 0;
    play(host, *steps(), [&](Millis now, const HostActions&) {
        if (!host.alive()) return;
        RC_ASSERT(host.warmth() >= before);
        before = host.warmth();
        const double byTime = kind.coldTime > 0 ? (now - 50) / kind.coldTime : 1;
        RC_ASSERT(host.warmth() >= std::min(1.0, kind.coldFrom + (1 - kind.coldFrom) * byTime) - 1e-9);
        RC_ASSERT(host.warmth() <= 1);
    });
}

// Every part ends once at most, and what is due next never lies in the past.
RC_GTEST_PROP(HostProperties, NoEventIsOutOfOrderOrTwice, ()) {
    HostModel host(drawnKind(), {}, *rc::gen::arbitrary<std::uint64_t>(), 3, 0, *rc::gen::arbitrary<bool>());
    std::set<PartTicket> ended;
    play(host, *steps(), [&](Millis now, const HostActions& out) {
        for (const HostAction& a : out)
            if (a.kind == HostAction::Kind::ended) RC_ASSERT(ended.insert(a.ticket).second);
        RC_ASSERT(host.next() >= now);
    });
}

// Brought on in many small steps or in one, a host does the same.
RC_GTEST_PROP(HostProperties, HowOftenItIsLookedAtChangesNothing, ()) {
    const HostKind kind = drawnKind();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    HostModel often(kind, {}, seed, 3, 0, true), seldom(kind, {}, seed, 3, 0, true);
    HostActions a, b;
    for (PartTicket t = 1; t <= 8; ++t) {
        often.offer(0, t, 30.0 * static_cast<double>(t), 1e9, a);
        seldom.offer(0, t, 30.0 * static_cast<double>(t), 1e9, b);
    }
    for (Millis now = 0; now <= 20'000; now += 7) often.advance(now, a);
    seldom.advance(20'000, b);
    RC_ASSERT(a.size() == b.size());
    for (std::size_t i = 0; i < a.size(); ++i) RC_ASSERT(a[i].ticket == b[i].ticket && a[i].end == b[i].end);
}

}  // namespace
}  // namespace beechpoint::emulator
