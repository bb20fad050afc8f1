// Each process of the system is replaced, one at a time and under load: three control members and two gateways. Where
// $BEECHPOINT_OTHER_PROGRAM names another build of the program, each is replaced by that one and then back again, so that both builds serve
// side by side; else each is started anew once.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "fixture.hpp"
#include "gateway_watch.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kGatewayEndMost = 30'000;

// A client of each gateway, which goes to the next gateway while its own is being replaced. Each request must be answered with 200.
class ClientLoad {
public:
    explicit ClientLoad(const System& system) : replaced_(system.shape().gateways) {
        for (std::size_t gateway = 0; gateway < system.shape().gateways; ++gateway)
            addresses_.push_back(system.frontAddress(gateway));
        for (std::size_t gateway = 0; gateway < addresses_.size(); ++gateway)
            clients_.emplace_back([this, gateway] { run(gateway); });
    }
    ~ClientLoad() { end(); }

    // Requests to this gateway are let off until the replacement's end.
    void beginReplacement(std::size_t gateway) { replaced_ = gateway; }
    void endReplacement() { replaced_ = addresses_.size(); }
    void end() {
        ends_ = true;
        for (std::thread& client : clients_)
            if (client.joinable()) client.join();
    }
    std::size_t answered() const { return answered_; }
    std::size_t failed() const { return failed_; }

private:
    void run(std::size_t own) {
        for (std::size_t number = 1; !ends_; ++number) {
            const std::size_t gateway = replaced_ == own ? (own + 1) % addresses_.size() : own;
            HttpCall call;
            call.address = addresses_[gateway];
            call.target = kSteadyPath;
            call.attemptId = "load-" + std::to_string(own) + "-" + std::to_string(number);
            if (exchange(call).status == 200) ++answered_;
            // A request that was under way as its gateway's replacement began is that restart's own.
            else if (replaced_ != gateway)
                ++failed_;
        }
    }

    std::vector<std::string> addresses_;
    std::atomic<std::size_t> replaced_;  // gateway; as many as there are: none
    std::atomic<bool> ends_ = false;
    std::atomic<std::size_t> answered_ = 0;
    std::atomic<std::size_t> failed_ = 0;
    std::vector<std::thread> clients_;
};

class ReplacementTest : public SystemTest {
protected:
    // Sends change after change until it is told to end; every one must be taken.
    void sendSteadily(const std::atomic<bool>& ends) {
        Operator steady(*system_);
        while (!ends && unclear_.empty()) {
            const Outcome outcome = steady.put(revision_ + 1, system_->founders());
            if (!outcome.taken()) unclear_ = outcome.text();
            if (outcome.taken()) ++revision_;
        }
    }

    bool answersSteadily(std::size_t gateway) const {
        HttpCall call;
        call.address = system_->frontAddress(gateway);
        call.target = kSteadyPath;
        call.attemptId = "back";
        return exchange(call).status == 200;
    }

    void replaceMembers() {
        const Members all = system_->founders();
        for (const std::size_t member : all) {
            system_->signalMember(member, SIGTERM);
            EXPECT_EQ(system_->awaitEnd(member), std::optional<int>(0)) << "member " << member;
            system_->startMember(member);
            EXPECT_TRUE(system_->awaitView(all)) << "member " << member << " did not come back";
        }
    }

    void replaceGateways(ClientLoad& load) {
        for (std::size_t gateway = 0; gateway < system_->shape().gateways; ++gateway) {
            load.beginReplacement(gateway);
            system_->signalGateway(gateway, SIGTERM);
            EXPECT_EQ(system_->awaitGatewayEnd(gateway, kGatewayEndMost), std::optional<int>(0))
                << "gateway " << gateway;
            system_->startGateway(gateway);
            EXPECT_TRUE(system_->await([&] { return answersSteadily(gateway); }))
                << "gateway " << gateway << " does not serve again";
            load.endReplacement();
        }
    }

    std::string unclear_;
};

TEST_F(ReplacementTest, NothingAcknowledgedIsLostAndNoOtherRequestFails) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const char* const other = std::getenv("BEECHPOINT_OTHER_PROGRAM");
    std::vector<std::string> programs = {BEECHPOINT_PROGRAM};
    if (other) programs = {other, BEECHPOINT_PROGRAM, other};

    ClientLoad load(*system_);
    std::atomic<bool> ends = false;
    std::thread steady([&] { sendSteadily(ends); });
    for (const std::string& program : programs) {
        system_->useProgram(program);
        replaceMembers();
        replaceGateways(load);
    }
    ends = true;
    steady.join();
    load.end();

    EXPECT_EQ(unclear_, "");
    EXPECT_GT(load.answered(), 0u);
    EXPECT_EQ(load.failed(), 0u);
    report("replacement", "changes acknowledged", static_cast<double>(revision_));
    report("replacement", "requests answered", static_cast<double>(load.answered()));
    ASSERT_NO_FATAL_FAILURE(expectReadBack(system_->founders()));
    ASSERT_TRUE(system_->awaitGateways(revision_));
}

}  // namespace
}  // namespace beechpoint::system_test
