// Properties of layout changes under random sequences of requests, reports and failures.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "layout/changes.hpp"

namespace beechpoint::layout {
namespace {

// A random request, report or failure; `a` and `b` select its operands, `wait` is in milliseconds.
struct Operation {
    int kind, a, b, wait;
};
std::ostream& operator<<(std::ostream& out, const Operation& s) {
    return out << '{' << s.kind << ',' << s.a << ',' << s.b << ',' << s.wait << '}';
}

rc::Gen<std::vector<Operation>> operations() {
    return rc::gen::container<std::vector<Operation>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100), rc::gen::inRange(0, 6),
                                    rc::gen::inRange(0, 3000)),
                     [](const auto& t) {
                         return Operation{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
                     }));
}

std::string hostName(int n) { return std::string(1, static_cast<char>('a' + n)); }

struct PropertyFixture {
    PropertyFixture()
        : changes(Layout::make(1, {{1, 0, ~KeyHash{0} / 2, {{"a"}, {"b"}}},
                                   {2, ~KeyHash{0} / 2 + 1, ~KeyHash{0}, {{"b"}, {"c"}}}})) {}
    void apply(const Operation& s) {
        now += s.wait;
        LayoutActions out;
        changes.advance(now, out);
        const auto& slices = changes.layout()->slices();
        const Slice& slice = slices[static_cast<std::size_t>(s.a) % slices.size()];
        const auto views = changes.changes();
        const ChangeId id = views.empty() ? 0 : views[static_cast<std::size_t>(s.a) % views.size()].id;
        std::string reason;
        switch (s.kind) {
            case 0:
            case 1:
                changes.begin(
                    now,
                    Move{slice.id, slice.holders[static_cast<std::size_t>(s.b) % slice.holders.size()].host,
                         hostName(s.a % 6)},
                    out, reason);
                break;
            case 2:
                changes.begin(now, Split{slice.id, slice.first + (slice.last - slice.first) / 2 + 1}, out,
                              reason);
                break;
            case 3:
                if (&slice != &slices.back())
                    changes.begin(now, Merge{slice.id, (&slice + 1)->id}, out, reason);
                break;
            case 4:
                changes.copyCompleted(now, id, out);
                break;
            case 5:
                changes.catchUpCompleted(now, id, out);
                break;
            case 6:
            case 7:
                changes.epochConfirmed(now, hostName(s.b),
                                       changes.layout()->epoch() - static_cast<Epoch>(s.a % 2), out);
                break;
            case 8:
                changes.hostDied(now, hostName(s.b), out);
                break;
            case 9:
                changes.hostReturned(now, hostName(s.b), out);
                break;
            case 10:
                changes.epochReleased(now, changes.layout()->epoch(), out);
                break;
            default:
                changes.abort(now, id, out);
        }
        checkInvariants(out);
    }
    // Checked after every operation.
    void checkInvariants(const LayoutActions& out) {
        for (const LayoutAction& a : out) {
            if (const auto* p = std::get_if<Publish>(&a)) {
                RC_ASSERT(p->layout->epoch() == epoch + 1);  // epochs are consecutive
                epoch = p->layout->epoch();
                // The Layout constructor has already checked for gaps, overlaps, and complete and selectable
                // holders.
                for (const Slice& s : p->layout->slices()) {
                    std::size_t complete = 0;
                    for (const Holder& h : s.holders) complete += h.isComplete() ? 1 : 0;
                    RC_ASSERT(complete >= 2U);  // a change never reduces the number of complete holders
                }
            }
            if (const auto* d = std::get_if<DropData>(&a))
                for (const Slice& s : changes.layout()->slices())
                    RC_ASSERT(!(s.first <= d->last && s.last >= d->first && s.find(d->host)));
            if (const auto* e = std::get_if<ChangeEnded>(&a)) RC_ASSERT(ended.insert(e->change).second);
        }
        RC_ASSERT(changes.activeCount() <= 4U);
        RC_ASSERT(changes.layout()->epoch() == epoch);
    }
    ChangeManager changes;
    Millis now = 0;
    Epoch epoch = 1;
    std::set<ChangeId> ended;
};

RC_GTEST_PROP(ChangesProperties, EveryEpochIsValidAndNoHeldDataIsDropped, ()) {
    PropertyFixture fixture;
    for (const Operation& s : *operations()) fixture.apply(s);
}

// Once failures stop, hosts confirm and time advances, every change ends exactly once.
RC_GTEST_PROP(ChangesProperties, EveryChangeEnds, ()) {
    PropertyFixture fixture;
    for (const Operation& s : *operations()) fixture.apply(s);
    for (int round = 0; round < 40 && fixture.changes.activeCount() > 0; ++round) {
        LayoutActions out;
        for (int h = 0; h < 6; ++h) fixture.changes.hostReturned(fixture.now, hostName(h), out);
        for (int h = 0; h < 6; ++h)
            fixture.changes.epochConfirmed(fixture.now, hostName(h), fixture.changes.layout()->epoch(), out);
        fixture.now = std::max(fixture.now, fixture.changes.nextDeadline());
        fixture.changes.advance(fixture.now, out);
        fixture.checkInvariants(out);
    }
    RC_ASSERT(fixture.changes.activeCount() == 0U);
}

}  // namespace
}  // namespace beechpoint::layout
