// The process that acknowledges is killed at each acknowledgement.
#include "fixture.hpp"

namespace beechpoint::system_test {
namespace {

class KillTest : public SystemTest {};

TEST_F(KillTest, WhatWasAcknowledgedIsReadBackFromTheOthersAtOnce) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const int rounds = byForm(3, 100);
    const int calmChanges = byForm(1, 3);  // before each acknowledgement that is followed by a kill
    for (int round = 0; round < rounds; ++round) {
        for (int change = 0; change < calmChanges; ++change) ASSERT_NO_FATAL_FAILURE(takeNext("calm", all));
        const std::size_t killed = acknowledgedBy_;
        system_->killMember(killed);
        const Members others = without(all, killed);
        ASSERT_NO_FATAL_FAILURE(expectReadBack(others));
        ASSERT_NO_FATAL_FAILURE(takeNext("kill of the acknowledging member", others));
        ASSERT_NO_FATAL_FAILURE(expectServed("kill of the acknowledging member"));
        system_->startMember(killed);
        ASSERT_TRUE(system_->awaitView(all)) << "member " << killed << " did not come back";
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
}

}  // namespace
}  // namespace beechpoint::system_test
