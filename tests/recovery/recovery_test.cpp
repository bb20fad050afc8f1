// All processes restart at once: all gateways are served within a stated time, and the work for each does not grow with their number.
#include <gtest/gtest.h>

#include <cstdio>

#include "recovery_model.hpp"

namespace beechpoint::recovery {
namespace {

constexpr Millis kMostToServe = 5000;  // from the members' start, of which 1 s is theirs
constexpr std::uint64_t kMostBytesAGateway = 150'000;
constexpr double kMostAnswersAGateway = 30;

ModelResult runWith(std::size_t gateways) {
    ModelSettings settings;
    settings.gateways = gateways;
    const ModelResult result = run(settings);
    std::printf(
        "%zu gateways: %zu served, the last after %.0f ms; to each %.1f answers, %.1f kB; members %.1f kB;"
        " timed out %lu; largest answer %.1f kB; quiet, a second: %.2f kB to a gateway, %.1f kB of peer "
        "updates\n",
        gateways, result.served, result.lastServedAt,
        static_cast<double>(result.answers) / static_cast<double>(gateways),
        static_cast<double>(result.answerBytes) / 1e3 / static_cast<double>(gateways),
        static_cast<double>(result.peerUpdateBytes) / 1e3, static_cast<unsigned long>(result.timeouts),
        static_cast<double>(result.largestAnswer) / 1e3,
        static_cast<double>(result.quietAnswerBytes) / 5e3 / static_cast<double>(gateways),
        static_cast<double>(result.quietPeerUpdateBytes) / 5e3);
    return result;
}

class Recovery : public testing::TestWithParam<std::size_t> {};

TEST_P(Recovery, ServesAllGatewaysWithBoundedWorkForEach) {
    const std::size_t gateways = GetParam();
    const ModelResult result = runWith(gateways);
    EXPECT_EQ(result.served, gateways);
    EXPECT_LE(result.lastServedAt, kMostToServe);
    EXPECT_LE(result.answerBytes, kMostBytesAGateway * gateways);
    EXPECT_LE(static_cast<double>(result.answers), kMostAnswersAGateway * static_cast<double>(gateways));
}

INSTANTIATE_TEST_SUITE_P(Gateways, Recovery, testing::Values(30, 100, 300, 1000));

TEST(RecoveryBytes, OfAnswersAndPeerUpdatesGrowNoFasterThanGateways) {
    const ModelResult few = runWith(100);
    const ModelResult many = runWith(1000);
    EXPECT_LE(many.answerBytes, 10 * few.answerBytes * 3 / 2);
    EXPECT_LE(many.peerUpdateBytes, 10 * few.peerUpdateBytes * 3 / 2);
    EXPECT_LE(many.quietPeerUpdateBytes, 10 * few.quietPeerUpdateBytes * 3 / 2);
}

TEST(RecoveryOnNarrowLinks, ServesAllGateways) {
    ModelSettings settings;
    settings.gateways = 300;
    settings.bytesPerMs = 1250;
    const ModelResult result = run(settings);
    EXPECT_EQ(result.served, settings.gateways);
    EXPECT_LE(result.lastServedAt, 12'000);
}

TEST(RecoveryWithAnUnresponsiveMember, ServesAllGatewaysFromTheOthers) {
    ModelSettings settings;
    settings.gateways = 300;
    settings.unresponsiveUntil = settings.length;
    const ModelResult result = run(settings);
    EXPECT_EQ(result.served, settings.gateways);
    EXPECT_LE(result.lastServedAt, kMostToServe);
}

}  // namespace
}  // namespace beechpoint::recovery
