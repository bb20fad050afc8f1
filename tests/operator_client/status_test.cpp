// What control writes of itself, read back as operators see it.
#include "control/status.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "core/metrics_text.hpp"
#include "operator_client/status_text.hpp"

namespace beechpoint::operator_client {
namespace {

control::MemberStatus someStatus() {
    control::MemberStatus status;
    status.member = "core-1";
    status.zone = "za";
    status.inView = status.fresh = true;
    status.view.epoch = 3;
    status.view.members = {{"core-1", 1, 1, "10.0.0.1:1", "10.0.0.1:2", "za"},
                           {"core-2", 1, 1, "10.0.0.2:1", "10.0.0.2:2", "zb"},
                           {"core-3", 1, 1, "10.0.0.3:1", "10.0.0.3:2", "zc"}};
    status.position = {3, 12};
    status.revision = 7;
    status.evacuatedZones = {"zb"};
    leases::Gateway gateway;
    gateway.name = "edge-1";
    gateway.zone = "za";
    gateway.frontAddress = "10.1.0.1:8144";
    gateway.ready = true;
    status.leases = {{gateway, 1000}};
    status.leaseLength = 3000;
    status.hostList = control::HostListStatus{40, 1500};
    status.pendingLongPolls = 1;
    status.committedWrites = 2;
    return status;
}

TEST(Status, IsPrintedAsLines) {
    const auto text = renderStatusText(control::renderStatus(someStatus()));
    ASSERT_TRUE(text.has_value());
    for (const std::string_view part :
         {"core-1 in zone za: in view yes, fresh yes, takes writes no\n",
          "view 3 with 3 members; table at 3.12; configuration revision 7\n",
          "host list: 40 hosts, confirmed 1.5 s ago\n", "evacuated zones: zb\n",
          "waiting polls: 1; writes taken: 2\n",
          "core-1                   za                   head       10.0.0.1:2\n",
          "core-2                   zb                   middle     10.0.0.2:2\n",
          "core-3                   zc                   tail       10.0.0.3:2\n",
          "edge-1                   za                   yes    no        2.0 s       10.1.0.1:8144\n"})
        EXPECT_NE(text.value().find(part), std::string::npos) << part << "in\n" << text.value();
}

TEST(Status, OfMemberWithoutStateIsPrintedToo) {
    const auto text = renderStatusText(control::renderStatus({}));
    ASSERT_TRUE(text.has_value());
    EXPECT_NE(text.value().find("host list: none known"), std::string::npos);
    EXPECT_NE(text.value().find("evacuated zones: none"), std::string::npos);
}

TEST(Status, RejectsAnswerOfAnotherForm) {
    EXPECT_FALSE(renderStatusText("").has_value());
    EXPECT_FALSE(renderStatusText("{}").has_value());
    EXPECT_FALSE(renderStatusText(R"({"member":7})").has_value());
}

TEST(Status, MetricsHaveAFigureForEachFamily) {
    const std::string text = control::renderMetrics(someStatus());
    for (const std::string_view line :
         {"beechpoint_control_view_epoch 3\n", "beechpoint_control_view_members 3\n",
          "beechpoint_control_position_sequence 12\n", "beechpoint_control_configuration_revision 7\n",
          "beechpoint_control_live_gateways 1\n", "beechpoint_control_host_list_age_seconds 1.5\n",
          "beechpoint_control_waiting_polls 1\n", "# TYPE beechpoint_control_writes_taken_total counter\n",
          "beechpoint_control_writes_taken_total 2\n"})
        EXPECT_NE(text.find(line), std::string::npos) << line;
    control::MemberStatus unknown = someStatus();
    unknown.hostList.reset();
    EXPECT_EQ(control::renderMetrics(unknown).find("host_list"), std::string::npos);
}

TEST(Status, ReadsEvacuatedZonesFromTable) {
    EXPECT_EQ(control::evacuatedZonesOf(
                  {{"evacuated", "1"}, {"evacuated/za", "1"}, {"evacuated/zb", "1"}, {"f", ""}}),
              (std::vector<std::string>{"za", "zb"}));
}

TEST(MetricsText, WritesOneFamilyAfterAnother) {
    MetricsText text;
    text.gauge("a", "First.", 0.25);
    text.gauge("b", "Not known.", std::optional<double>());
    text.counter("c_total", "Third.", 3e9);
    EXPECT_EQ(
        text.text(),
        "# HELP a First.\n# TYPE a gauge\na 0.25\n# HELP c_total Third.\n# TYPE c_total counter\nc_total "
        "3000000000\n");
}

TEST(Refusal, IsDescribedWithItsRemedy) {
    EXPECT_EQ(
        describeRefusal(R"({"error":{"kind":"invalid","place":"/x","message":"is off","remedy":"mend it"}})"),
        "/x: is off; mend it");
    EXPECT_EQ(describeRefusal("plain"), "plain");
}

}  // namespace
}  // namespace beechpoint::operator_client
