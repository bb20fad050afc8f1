// A replica at startup: its identity and the founding of the first view.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, SendsNothingBeforeItsIdentityIsDurable) {
    startWith({}, true);
    receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, {}, true}, 0);
    advanceTime(300);
    EXPECT_EQ(
        std::ranges::count_if(actions_, [](const Action& a) { return std::holds_alternative<Send>(a); }), 0);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_NE(persists_[0].update.control->incarnation, 0u);
    EXPECT_EQ(persists_[0].update.control->founders.size(), 3u);
    storeNextPersist();
    advanceTime(300);
    EXPECT_GT(countSent<Join>(), 0u);
}

TEST_F(ReplicaTest, FoundsWithEmptyDiskOnlyIfBootstrapAndAmongSeeds) {
    const std::vector<std::string> founders{memberOf("a").controlAddress, memberOf("b").controlAddress,
                                            memberOf("c").controlAddress};
    const std::vector<std::string> others{memberOf("a").controlAddress, memberOf("c").controlAddress};
    const auto votes = [&](bool bootstrap, const std::vector<std::string>& seeds, DurableState state) {
        actions_.clear();
        persists_.clear();
        startWith(std::move(state), bootstrap, seeds);
        storeAllPersists();
        receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, founders, true}, 0);
        storeAllPersists();
        advanceTime(5'000);
        return countSent<Promise>() + countSent<Prepare>();
    };
    EXPECT_GT(votes(true, founders, {}), 0u);
    EXPECT_EQ(votes(false, founders, {}), 0u);
    EXPECT_EQ(votes(true, others, {}), 0u);
    DurableState founder;
    founder.control.incarnation = 7;
    founder.control.founders = founders;
    EXPECT_GT(votes(false, founders, founder), 0u);
    DurableState joiner;
    joiner.control.incarnation = 7;
    EXPECT_EQ(votes(true, founders, joiner), 0u);
}

TEST_F(ReplicaTest, DoesNotPromiseToFounderWithOtherSeeds) {
    startWith({}, true);
    storeAllPersists();
    receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, {memberOf("a").controlAddress}, true}, 0);
    storeAllPersists();
    EXPECT_EQ(countSent<Promise>(), 0u);
}

TEST_F(ReplicaTest, SendsJoinToCurrentSeeds) {
    startWith(usedDisk());
    clearActions();
    advanceTime(300);
    EXPECT_GT(countSent<Join>("c"), 0u);
    handle(SeedsChanged{{memberOf("d").controlAddress}});
    clearActions();
    advanceTime(300);
    EXPECT_EQ(countSent<Join>("c"), 0u);
    EXPECT_GT(countSent<Join>("d"), 0u);
}

}  // namespace
}  // namespace beechpoint::replica
