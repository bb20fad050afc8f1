// All processes are killed at once and come back with their disks; two operators race for each number.
#include <future>

#include "fixture.hpp"

namespace beechpoint::system_test {
namespace {

class RestartTest : public SystemTest {
protected:
    void killAll() {
        for (const std::size_t member : system_->founders()) system_->killMember(member);
        for (std::size_t gateway = 0; gateway < system_->shape().gateways; ++gateway)
            system_->killGateway(gateway);
    }
    void startAll() {
        for (const std::size_t member : system_->founders()) system_->startMember(member);
        for (std::size_t gateway = 0; gateway < system_->shape().gateways; ++gateway)
            system_->startGateway(gateway);
    }

    // Both operators are after the next number, beginning at different members. Exactly one is given it.
    void race(const std::function<void()>& meanwhile) {
        const Members all = system_->founders();
        Members reversed(all.rbegin(), all.rend());
        const std::uint64_t revision = revision_ + 1;
        Operator one(*system_, "one", 10 * revision), two(*system_, "two", 10 * revision + 5);
        auto first = std::async(std::launch::async, [&] { return one.put(revision, all); });
        auto second = std::async(std::launch::async, [&] { return two.put(revision, reversed); });
        meanwhile();
        const Outcome ofOne = first.get(), ofTwo = second.get();
        EXPECT_NE(ofOne.taken(), ofTwo.taken()) << ofOne.text() << "\n" << ofTwo.text();
        const Outcome& loser = ofOne.taken() ? ofTwo : ofOne;
        EXPECT_TRUE(loser.refused() && loser.reply.status == 412) << loser.text();
        const std::string winner = ofOne.taken() ? "one" : "two";
        for (const std::size_t member : all) {
            if (!system_->runs(member)) continue;
            const Outcome read = operator_->read({member});
            ASSERT_TRUE(read.taken()) << read.text();
            EXPECT_NE(read.reply.body.find(routePath(revision, winner)), std::string::npos)
                << read.reply.body;
        }
        revision_ = revision;
    }
};

TEST_F(RestartTest, AllAreKilledAtOnceAndTheSystemServesAgain) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const std::string kind = "all killed at once";
    const int rounds = byForm(2, 30);
    for (int round = 0; round < rounds; ++round) {
        ASSERT_NO_FATAL_FAILURE(takeNext("calm", system_->founders()));
        killAll();
        const Millis since = system_->clock().now();
        startAll();
        ASSERT_TRUE(system_->awaitGateways(revision_)) << "revision " << revision_ << " is not served again";
        report(kind, "all gateways serve again after", system_->clock().now() - since);
        ASSERT_NO_FATAL_FAILURE(takeNext(kind, system_->founders()));
        report(kind, "a change is taken after", system_->clock().now() - since);
        ASSERT_NO_FATAL_FAILURE(expectReadBack(system_->founders()));
    }
}

TEST_F(RestartTest, OfTwoOperatorsOneIsGivenEachNumber) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const int rounds = byForm(15, 300);
    for (int round = 0; round < rounds; ++round) ASSERT_NO_FATAL_FAILURE(race([] {}));
}

TEST_F(RestartTest, OfTwoOperatorsOneIsGivenTheNumberThoughTheHeadIsKilled) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const int rounds = byForm(2, 40);
    for (int round = 0; round < rounds; ++round) {
        const std::size_t head = chain().front();
        ASSERT_NO_FATAL_FAILURE(race([&] { system_->killMember(head); }));
        system_->startMember(head);
        ASSERT_TRUE(system_->awaitView(system_->founders()));
    }
}

}  // namespace
}  // namespace beechpoint::system_test
