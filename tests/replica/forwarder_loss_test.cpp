// A member of the chain fails for good after it has stored the head's current item, and before its successor has received it. The
// other members must acknowledge writes again within the operators' bound.
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kAcknowledgeWithin = 5'000;  // ack_ms
constexpr Millis kFoundWithin = 6'000;
constexpr Millis kItemWithin = 6'000;
constexpr Millis kLead = 20;             // one interval between assessments of the view
constexpr Millis kQueuedHeartbeat = 50;  // longer than an item takes to be stored at the next member
constexpr Millis kNever = 1e9;
constexpr Millis kQuiet = 300;
constexpr Millis kReplyTransit = 14;  // the heartbeat reply has then arrived
constexpr Millis kCatchUp = 4'000;
constexpr std::size_t kForwarder = 1;  // position in the chain

enum class Loss { power, frozen, diskFails, cutOff, cutFromHead };

std::string nameOf(Loss loss) {
    switch (loss) {
        case Loss::power:
            return "power";
        case Loss::frozen:
            return "frozen";
        case Loss::diskFails:
            return "diskFails";
        case Loss::cutOff:
            return "cutOff";
        case Loss::cutFromHead:
            return "cutFromHead";
    }
    return {};
}

// The heartbeat that the forwarder answers last: `before` is sent well before the item and arrives after it, so that the forwarder is
// suspected before its successor seems stalled; `with` is sent with the item, so that both come at once; `after` is the next one that
// arrives.
enum class Report { before, with, after };

using Parameters = std::tuple<Loss, Report, std::size_t, std::uint64_t>;  // with members, seed

class ForwarderLossTest : public ::testing::TestWithParam<Parameters> {
protected:
    ForwarderLossTest()
        : loss_(std::get<0>(GetParam())), report_(std::get<1>(GetParam())), cluster_(options()) {}

    static ClusterOptions options() {
        ClusterOptions options;
        options.nodes = std::get<2>(GetParam());
        options.seed = std::get<3>(GetParam());
        return options;
    }
    std::size_t nodeAt(std::size_t observer, std::size_t position) {
        const std::string& name = cluster_.replica(observer).view().members[position].name;
        return std::stoul(name.substr(name.find('-') + 1));
    }
    bool isForwarder(std::size_t node) {
        const View& view = cluster_.replica(node).view();
        return view.members.size() == cluster_.nodes() && nodeAt(node, kForwarder) == node;
    }

    // Loses the items that the forwarder passes on, and fails it once it has reported to the head that it stored one.
    void armLoss(bool opening) {
        cluster_.delayMessages([this, opening](std::size_t from, const Body& body) {
            if (std::holds_alternative<Heartbeat>(body))
                return report_ == Report::after ? 0 : kQueuedHeartbeat;
            return isItemOfForwarder(from, body, opening) ? kNever : 0;
        });
        cluster_.onSend([this, opening](std::size_t from, const Body& body) {
            if (std::holds_alternative<Heartbeat>(body)) onHeartbeat(from);
            if (isItemOfForwarder(from, body, opening)) head_ = nodeAt(from, 0);
            const auto* reply = std::get_if<HeartbeatReply>(&body);
            if (reply && head_ && !lost_ && isForwarder(from)) onReply(from, *reply);
        });
    }
    bool isItemOfForwarder(std::size_t from, const Body& body, bool opening) {
        const auto* propose = std::get_if<Propose>(&body);
        return propose && propose->opening == opening && !lost_ && isForwarder(from);
    }
    // The client starts to write shortly after the head sends heartbeats.
    void onHeartbeat(std::size_t from) {
        if (clientStarted_ || !cluster_.replica(from).isHead()) return;
        clientStarted_ = true;
        const Millis itemAfter = report_ == Report::with ? cluster_.draw(2, 8) : kLead;
        cluster_.at(cluster_.now() + itemAfter, [this] { cluster_.startClient(); });
    }
    void onReply(std::size_t forwarder, const HeartbeatReply& reply) {
        if (reply.requesterSession != cluster_.replica(*head_).self().session) return;
        lost_ = forwarder;
        cluster_.at(cluster_.now() + kReplyTransit, [this, forwarder] { lose(forwarder); });
    }
    void lose(std::size_t forwarder) {
        lostAt_ = cluster_.now();
        cluster_.countFault();
        switch (loss_) {
            case Loss::power:
                cluster_.losePower(forwarder);
                break;
            case Loss::frozen:
                cluster_.freeze(forwarder);
                break;
            case Loss::diskFails:
                cluster_.failDisk(forwarder, true);
                break;
            case Loss::cutOff:
                for (std::size_t peer = 0; peer < cluster_.nodes(); ++peer) cut(forwarder, peer);
                break;
            case Loss::cutFromHead:
                cut(forwarder, *head_);
                break;
        }
    }
    void cut(std::size_t one, std::size_t other) {
        cluster_.partition(one, other, one != other);
        cluster_.partition(other, one, one != other);
    }

    void expectAcknowledgement() {
        ASSERT_TRUE(cluster_.runUntil(kItemWithin, [&] { return lostAt_.has_value(); })) << "no item";
        const std::uint64_t before = cluster_.acknowledged();
        EXPECT_TRUE(cluster_.runUntil(kAcknowledgeWithin, [&] { return cluster_.acknowledged() > before; }))
            << "no write is acknowledged after the loss\n"
            << cluster_.describe() << cluster_.trace();
        EXPECT_GE(cluster_.replica(*head_).view().members.size(), cluster_.nodes() - 1)
            << "another member than the forwarder is excluded\n"
            << cluster_.describe();
        cluster_.heal();
        EXPECT_TRUE(cluster_.runUntil(kCatchUp, [&] { return cluster_.isComplete(); }))
            << cluster_.describe();
        EXPECT_FALSE(cluster_.failed()) << cluster_.failure();
    }

    Loss loss_;
    Report report_;
    Cluster cluster_;
    std::optional<std::size_t> head_;  // set once an item of the forwarder was lost
    bool clientStarted_ = false;
    std::optional<std::size_t> lost_;
    std::optional<Millis> lostAt_;
};

// Guards against the failure of review/4: the head blamed the tail for a batch that was lost with the middle member.
TEST_P(ForwarderLossTest, BatchIsAcknowledgedAgain) {
    ASSERT_TRUE(cluster_.runUntil(kFoundWithin, [&] { return cluster_.isComplete(); }));
    cluster_.runFor(kQuiet);
    armLoss(false);
    expectAcknowledgement();
}

// Guards against the same while the first view is being installed.
TEST_P(ForwarderLossTest, OpeningIsAcknowledgedAgain) {
    armLoss(true);
    expectAcknowledgement();
}

constexpr std::array kReportNames{"_before_", "_with_", "_after_"};

std::string testName(const ::testing::TestParamInfo<Parameters>& info) {
    const auto& [loss, report, members, seed] = info.param;
    return nameOf(loss) + kReportNames.at(static_cast<std::size_t>(report)) + std::to_string(members) + "_" +
           std::to_string(seed);
}

INSTANTIATE_TEST_SUITE_P(Losses, ForwarderLossTest,
                         ::testing::Combine(::testing::Values(Loss::power, Loss::frozen, Loss::diskFails,
                                                              Loss::cutOff, Loss::cutFromHead),
                                            ::testing::Values(Report::before, Report::with, Report::after),
                                            ::testing::Values(3, 5), ::testing::Range<std::uint64_t>(1, 5)),
                         testName);

}  // namespace
}  // namespace beechpoint::replica::simulation
