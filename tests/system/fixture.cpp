#include "fixture.hpp"

#include <algorithm>

namespace beechpoint::system_test {

void SystemTest::TearDown() {
    if (HasFailure() && system_) ADD_FAILURE() << system_->logs();
}

void SystemTest::begin(System::Shape shape) {
    system_.emplace(shape);
    operator_.emplace(*system_);
    ASSERT_TRUE(system_->found()) << "the system was not founded";
    ASSERT_NO_FATAL_FAILURE(takeNext("calm", system_->founders()));
    ASSERT_NO_FATAL_FAILURE(expectServed("first"));
    ASSERT_NO_FATAL_FAILURE(takeNext("calm", system_->founders()));
    ASSERT_NO_FATAL_FAILURE(expectServed("calm"));
}

void SystemTest::takeNext(const std::string& kind, const Members& members) {
    const Outcome outcome = operator_->put(revision_ + 1, members);
    ASSERT_TRUE(outcome.taken()) << kind << ", revision " << revision_ + 1 << ": " << outcome.text();
    ++revision_;
    acknowledgedBy_ = system_->memberAt(outcome.reply.address);
    acknowledgedAt_ = system_->clock().now();
    ASSERT_LT(acknowledgedBy_, kMostMembers) << outcome.text();
    report(kind, "acknowledged after", outcome.took);
}

void SystemTest::expectServed(const std::string& kind) {
    ASSERT_TRUE(system_->awaitGateways(revision_)) << kind << ": revision " << revision_ << " is not served";
    report(kind, "served by all gateways after", system_->clock().now() - acknowledgedAt_);
}

void SystemTest::expectReadBack(const Members& members) {
    for (const std::size_t member : members) {
        const Outcome outcome = operator_->read({member});
        ASSERT_TRUE(outcome.taken()) << "asked at member " << member << ": " << outcome.text();
        EXPECT_EQ(revisionOf(outcome.reply.body), revision_) << "asked at member " << member;
        EXPECT_NE(outcome.reply.body.find(routePath(revision_)), std::string::npos) << outcome.reply.body;
    }
}

Members SystemTest::chain() {
    Members chain;
    const std::size_t members = system_->shape().members;
    EXPECT_TRUE(system_->await([&] { return (chain = system_->chainAt(0)).size() == members; }));
    chain.resize(members);
    return chain;
}

Members SystemTest::without(const Members& members, std::size_t member) const {
    Members rest = members;
    std::erase(rest, member);
    return rest;
}

}  // namespace beechpoint::system_test
