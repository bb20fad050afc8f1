// Answers to the operator are lost on their way: its connection is reset before the first byte arrives.
#include "fixture.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kOneCall = 5'000;

class LostAnswerTest : public SystemTest {
protected:
    // Where the member stands for the operators, through the relay.
    HttpAnswer put(std::size_t member, std::uint64_t revision, const std::string& author) {
        HttpCall call{system_->controlAddress(member),     "PUT", "/configuration", revision - 1,
                      configurationText(revision, author), {},    kOneCall};
        return exchange(call);
    }

    // The head: who answers a change itself.
    std::size_t head() { return chain().front(); }

    void loseOneAnswerOf(std::size_t member) {
        system_->relay().loseAnswers(system_->nodeOf(member), kOperator, 1);
    }
};

TEST_F(LostAnswerTest, TheSameCallIsAcknowledgedElsewhereAndAnotherUnderItsNumberIsNot) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const std::size_t rounds = byForm<std::size_t>(all.size(), 100);
    Operator other(*system_, "second", 2);
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::size_t first = head();
        loseOneAnswerOf(first);
        EXPECT_EQ(put(first, revision_ + 1, "first").status, 0);
        EXPECT_EQ(system_->relay().answersLost(), round + 1);
        const std::size_t elsewhere = (first + 1 + round % (all.size() - 1)) % all.size();
        ASSERT_NO_FATAL_FAILURE(takeNext("answer lost", {elsewhere}));
        const Outcome refused = other.put(revision_, {(elsewhere + 1) % all.size()});
        EXPECT_TRUE(refused.refused() && refused.reply.status == 412) << refused.text();
        ASSERT_NO_FATAL_FAILURE(takeNext("calm", all));
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
}

// The process that took the change is gone as well before it is sent again.
TEST_F(LostAnswerTest, TheSameCallIsAcknowledgedAfterTheMemberThatTookItIsKilled) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    Operator other(*system_, "second", 2);
    const std::size_t rounds = byForm<std::size_t>(1, 30);
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::size_t first = head();
        loseOneAnswerOf(first);
        EXPECT_EQ(put(first, revision_ + 1, "first").status, 0);
        EXPECT_EQ(system_->relay().answersLost(), round + 1);
        system_->killMember(first);
        const Members others = without(all, first);
        ASSERT_NO_FATAL_FAILURE(takeNext("answer and its member lost", others));
        const Outcome refused = other.put(revision_, others);
        EXPECT_TRUE(refused.refused() && refused.reply.status == 412) << refused.text();
        system_->startMember(first);
        ASSERT_TRUE(system_->awaitView(all)) << "member " << first << " did not come back";
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
}

TEST_F(LostAnswerTest, AnEvacuationSentAgainIsAcknowledged) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const std::size_t first = head();
    loseOneAnswerOf(first);
    HttpCall call;
    call.address = system_->controlAddress(first);
    call.method = "POST";
    call.target = "/evacuate/z1";
    EXPECT_EQ(exchange(call).status, 0);
    for (const std::size_t member : all) {
        const Outcome again = operator_->evacuate("z1", false, {member});
        EXPECT_TRUE(again.taken()) << again.text();
    }
    const Outcome back = operator_->evacuate("z1", true, {(first + 1) % all.size()});
    EXPECT_TRUE(back.taken()) << back.text();
    const auto status = system_->statusOf(first);
    ASSERT_FALSE(status.is_null());
    EXPECT_TRUE(status["evacuated_zones"].empty());
}

}  // namespace
}  // namespace beechpoint::system_test
