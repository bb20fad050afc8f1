// Load reported by other gateways, and its effect on the choice of a host.
#include "dispatch/reported_load.hpp"

#include <gtest/gtest.h>

#include "dispatch/predictor.hpp"
#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

class ReportedLoadTest : public ::testing::Test {
protected:
    ReportedLoadTest() { setHosts({"a", "b"}); }
    void setHosts(const std::vector<std::string>& names) {
        HostList hosts;
        for (const std::string& name : names) {
            Host host;
            host.instanceId = name;
            host.service = "s";
            hosts.hosts.push_back(host);
        }
        hosts_.update(hosts, now_);
        reportedLoad_.hostsChanged();
    }
    void report(std::uint64_t source, bool full, const std::vector<HostLoad>& loads, Millis validFor = 1000) {
        reportedLoad_.update(PeerLoad{source, full, loads, validFor, {}}, now_);
    }
    static HostLoad load(const std::string& host, int waiting, double workS) {
        return {hostKey(host), waiting, workS};
    }
    const HostSlot& slot(const std::string& name) { return hosts_.at(hosts_.find(name)); }

    Millis now_ = 1000;
    HostTable hosts_;
    ReportedLoad reportedLoad_{hosts_};
};

TEST_F(ReportedLoadTest, SumsReportsOfAllSources) {
    report(1, false, {load("a", 1, 0.2)});
    report(2, false, {load("a", 2, 0.5), load("b", 1, 0.1)});
    EXPECT_EQ(slot("a").peerWaiting, 3);
    EXPECT_DOUBLE_EQ(slot("a").peerPrefillS, 0.7);
    EXPECT_EQ(slot("b").peerWaiting, 1);
}

TEST_F(ReportedLoadTest, ReplacesEarlierLoadOfSource) {
    report(1, false, {load("a", 3, 0.6)});
    report(1, false, {load("a", 1, 0.2)});
    report(1, false, {load("a", 1, 0.2)});
    EXPECT_EQ(slot("a").peerWaiting, 1);
    report(1, false, {load("a", 0, 0)});
    EXPECT_EQ(slot("a").peerWaiting, 0);
    EXPECT_DOUBLE_EQ(slot("a").peerPrefillS, 0);
}

TEST_F(ReportedLoadTest, FullReportClearsUnlistedHosts) {
    report(1, false, {load("a", 1, 0.2), load("b", 1, 0.2)});
    report(1, true, {load("b", 2, 0.4)});
    EXPECT_EQ(slot("a").peerWaiting, 0);
    EXPECT_EQ(slot("b").peerWaiting, 2);
}

TEST_F(ReportedLoadTest, ForgetsSourceWhenReportExpires) {
    report(1, false, {load("a", 1, 0.2)}, 500);
    report(2, false, {load("a", 1, 0.3)}, 5000);
    now_ += 501;
    reportedLoad_.expire(now_);
    EXPECT_EQ(slot("a").peerWaiting, 1);
    EXPECT_TRUE(reportedLoad_.active());
    now_ += 5000;
    reportedLoad_.expire(now_);
    EXPECT_EQ(slot("a").peerWaiting, 0);
    EXPECT_FALSE(reportedLoad_.active());
}

TEST_F(ReportedLoadTest, AppliesEarlierReportWhenHostIsListed) {
    report(1, false, {load("c", 2, 0.4)});
    setHosts({"a", "b", "c"});
    EXPECT_EQ(slot("c").peerWaiting, 2);
    report(1, false, {load("c", 0, 0)});
    EXPECT_EQ(slot("c").peerWaiting, 0);
}

TEST_F(ReportedLoadTest, IgnoresSourcesAndHostsBeyondBounds) {
    for (std::uint64_t source = 1; source <= ReportedLoad::kMaxSources + 10; ++source)
        report(source, false, {load("a", 1, 0.1)});
    EXPECT_EQ(slot("a").peerWaiting, static_cast<int>(ReportedLoad::kMaxSources));
    std::vector<HostLoad> many;
    for (std::uint32_t host = 0; host < ReportedLoad::kMaxHosts; ++host) many.push_back({host, 1, 0.1});
    report(1, true, many);
    report(1, false, {load("b", 1, 0.1)});
    EXPECT_EQ(slot("b").peerWaiting, 0);
}

TEST_F(ReportedLoadTest, BacklogShrinksWithTimeButStaysAboveZero) {
    ServiceLoad load;
    load.engine = load.peerLoadKnown = true;
    report(1, false, {this->load("a", 1, 1.0)});
    EXPECT_DOUBLE_EQ(Predictor::backlog(slot("a"), load, now_), 1.0);
    EXPECT_NEAR(Predictor::backlog(slot("a"), load, now_ + 400), 0.6, 1e-9);
    const double later = Predictor::backlog(slot("a"), load, now_ + 5000);
    EXPECT_GT(later, 0);
    EXPECT_LT(later, 0.6);
}

TEST_F(ReportedLoadTest, AppliesSpeedsMeasuredByPeersUnlessDisabled) {
    ServiceLoad load;
    load.engine = true;
    const double average = Predictor::prefillS(slot("a"), load, 10'000, now_);
    for (int i = 0; i < 30; ++i)
        reportedLoad_.update(PeerLoad{1, false, {}, 1000, {{hostKey("a"), 1.5}}}, now_);
    EXPECT_GT(Predictor::prefillS(slot("a"), load, 10'000, now_), 1.35 * average);
    EXPECT_DOUBLE_EQ(Predictor::prefillS(slot("b"), load, 10'000, now_), average);
    load.hostSpeed = false;
    EXPECT_DOUBLE_EQ(Predictor::prefillS(slot("a"), load, 10'000, now_), average);
}

// ---- in the dispatcher

constexpr int kDispatchers = 40;

void startWithTwoHosts(Harness& harness) {
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc", 0, 0, true)}, 2);
}

// Number of dispatchers, out of kDispatchers with this report, that send their first prompt to "a" rather
// than "b".
int countSendsToA(const PeerLoad& report, const Settings& settings = testSettings()) {
    int count = 0;
    for (int seed = 1; seed <= kDispatchers; ++seed) {
        Harness harness(settings, static_cast<std::uint64_t>(seed));
        startWithTwoHosts(harness);
        harness.handle(report);
        RequestArrived arrival = harness.request(RequestType::streaming);
        arrival.prompt = {{"own", 4000}};
        const std::vector<Send> sent = actionsOf<Send>(harness.handle(arrival));
        if (sent.size() == 1 && sent.front().instanceId == "a") ++count;
    }
    return count;
}

PeerLoad backlogAtA() { return {7, true, {{hostKey("a"), 3, 30.0}}, 1e6, {}}; }

TEST(DispatcherReportedLoad, AvoidsHostWithReportedBacklog) {
    EXPECT_EQ(countSendsToA(backlogAtA()), 0);
    EXPECT_GT(countSendsToA(PeerLoad{7, true, {}, 1e6, {}}), kDispatchers / 4);
}

TEST(DispatcherReportedLoad, NeitherAppliesNorSendsReportsWhenDisabled) {
    Settings settings = testSettings();
    settings.mechanisms.disable(Mechanism::loadReports);
    EXPECT_GT(countSendsToA(backlogAtA(), settings), kDispatchers / 4);
    Harness harness(settings);
    startWithTwoHosts(harness);
    harness.handle(harness.request());
    EXPECT_TRUE(actionsOf<ReportLoad>(harness.all).empty());
}

TEST(DispatcherReportedLoad, ReportsWaitingAttemptAndItsEndOnce) {
    Harness harness;
    startWithTwoHosts(harness);
    RequestArrived arrival = harness.request(RequestType::streaming);
    arrival.prompt = {{"own", 4000}};
    const auto reported = actionsOf<ReportLoad>(harness.handle(arrival));
    ASSERT_EQ(reported.size(), 1u);
    ASSERT_EQ(reported.front().hosts.size(), 1u);
    EXPECT_EQ(reported.front().hosts.front().waiting, 1);
    EXPECT_GT(reported.front().hosts.front().workS, 0);
    EXPECT_TRUE(actionsOf<ReportLoad>(harness.advance(5)).empty());
    const auto ended = actionsOf<ReportLoad>(harness.serve(arrival.id, 0));
    ASSERT_FALSE(ended.empty());
    EXPECT_EQ(ended.front().hosts.front().waiting, 0);
}

TEST(DispatcherReportedLoad, SlowHostGetsFewerPrompts) {
    const std::vector<HostSpeed> slow(40, HostSpeed{hostKey("a"), 3});
    EXPECT_LT(countSendsToA(PeerLoad{7, true, {}, 1e6, slow}), kDispatchers / 8);
}

TEST(PrefillRate, LearnsMoreThanProportionalTimeOfLongPrompts) {
    PrefillRate rate;
    const auto actualSeconds = [](double tokens) { return 0.03 + tokens / 40'000 + tokens * tokens / 4e9; };
    for (int i = 0; i < 400; ++i)
        for (const double tokens : {600.0, 1'500.0, 3'000.0, 6'000.0, 12'000.0, 24'000.0})
            rate.add(tokens, actualSeconds(tokens));
    for (const double tokens : {6'000.0, 12'000.0, 24'000.0})
        EXPECT_NEAR(rate.seconds(tokens), actualSeconds(tokens) - 0.03, 0.12 * actualSeconds(tokens))
            << tokens;
    EXPECT_LT(rate.seconds(100), 0.02);
}

}  // namespace
}  // namespace beechpoint::dispatch
