// Whatever is asked for, reported, killed or left out, in whatever order.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "layout/changes.hpp"

namespace beechpoint::layout {
namespace {

struct Step {
    int what, a, b, wait;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
    return out << '{' << s.what << ',' << s.a << ',' << s.b << ',' << s.wait << '}';
}

rc::Gen<std::vector<Step>> steps() {
    return rc::gen::container<std::vector<Step>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100), rc::gen::inRange(0, 6),
                                    rc::gen::inRange(0, 3000)),
                     [](const auto& t) {
                         return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
                     }));
}

std::string host(int n) { return std::string(1, static_cast<char>('a' + n)); }

struct Bed {
    Bed()
        : changes(Layout::make(1, {{1, 0, ~KeyHash{0} / 2, {{"a"}, {"b"}}},
                                   {2, ~KeyHash{0} / 2 + 1, ~KeyHash{0}, {{"b"}, {"c"}}}})) {}
    void step(const Step& s) {
        now += s.wait;
        LayoutActions out;
        changes.advance(now, out);
        const auto& slices = changes.layout()->slices();
        const Slice& slice = slices[static_cast<std::size_t>(s.a) % slices.size()];
        const auto views = changes.changes();
        const ChangeId id = views.empty() ? 0 : views[static_cast<std::size_t>(s.a) % views.size()].id;
        std::string why;
        switch (s.what) {
            case 0:
            case 1:
                changes.begin(
                    now,
                    Move{slice.id, slice.holders[static_cast<std::size_t>(s.b) % slice.holders.size()].host,
                         host(s.a % 6)},
                    out, why);
                break;
            case 2:
                changes.begin(now, Split{slice.id, slice.first + (slice.last - slice.first) / 2 + 1}, out,
                              why);
                break;
            case 3:
                if (&slice != &slices.back()) changes.begin(now, Merge{slice.id, (&slice + 1)->id}, out, why);
                break;
            case 4:
                changes.copied(now, id, out);
                break;
            case 5:
                changes.caughtUp(now, id, out);
                break;
            case 6:
            case 7:
                changes.standsAt(now, host(s.b), changes.layout()->epoch() - static_cast<Epoch>(s.a % 2),
                                 out);
                break;
            case 8:
                changes.died(now, host(s.b), out);
                break;
            case 9:
                changes.returned(now, host(s.b), out);
                break;
            case 10:
                changes.released(now, changes.layout()->epoch(), out);
                break;
            default:
                changes.abort(now, id, out);
        }
        look(out);
    }
    // The invariants, after every step.
    void look(const LayoutActions& out) {
        for (const LayoutAction& a : out) {
            if (const auto* p = std::get_if<Publish>(&a)) {
                RC_ASSERT(p->layout->epoch() == epoch + 1);  // epochs come one by one
                epoch = p->layout->epoch();
                // Layout's own making has checked: no gap, no overlap, a complete host that is asked in every
                // slice.
                for (const Slice& s : p->layout->slices()) {
                    std::size_t complete = 0;
                    for (const Holder& h : s.holders) complete += h.complete() ? 1 : 0;
                    RC_ASSERT(complete >=
                              2U);  // a change never leaves a slice with fewer holders than it had
                }
            }
            if (const auto* d = std::get_if<DropData>(&a))
                for (const Slice& s : changes.layout()->slices())
                    RC_ASSERT(!(s.first <= d->last && s.last >= d->first && s.find(d->host)));
            if (const auto* e = std::get_if<Ended>(&a)) RC_ASSERT(ended.insert(e->change).second);
        }
        RC_ASSERT(changes.underWay() <= 4U);
        RC_ASSERT(changes.layout()->epoch() == epoch);
    }
    Changes changes;
    Millis now = 0;
    Epoch epoch = 1;
    std::set<ChangeId> ended;
};

RC_GTEST_PROP(ChangesProperties, EveryEpochIsSoundAndNothingHeldIsForgotten, ()) {
    Bed bed;
    for (const Step& s : *steps()) bed.step(s);
}

// Once failures stop, hosts follow and time goes on, every change ends, each once.
RC_GTEST_PROP(ChangesProperties, EveryChangeEnds, ()) {
    Bed bed;
    for (const Step& s : *steps()) bed.step(s);
    for (int round = 0; round < 40 && bed.changes.underWay() > 0; ++round) {
        LayoutActions out;
        for (int h = 0; h < 6; ++h) bed.changes.returned(bed.now, host(h), out);
        for (int h = 0; h < 6; ++h)
            bed.changes.standsAt(bed.now, host(h), bed.changes.layout()->epoch(), out);
        bed.now = std::max(bed.now, bed.changes.next());
        bed.changes.advance(bed.now, out);
        bed.look(out);
    }
    RC_ASSERT(bed.changes.underWay() == 0U);
}

}  // namespace
}  // namespace beechpoint::layout
