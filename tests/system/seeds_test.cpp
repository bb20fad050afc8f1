// Gateways start again while the seeds that they know are cut off from the other members.
#include "fixture.hpp"

namespace beechpoint::system_test {
namespace {

class SeedsTest : public SystemTest {
protected:
    // The member is cut off from all other members; gateways and operators reach it.
    void cutFromMembers(std::size_t member) {
        for (const std::size_t other : without(system_->founders(), member)) {
            system_->relay().hold(system_->nodeOf(member), system_->nodeOf(other));
            system_->relay().hold(system_->nodeOf(other), system_->nodeOf(member));
        }
    }
    void joinToMembers(std::size_t member) {
        for (const std::size_t other : without(system_->founders(), member)) {
            system_->relay().release(system_->nodeOf(member), system_->nodeOf(other), Held::lost);
            system_->relay().release(system_->nodeOf(other), system_->nodeOf(member), Held::lost);
        }
    }
};

// A gateway that knows only a member that may know only an old state takes no configuration from it.
TEST_F(SeedsTest, AGatewayTakesNothingOldFromTheOnlySeedThatItKnows) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const std::uint64_t old = revision_;
    const std::size_t seed = chain().front();
    cutFromMembers(seed);
    ASSERT_NO_FATAL_FAILURE(takeNext("seed cut off", without(all, seed)));
    system_->killGateway(0);
    system_->startGateway(0, {seed});
    const Millis until = system_->clock().now() + byForm(3'000.0, 20'000.0);
    system_->await([&] {
        EXPECT_NE(system_->askGateway(0, old), 200) << "an old configuration is served";
        return HasFailure() || system_->clock().now() >= until;
    });
    const Millis joined = system_->clock().now();
    joinToMembers(seed);
    ASSERT_TRUE(system_->await([&] { return system_->askGateway(0, revision_) == 200; }));
    report("only seed cut off", "gateway serves after the cut", system_->clock().now() - joined);
    ASSERT_TRUE(system_->awaitView(all));
}

TEST_F(SeedsTest, AGatewayFindsTheNewestThroughTheOtherSeeds) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const std::string kind = "some seeds cut off";
    const int rounds = byForm(1, 20);
    for (int round = 0; round < rounds; ++round) {
        const std::size_t seed = chain()[static_cast<std::size_t>(round) % all.size()];
        cutFromMembers(seed);
        ASSERT_NO_FATAL_FAILURE(takeNext("seed cut off", without(all, seed)));
        for (std::size_t gateway = 0; gateway < system_->shape().gateways; ++gateway) {
            system_->killGateway(gateway);
            system_->startGateway(gateway, {seed, without(all, seed).back()});
        }
        const Millis since = system_->clock().now();
        ASSERT_TRUE(system_->awaitGateways(revision_)) << "revision " << revision_ << " is not served";
        report(kind, "restarted gateways serve after", system_->clock().now() - since);
        joinToMembers(seed);
        ASSERT_TRUE(system_->awaitView(all));
    }
}

}  // namespace
}  // namespace beechpoint::system_test
