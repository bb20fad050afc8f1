// The model finds the loop: first replies that are full, sent to all at once, and timed out after a fixed time are sent again for ever.
#include <gtest/gtest.h>

#include "recovery_model.hpp"

namespace beechpoint::recovery {
namespace {

TEST(RecoveryVariant, DoesNotServeAllWithFullListsNoAdmissionAndAFixedTimeout) {
    ModelSettings settings;
    settings.gateways = 300;
    const ModelResult result = run(settings);
    EXPECT_LT(result.served, settings.gateways);
}

TEST(RecoveryVariant, ServesAllWhenGatewaysAreFew) {
    ModelSettings settings;
    settings.gateways = 10;
    EXPECT_EQ(run(settings).served, settings.gateways);
}

}  // namespace
}  // namespace beechpoint::recovery
