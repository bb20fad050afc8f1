// Counters and metrics: each name, with its type.
#include <fmt/format.h>

#include "control/status.hpp"
#include "core/counters.hpp"
#include "gateway_fixture.hpp"
#include "golden_list.hpp"
#include "http_answer.hpp"

namespace beechpoint::golden {
namespace {

// "NAME TYPE" of each family in Prometheus's text format.
Lines familiesIn(const std::string& text) {
    constexpr std::string_view kType = "# TYPE ";
    Lines families;
    for (const std::string& line : splitLines(text))
        if (line.starts_with(kType)) families.push_back(line.substr(kType.size()));
    return families;
}

TEST(GoldenMetrics, CountersOfTheGatherer) {
    Counters counters;
    for (std::size_t index = 0; index < kCounters; ++index) counters.add(static_cast<Counter>(index));
    Lines names;
    std::string line = counters.line();
    for (char& c : line)
        if (c == ' ') c = '\n';
    for (const std::string& pair : splitLines(line))
        names.push_back(pair.substr(0, pair.find('=')) + " counter");
    EXPECT_EQ(names.size(), kCounters);
    EXPECT_TRUE(matchesGolden("counters", names));
}

TEST(GoldenMetrics, MetricsOfControl) {
    control::MemberStatus status;
    status.hostList.emplace();
    EXPECT_TRUE(matchesGolden("control_metrics", familiesIn(control::renderMetrics(status))));
}

class GoldenGatewayMetrics : public gateway::GatewayTest {};

TEST_F(GoldenGatewayMetrics, MetricsOfTheGateway) {
    start();
    const std::string answer = golden::ask(io, gateway->readinessEndpoint(), request("GET", "/metrics"));
    EXPECT_TRUE(matchesGolden("gateway_metrics", familiesIn(bodyOf(answer))));
}

}  // namespace
}  // namespace beechpoint::golden
