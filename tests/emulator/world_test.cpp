// Hosts, sites and the list together, driven by a scripted gatherer.
#include "emulator/world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "small.hpp"

namespace beechpoint::emulator {
namespace {

using Json = nlohmann::json;

// One gatherer's side of the world; clients' queries are only noted.
struct Stage {
    explicit Stage(const std::function<void(Json&)>& change = {})
        : scenario(test::small([&](Json& j) {
              j["load"] = {{{"atS", 0}, {"perS", 5}}};
              if (change) change(j);
          })),
          world(scenario, 3, [this](const RunEvent& e) { events.push_back(e); }) {}
    void to(Millis until) {
        while (true) {
            const Millis at = std::min(world.next(), until);
            Happenings out;
            world.advance(at, out);
            now = at;
            for (const Happening& h : out) {
                if (const auto* q = std::get_if<QueryOut>(&h)) tries.push_back(q->request);
                if (const auto* u = std::get_if<ConnUp>(&h)) up.push_back(u->conn);
                if (const auto* r = std::get_if<ConnRefused>(&h)) refused.push_back(r->conn);
                if (const auto* r = std::get_if<ConnReset>(&h)) reset.push_back(r->conn);
                if (const auto* a = std::get_if<PartAnswer>(&h)) answers.emplace_back(now, *a);
                if (const auto* t = std::get_if<ListTold>(&h)) told.emplace_back(now, *t);
                if (const auto* o = std::get_if<GathererOrder>(&h))
                    if (o->what == GathererOrder::What::start) world.gathererReady(now, o->gatherer);
            }
            if (at >= until && out.empty()) return;
        }
    }
    // The host that stands first at a place.
    int at(const std::string& place) {
        const auto places = scenario.places();
        return static_cast<int>(std::find(places.begin(), places.end(), place) - places.begin());
    }
    int sliceOf(int host) {
        for (int s = 0; s < scenario.slices(); ++s)
            if (world.holds(host, s)) return s;
        return -1;
    }
    ConnId connect(int host, int gatherer = 0) {
        const ConnId c = world.dial(now, gatherer, host);
        to(now + 20);
        return c;
    }
    void send(ConnId conn, int host, Millis wait = 1000) {
        while (tries.empty()) to(now + 100);
        world.send(now, conn, tries.back()->number, sliceOf(host), wait);
    }
    bool has(const std::vector<ConnId>& list, ConnId c) {
        return std::find(list.begin(), list.end(), c) != list.end();
    }
    bool noted(const std::string& event, const std::string& detail = {}) {
        return std::any_of(world.notes().begin(), world.notes().end(), [&](const Note& n) {
            return n.event == event && n.detail.find(detail) != std::string::npos;
        });
    }
    std::vector<RunEvent> events;  // before the world, which tells of its first hosts as it is made
    Scenario scenario;
    World world;
    Millis now = 0;
    std::vector<TryPtr> tries;
    std::vector<ConnId> up, refused, reset;
    std::vector<std::pair<Millis, PartAnswer>> answers;
    std::vector<std::pair<Millis, ListTold>> told;
};

TEST(World, AnswersOverAConnectionThatCostsAHandshake) {
    Stage s;
    s.to(1'000);
    const int host = s.at("north-0");
    const ConnId c = s.connect(host);
    ASSERT_TRUE(s.has(s.up, c));
    s.send(c, host);
    s.to(s.now + 200);
    ASSERT_EQ(s.answers.size(), 1U);
    EXPECT_EQ(s.answers[0].second.end, PartEnd::done);
    EXPECT_EQ(s.answers[0].second.value.size(), 16U);
}

// Gatherer 0 stands in north; the middle is cut off while its hosts work on.
Json cut(const char* answers) {
    return Json::array(
        {{{"atS", 2}, {"event", "site_cut"}, {"site", "middle"}, {"forS", 4}, {"answers", answers}}});
}

TEST(World, WhatIsAnsweredBehindACutArrivesAfterItsTimeOut) {
    Stage s([](Json& j) { j["script"] = cut("late"); });
    const int host = s.at("middle-0");
    s.to(1'000);
    const ConnId c = s.connect(host);
    s.to(1'995);
    s.send(c, host, 500);  // on its way as the cut begins
    s.to(3'000);
    EXPECT_TRUE(s.answers.empty());
    EXPECT_EQ(s.world.model(host).tally().served, 1U);  // the host worked on
    EXPECT_TRUE(s.reset.empty());                       // silent, not reset
    s.to(5'990);
    EXPECT_TRUE(s.answers.empty());
    s.to(6'010);
    ASSERT_EQ(s.answers.size(), 1U);  // over 3 s after the attempt's time-out
    EXPECT_GT(s.answers[0].first, 6'000);
}

TEST(World, OrIsLostWhereTheScriptSaysSo) {
    Stage s([](Json& j) { j["script"] = cut("lost"); });
    const int host = s.at("middle-0");
    s.to(1'000);
    const ConnId c = s.connect(host);
    s.to(1'995);
    s.send(c, host, 500);
    s.to(10'000);
    EXPECT_TRUE(s.answers.empty());
    EXPECT_EQ(s.world.model(host).tally().served, 1U);
}

TEST(World, WhatIsSentIntoACutIsHeldAndComesOverdue) {
    Stage s([](Json& j) {
        j["script"] = cut("late");
        j["cancel"] = {{"beginsOverdue", false}};
    });
    const int host = s.at("middle-0");
    s.to(1'000);
    const ConnId c = s.connect(host);
    s.to(3'000);
    s.send(c, host, 500);
    const ConnId never = s.connect(host);
    s.to(5'900);
    EXPECT_EQ(s.world.model(host).tally().arrived, 0U);
    EXPECT_FALSE(s.has(s.up, never) || s.has(s.refused, never));  // a dial never comes up
    s.to(6'100);
    ASSERT_EQ(s.answers.size(), 1U);
    EXPECT_EQ(s.answers[0].second.end, PartEnd::full);  // its time had passed before it was begun
    const ConnId inside = s.world.dial(s.now, 1, host);
    s.to(s.now + 20);
    EXPECT_TRUE(s.has(s.up, inside));
}

TEST(World, GatherersInsideACutReachTheirOwnHosts) {
    Stage s([](Json& j) { j["script"] = cut("late"); });
    s.to(3'000);
    const ConnId inside = s.connect(s.at("middle-0"), 1), outside = s.connect(s.at("north-0"), 1);
    EXPECT_TRUE(s.has(s.up, inside));
    EXPECT_FALSE(s.has(s.up, outside));
}

TEST(World, SuccessorsOfADeployComeUpUnseenBehindACut) {
    Stage s([](Json& j) {
        j["script"] = cut("late");
        j["script"].push_back({{"atS", 1},
                               {"event", "deploy"},
                               {"hosts", {"middle-0"}},
                               {"batchShare", 1},
                               {"everyS", 1},
                               {"drainS", 2},
                               {"startS", 1}});
    });
    const int old = s.at("middle-0");
    s.to(3'900);
    EXPECT_FALSE(s.world.model(old).alive());  // it stopped at 3 s, behind the cut
    s.to(5'000);
    EXPECT_TRUE(s.noted("started", "middle-0"));
    const int fresh = static_cast<int>(s.world.hostCount()) - 1;
    EXPECT_NE(s.world.hostName(fresh), s.world.hostName(old));  // a new id
    EXPECT_TRUE(s.world.model(fresh).alive());
    EXPECT_LT(s.world.model(fresh).warmth(), 1);
    EXPECT_EQ(s.world.path(fresh, 0), HostPath::State::silent);
    EXPECT_EQ(s.world.path(fresh, 1), HostPath::State::open);
    s.to(6'100);
    EXPECT_EQ(s.world.path(fresh, 0), HostPath::State::open);
    // The gatherer inside heard of none of it until the cut was over: generations were skipped.
    for (const auto& [at, t] : s.told) EXPECT_TRUE(t.gatherer != 1 || at < 2'000 || at >= 6'000) << at;
}

TEST(World, ADeployDrainsFinishesAndReplaces) {
    Stage s([](Json& j) {
        j["script"] = Json::array({{{"atS", 2},
                                    {"event", "deploy"},
                                    {"hosts", {"north-0"}},
                                    {"batchShare", 1},
                                    {"everyS", 1},
                                    {"drainS", 2},
                                    {"startS", 1}}});
    });
    const int host = s.at("north-0");
    s.to(1'900);
    const ConnId c = s.connect(host);
    s.to(1'999);
    s.send(c, host);
    s.to(2'010);
    s.send(c, host);  // after the drain began
    s.to(2'100);
    ASSERT_EQ(s.answers.size(), 2U);
    EXPECT_EQ(s.answers[0].second.end, PartEnd::full);
    EXPECT_EQ(s.answers[1].second.end, PartEnd::done);
    EXPECT_TRUE(s.reset.empty());
    s.to(4'100);
    EXPECT_TRUE(s.has(s.reset, c));
    const ConnId late = s.connect(host);
    EXPECT_TRUE(s.has(s.refused, late));
    std::vector<ListedHost::State> states;
    for (const auto& [at, t] : s.told)
        if (t.gatherer == 0)
            for (const ListedHost& h : t.listing.hosts) states.push_back(h.state);
    EXPECT_EQ(states.front(), ListedHost::State::terminating);
}

TEST(World, AHostThatDiedReturnsUnderItsIdWithANewStart) {
    Stage s([](Json& j) {
        j["script"] = Json::array({{{"atS", 2}, {"event", "crash"}, {"hosts", {"south-1"}}, {"startS", 3}}});
    });
    const int host = s.at("south-1");
    s.to(1'900);
    const ConnId c = s.connect(host);
    s.send(c, host);
    s.to(2'000);
    s.send(c, host);
    s.to(2'050);
    EXPECT_TRUE(s.has(s.reset, c));
    s.to(6'000);
    EXPECT_TRUE(s.world.model(host).alive());
    EXPECT_LT(s.world.model(host).warmth(), 1);
    const ListedHost& last = s.told.back().second.listing.hosts.back();
    EXPECT_EQ(last.id, s.world.hostName(host));
    EXPECT_EQ(last.startedAt, 5'000);
    EXPECT_EQ(last.state, ListedHost::State::ready);
}

TEST(World, ASiteThatIsLostSaysNothingAndReturnsCold) {
    Stage s([](Json& j) {
        j["script"] = Json::array({{{"atS", 2}, {"event", "site_lost"}, {"site", "south"}, {"forS", 5}}});
    });
    const int host = s.at("south-0");
    s.to(1'500);
    const ConnId c = s.connect(host);
    s.to(5'000);
    EXPECT_TRUE(s.reset.empty());
    EXPECT_EQ(s.world.path(host, 0), HostPath::State::silent);
    s.to(7'100);
    EXPECT_TRUE(s.has(s.reset, c));  // heard only once it is back
    EXPECT_LT(s.world.model(host).warmth(), 1);
}

TEST(World, RefusesConnectionsAtTheTablesCap) {
    Stage s([](Json& j) { j["host"]["connectionCap"] = 2; });
    s.to(1'000);
    const int host = s.at("north-1");
    const ConnId a = s.connect(host), b = s.connect(host), c = s.connect(host);
    EXPECT_TRUE(s.has(s.up, a) && s.has(s.up, b) && s.has(s.refused, c));
    s.world.hangUp(s.now, a);
    EXPECT_TRUE(s.has(s.up, s.connect(host)));
}

TEST(World, SaysWhatNobodyAskedForAndWhatAHostDoesNotHold) {
    Stage s;
    s.to(1'000);
    const int host = s.at("north-0");
    const ConnId c = s.connect(host);
    int foreign = 0;
    while (s.world.holds(host, foreign)) ++foreign;
    s.world.send(s.now, c, s.tries.back()->number, foreign, 100);
    s.world.send(s.now, c, 999'999, s.sliceOf(host), 100);
    s.to(2'000);
    EXPECT_TRUE(s.answers.empty());
    EXPECT_EQ(std::count_if(s.events.begin(), s.events.end(),
                            [](const RunEvent& e) { return e.kind == RunEvent::Kind::unasked; }),
              2);
}

// A driver that comes late does not look punctual.
TEST(World, TellsWhenAnEventWasCarriedOutAndNotWhenItWasDue) {
    Stage s([](Json& j) { j["script"] = cut("late"); });
    s.to(1'990);
    Happenings out;
    while (!s.noted("site_cut")) s.world.advance(2'200, out);
    EXPECT_EQ(s.world.notes().front().scripted, 2'000);
    EXPECT_EQ(s.world.notes().front().at, 2'200);
}

TEST(World, CancelledWorkRunsOnInTheHostsLoad) {
    Stage s([](Json& j) {
        j["classes"][0]["workMs"] = {500, 500};
        j["classes"][1]["workMs"] = {500, 500};
    });
    s.to(1'000);
    const int host = s.at("north-0");
    const ConnId c = s.connect(host);
    s.send(c, host);
    s.to(s.now + 10);
    s.world.cancel(s.now, c, s.tries.back()->number, s.sliceOf(host));
    s.to(s.now + 100);
    EXPECT_EQ(s.world.model(host).inWork(), 1U);
    s.to(s.now + 600);
    EXPECT_TRUE(s.answers.empty());
    EXPECT_EQ(s.world.model(host).tally().ranOn, 1U);
}

}  // namespace
}  // namespace beechpoint::emulator
