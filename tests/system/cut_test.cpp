// One member is cut off or frozen for a while: it hands out nothing old, confirms and refuses nothing, and catches up.
#include <csignal>
#include <ostream>

#include "fixture.hpp"
#include "gateway_watch.hpp"
#include "witnesses.hpp"

namespace beechpoint::system_test {
namespace {

enum class Trouble { frozen, silent, deaf, mute, refused, resets };
enum class Place { head, tail };

struct CutCase {
    Trouble trouble;
    Place place;
};

constexpr Millis kShortCut = 3'500;
constexpr Millis kLongCut = 20'000;
constexpr Millis kWitnessSlack = 15'000;

std::string nameOf(Trouble trouble) {
    switch (trouble) {
        case Trouble::frozen:
            return "Frozen";
        case Trouble::silent:
            return "CutOffSilently";
        case Trouble::deaf:
            return "HearsNothing";
        case Trouble::mute:
            return "IsNotHeard";
        case Trouble::refused:
            return "Refused";
        case Trouble::resets:
            return "ResetAgainAndAgain";
    }
    return "";
}

std::string nameOf(const CutCase& cut) {
    return nameOf(cut.trouble) + (cut.place == Place::head ? "Head" : "Tail");
}

// How the case is shown.
void PrintTo(const CutCase& cut, std::ostream* out) { *out << nameOf(cut); }

class CutTest : public SystemTest, public ::testing::WithParamInterface<CutCase> {
protected:
    Trouble trouble() const { return GetParam().trouble; }

    void apply() {
        const std::string node = system_->nodeOf(victim_);
        Relay& relay = system_->relay();
        switch (trouble()) {
            case Trouble::frozen:
                return system_->signalMember(victim_, SIGSTOP);
            case Trouble::silent:
                return relay.isolate(node);
            case Trouble::deaf:
                return relay.hold(kAnyNode, node);
            case Trouble::mute:
                return relay.hold(node, kAnyNode);
            case Trouble::refused:
                return relay.refuse(node, kAnyNode);
            case Trouble::resets:
                return relay.reset(node, kAnyNode);
        }
    }

    void lift() {
        const std::string node = system_->nodeOf(victim_);
        const Held held = GetParam().place == Place::head ? Held::lost : Held::delivered;
        Relay& relay = system_->relay();
        switch (trouble()) {
            case Trouble::frozen:
                return system_->signalMember(victim_, SIGCONT);
            case Trouble::silent:
                return relay.rejoin(node, held);
            case Trouble::deaf:
                return relay.release(kAnyNode, node, Held::delivered);
            case Trouble::mute:
                return relay.release(node, kAnyNode, Held::delivered);
            case Trouble::refused:
                return relay.admit(node, kAnyNode);
            case Trouble::resets:
                return;
        }
    }

    // Whether it can reach no other member meanwhile.
    bool alone() const { return trouble() != Trouble::resets; }

    std::size_t victim_ = 0;
};

TEST_P(CutTest, HandsOutNothingOldAndCatchesUp) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const Members order = chain();
    victim_ = GetParam().place == Place::head ? order.front() : order.back();
    const std::string kind = nameOf(GetParam());
    GatewayWatch watch(*system_);

    const Millis length = byForm(kShortCut, kLongCut);
    const Millis until = system_->clock().now() + length;
    apply();
    const Members asked = alone() ? without(all, victim_) : all;
    ASSERT_NO_FATAL_FAILURE(takeNext(kind + " first change", asked));
    ASSERT_NO_FATAL_FAILURE(expectServed(kind + " first change"));
    std::optional<Witnesses> witnesses;
    if (alone()) witnesses.emplace(*system_, victim_, revision_, length + kWitnessSlack);
    do {
        ASSERT_NO_FATAL_FAILURE(takeNext(kind + " later changes", asked));
        ASSERT_NO_FATAL_FAILURE(expectServed(kind + " later changes"));
        if (trouble() == Trouble::resets) apply();
    } while (system_->clock().now() < until);

    const Millis lifted = system_->clock().now();
    lift();
    if (witnesses) witnesses->check();
    ASSERT_TRUE(system_->awaitView(all)) << "member " << victim_ << " did not come back";
    ASSERT_TRUE(system_->await([&] {
        const auto status = system_->statusOf(victim_);
        return !status.is_null() && status["revision"] == revision_;
    }));
    report(kind, "whole view after", system_->clock().now() - lifted);
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
    ASSERT_NO_FATAL_FAILURE(takeNext("calm", all));
    ASSERT_NO_FATAL_FAILURE(expectServed("calm"));
    const GatewayWatch::Seen seen = watch.end();
    EXPECT_EQ(seen.backwards, 0u);
    EXPECT_GT(seen.looks, 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles, CutTest,
    ::testing::Values(CutCase{Trouble::frozen, Place::head}, CutCase{Trouble::frozen, Place::tail},
                      CutCase{Trouble::silent, Place::head}, CutCase{Trouble::silent, Place::tail},
                      CutCase{Trouble::deaf, Place::head}, CutCase{Trouble::mute, Place::head},
                      CutCase{Trouble::refused, Place::head}, CutCase{Trouble::resets, Place::head}),
    [](const auto& info) { return nameOf(info.param); });

}  // namespace
}  // namespace beechpoint::system_test
