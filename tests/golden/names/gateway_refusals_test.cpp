// What a gateway answers by itself: each kind of refusal with its status, headers and body.
#include "gateway_fixture.hpp"
#include "http_answer.hpp"

namespace beechpoint::golden {
namespace {

constexpr const char* kId = "X-Attempt-Id: a1\r\n";

class GoldenGatewayRefusals : public gateway::GatewayTest {
protected:
    // The answer to a request at the front.
    std::string at(std::string_view name, const std::string& target, const std::string& headers = kId) {
        return raw(name, request("POST", target, headers, "hi"));
    }
    std::string raw(std::string_view name, const std::string& bytes) {
        return answerLine(name, golden::ask(io, gateway->frontEndpoint(), bytes));
    }
    std::string readiness(std::string_view name) {
        return answerLine(name, golden::ask(io, gateway->readinessEndpoint(), request("GET", "/readiness")));
    }
    // The host's answer to every request, and then its end of the connection.
    void hostSays(const std::string& answer) {
        host.onRequest = [answer](test::Peer& peer) {
            if (!answer.empty()) peer.send(answer);
            peer.got.clear();
            if (answer.empty()) peer.close();
        };
    }
};

TEST_F(GoldenGatewayRefusals, BeforeAConfiguration) {
    control.status = control::PollStatus::notFresh;
    launch();
    EXPECT_TRUE(matchesGolden("gateway_answers_unconfigured",
                              {at("no configuration", "/p/x"), readiness("readiness, not ready")}));
}

TEST_F(GoldenGatewayRefusals, OfRequests) {
    start();
    const std::string longHead(64 * 1024, 'x');
    const Lines lines{
        readiness("readiness, ready"),
        at("no route", "/none/x"),
        at("no attempt id", "/p/x", ""),
        at("two attempt ids", "/p/x", std::string(kId) + "X-Attempt-Id: a2\r\n"),
        raw("malformed", "nonsense\r\n\r\n"),
        raw("large head", request("POST", "/p/x", "X-Long: " + longHead + "\r\n")),
        raw("large body", "POST /p/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 999999999\r\n\r\n"),
    };
    EXPECT_TRUE(matchesGolden("gateway_answers_requests", lines));
}

TEST_F(GoldenGatewayRefusals, WithoutAHost) {
    control.hosts.clear();
    start();
    const std::string soon = std::string(kId) + "X-Deadline-Remaining: 300\r\n";
    EXPECT_TRUE(matchesGolden("gateway_answers_no_host", {at("no host", "/p/x", soon)}));
}

TEST_F(GoldenGatewayRefusals, OfHostsThatFail) {
    start();
    Lines lines;
    hostSays("HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
    lines.push_back(at("host's refusal without a promise", "/p/x"));
    hostSays("");
    lines.push_back(at("host closes", "/p/x"));
    EXPECT_TRUE(matchesGolden("gateway_answers_host_failures", lines));
}

TEST_F(GoldenGatewayRefusals, OfAHostThatIsSilent) {
    host.onRequest = [](test::Peer& peer) { peer.got.clear(); };
    start();
    const std::string soon = std::string(kId) + "X-Deadline-Remaining: 2500\r\n";
    EXPECT_TRUE(matchesGolden("gateway_answers_silent_host", {at("host is silent", "/p/x", soon)}));
}

TEST_F(GoldenGatewayRefusals, OfAHostsProofThatItDidNotRun) {
    hostSays("HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    start();
    EXPECT_TRUE(matchesGolden("gateway_answers_not_executed", {at("host did not run it", "/p/x")}));
}

TEST_F(GoldenGatewayRefusals, WhileItEnds) {
    constexpr Millis kLateInTheDrain = 5000;
    clock.set(Clock::kOrigin);
    start();
    const test::PeerPtr kept = test::connectTo(io, gateway->frontEndpoint());
    test::runReadyHandlers(io);
    gateway->stop([] {});
    clock.set(Clock::kOrigin + kLateInTheDrain);
    kept->send(request("POST", "/p/x", std::string(kId) + "X-Deadline-Remaining: 4000\r\n", "hi"));
    ASSERT_TRUE(test::until(io, [&] { return kept->ended; }));
    EXPECT_TRUE(matchesGolden("gateway_answers_ending", {answerLine("ending", kept->got)}));
}

}  // namespace
}  // namespace beechpoint::golden
