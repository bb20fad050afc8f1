// The model finds the loop: first answers that are whole, sent to all at once, and given up after a fixed time are begun again for ever.
#include <gtest/gtest.h>

#include "recovery_model.hpp"

namespace beechpoint::recovery {
namespace {

TEST(RecoveryVariant, WithWholeListsNoAdmissionAndAFixedTimeoutNeverServesAll) {
    ModelSettings settings;
    settings.gateways = 300;
    const ModelResult result = run(settings);
    EXPECT_LT(result.served, settings.gateways);
}

TEST(RecoveryVariant, ServesFewGatewaysAllTheSame) {
    ModelSettings settings;
    settings.gateways = 10;
    EXPECT_EQ(run(settings).served, settings.gateways);
}

}  // namespace
}  // namespace beechpoint::recovery
