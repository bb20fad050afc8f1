// Whole runs in virtual time: the same bytes on every run, the load as scripted, the rules kept by the module
// and each broken on purpose by a gatherer that the checker must catch.
#include <gtest/gtest.h>

#include <filesystem>

#include "emulator/virtual_run.hpp"
#include "small.hpp"

namespace beechpoint::emulator {
namespace {

using Json = nlohmann::json;

Scenario shipped(const std::string& name) {
    return readScenarioFile(std::string(BEECHPOINT_SCENARIOS) + "/" + name + ".json");
}

TEST(Virtual, OneSeedGivesTheSameBytes) {
    const Scenario s = shipped("rolling-deploy-over-site-outage");
    const Results a = runVirtual(s, 1), b = runVirtual(s, 1), c = runVirtual(s, 2);
    EXPECT_EQ(hashOf(a), hashOf(b));
    EXPECT_NE(hashOf(a), hashOf(c));
    const auto script = [](std::string events) {  // the script is the script, whatever the seed; ids aside
        for (auto at = events.find(" t-"); at != std::string::npos; at = events.find(" t-"))
            events.erase(at, 11);
        return events;
    };
    EXPECT_EQ(script(a.events), script(c.events));
}

TEST(Virtual, EveryShippedScenarioKeepsTheRulesAndItsLoad) {
    for (const auto& entry : std::filesystem::directory_iterator(BEECHPOINT_SCENARIOS)) {
        if (!entry.is_regular_file()) continue;  // faults among gatherers have a folder of their own
        const Scenario s = readScenarioFile(entry.path().string());
        const Results r = runVirtual(s, s.seed);
        EXPECT_EQ(r.broken, 0U) << s.name << "\n" << r.rules;
        EXPECT_TRUE(r.load.within(0.1)) << s.name << ": " << r.load.all << ", " << r.load.byClass;
        EXPECT_LE(r.load.byPlace, 0.1) << s.name;
        EXPECT_GT(r.service, 0.5) << s.name << "\n" << summary(r);
    }
}

TEST(Virtual, CalmDaysAreServed) {
    const Results r = runVirtual(shipped("calm"), 1);
    EXPECT_GE(r.service, 0.99) << summary(r);
}

TEST(Virtual, EveryScriptedEventHappensWhenItShould) {
    for (const char* name : {"rolling-deploy-over-site-outage", "gatherers-killed", "discovery-late"}) {
        const Scenario s = shipped(name);
        VirtualOptions options;
        options.atEnd = [&](const World& world, const RulesChecker&) {
            EXPECT_GE(world.notes().size(), s.script.size());
            for (const Note& n : world.notes()) EXPECT_NEAR(n.at, n.scripted, 1e-6) << n.event;
        };
        runVirtual(s, s.seed, options);
    }
}

TEST(Virtual, GatherersThatDieLoseOnlyWhatTheyHeld) {
    const Scenario s = shipped("gatherers-killed");
    std::size_t downs = 0, ups = 0;
    VirtualOptions options;
    options.tap = [&](const RunEvent& e) {
        downs += e.kind == RunEvent::Kind::gathererDown ? 1 : 0;
        ups += e.kind == RunEvent::Kind::gathererUp ? 1 : 0;
    };
    const Results r = runVirtual(s, s.seed, options);
    EXPECT_EQ(downs, 4U);
    EXPECT_EQ(ups, 7U);
    EXPECT_EQ(r.broken, 0U);
}

// ---- a gatherer that does as it is told, and no better

enum class Fault {
    none,
    silent,      // never answers
    twice,       // answers again
    late,        // answers after its client's time
    drains,      // sends to hosts that drain or are gone, as if they did not
    attempts,    // sends each part four times
    floods,      // sends a cold host more than it can bear
    callsWhole,  // calls an answer whole with a part missing
    invents,     // makes a value up
    oldValue,    // hands on another request's value
    wrongHost,   // asks a host that does not hold the slice
    again,       // sends each part twice, of a class that must not repeat
    tooShort     // answers from less than the class allows, and says that it is not whole
};

class PlainGatherer final : public VirtualGatherer {
public:
    PlainGatherer(World& world, const Clock& clock, int gatherer, Fault fault)
        : world_(world), clock_(clock), gatherer_(gatherer), fault_(fault) {}
    void list(const Listing& listing, bool) override {
        if (listing.complete) known_.clear();
        for (const ListedHost& h : listing.hosts) {
            if (h.state == ListedHost::State::ready || fault_ == Fault::drains)
                known_.insert(h.host);
            else
                known_.erase(h.host);
        }
    }
    void take(const TryPtr& t) override {
        open_[t->number] = {t, {}};
        if (fault_ == Fault::silent) return;
        for (const TryPart& part : t->parts) {
            if (leavesOneOut() && &part == &t->parts.back()) continue;
            const int copies = fault_ == Fault::attempts ? 4
                               : fault_ == Fault::floods ? 40
                               : fault_ == Fault::again  ? 2
                                                         : 1;
            for (int i = 0; i < copies; ++i) send(*t, part.slice);
        }
    }
    void gone(std::uint64_t number) override {
        if (fault_ != Fault::late) open_.erase(number);
    }
    void onUp(ConnId conn) override {
        up_.insert(conn);
        for (const auto& [number, slice] : waiting_[conn]) world_.send(now(), conn, number, slice, 1000);
        waiting_.erase(conn);
    }
    void onGone(ConnId conn) override {
        up_.erase(conn);
        waiting_.erase(conn);
        std::erase_if(to_, [&](const auto& c) { return c.second == conn; });
    }
    void onAnswer(const PartAnswer& a) override {
        if (a.end != PartEnd::done) return;
        const auto found = open_.find(a.tryNumber);
        if (found == open_.end()) return;
        auto& [t, values] = found->second;
        values[a.slice] = a.value;
        const std::size_t wanted = t->parts.size() - (leavesOneOut() ? 1 : 0);
        if (values.size() < wanted) return;
        std::vector<std::pair<int, std::string>> parts(values.begin(), values.end());
        if (fault_ == Fault::invents) parts[0].second = "0123456789abcdef";
        if (fault_ == Fault::oldValue && !last_.empty()) parts[0].second = last_;
        last_ = values.begin()->second;
        if (fault_ == Fault::late) {
            later_.insert({clock_.now() + 5'000, {a.tryNumber, parts}});
            return;
        }
        const std::uint64_t number = a.tryNumber;
        open_.erase(found);
        world_.answered(now(), number, fault_ != Fault::tooShort, parts);
        if (fault_ == Fault::twice) world_.answered(now(), number, true, parts);
    }
    void onProbe(const ProbeAnswer&) override {}
    Millis next() const override { return later_.empty() ? 1e300 : later_.begin()->first; }
    void advance() override {
        while (!later_.empty() && later_.begin()->first <= clock_.now()) {
            const auto [number, parts] = later_.begin()->second;
            later_.erase(later_.begin());
            world_.answered(now(), number, true, parts);
        }
    }

private:
    Millis now() const { return clock_.now() - Clock::kOrigin; }
    bool leavesOneOut() const { return fault_ == Fault::callsWhole || fault_ == Fault::tooShort; }
    void send(const Try& t, int slice) {
        int host = -1;
        for (const int h : known_)
            if (world_.holds(h, slice) != (fault_ == Fault::wrongHost)) host = h;
        if (host < 0) return;
        ConnId& conn = to_[host];
        if (conn == 0) conn = world_.dial(now(), gatherer_, host);
        if (up_.contains(conn))
            world_.send(now(), conn, t.number, slice, 1000);
        else
            waiting_[conn].emplace_back(t.number, slice);
    }
    World& world_;
    const Clock& clock_;
    int gatherer_;
    Fault fault_;
    std::set<int> known_;
    std::map<int, ConnId> to_;
    std::set<ConnId> up_;
    std::map<ConnId, std::vector<std::pair<std::uint64_t, int>>> waiting_;
    std::map<std::uint64_t, std::pair<TryPtr, std::map<int, std::string>>> open_;
    std::multimap<Millis, std::pair<std::uint64_t, std::vector<std::pair<int, std::string>>>> later_;
    std::string last_;
};

// The label register's days: one class in four queries must not repeat, one may be answered short, reports come by
// probe only. What costs little for its worth is served through an overload and through silent hosts.
TEST(Virtual, TheSecondDeploymentsDaysKeepTheirDearClassesAndEveryRule) {
    for (const auto& [name, least] : {std::pair{"plovdiv-campaign", 0.9}, {"plovdiv-silent", 0.9}})
        for (const std::uint64_t seed : {1, 2, 3}) {
            VirtualOptions options;
            options.atEnd = [](const World&, const RulesChecker& rules) {
                EXPECT_GT(rules.checked(Rule::once), 100U);
            };
            const Results r = runVirtual(shipped(name), seed, options);
            EXPECT_EQ(r.broken, 0U) << name << "\n" << r.rules;
            for (const ClassSummary& c : r.classes)
                EXPECT_GT(c.service(), c.name == "label-lookup" ? 0.3 : least) << name << seed << "\n"
                                                                               << summary(r);
        }
}

// An answer from enough of the weight breaks nothing where the class allows it, and earns its share.
TEST(Virtual, AShortAnswerCountsForWhatItHolds) {
    const Scenario s = test::small([](Json& j) {
        for (Json& c : j["classes"]) c["leastShare"] = 0.01, c["shortWorth"] = 0.5;
    });
    VirtualOptions options;
    options.make = [](World& world, const Clock& clock, int gatherer, std::uint64_t) {
        return std::make_unique<PlainGatherer>(world, clock, gatherer, Fault::tooShort);
    };
    const Results r = runVirtual(s, 4, options);
    EXPECT_EQ(r.broken, 0U) << r.rules;
    EXPECT_GT(r.service, 0.2);
    EXPECT_LT(r.service, 0.5);
}

// Which rules a run with the fault breaks, and the first violation.
std::set<Rule> brokenBy(Fault fault, Violation& first) {
    Scenario s = test::small([&](Json& j) {
        if (fault == Fault::again)
            for (Json& c : j["classes"]) c["repeats"] = false;
        j["script"] = Json::array({{{"atS", 4},
                                    {"event", "deploy"},
                                    {"hosts", {"north-0", "south-1"}},
                                    {"batchShare", 0.5},
                                    {"everyS", 4},
                                    {"drainS", 3},
                                    {"startS", 1}}});
        j["host"]["waitingRoom"] = 5000;
    });
    VirtualOptions options;
    options.make = [&](World& world, const Clock& clock, int gatherer, std::uint64_t) {
        return std::make_unique<PlainGatherer>(world, clock, gatherer, fault);
    };
    std::set<Rule> broken;
    options.atEnd = [&](const World&, const RulesChecker& rules) {
        for (const Violation& v : rules.violations()) broken.insert(v.rule);
        if (!rules.violations().empty()) first = rules.violations().front();
    };
    runVirtual(s, 4, options);
    return broken;
}

TEST(RulesChecker, FindsNothingWrongWithAPlainGathererOnACalmDay) {
    // With hosts that come and go a gatherer that never tries again loses queries; on a calm day it does not.
    Scenario calm = test::small();
    VirtualOptions options;
    options.make = [&](World& world, const Clock& clock, int gatherer, std::uint64_t) {
        return std::make_unique<PlainGatherer>(world, clock, gatherer, Fault::none);
    };
    EXPECT_EQ(runVirtual(calm, 4, options).broken, 0U);
}

TEST(RulesChecker, NamesEachRuleThatIsBrokenOnPurposeTheQueryAndTheTime) {
    const std::vector<std::pair<Fault, Rule>> table = {{Fault::silent, Rule::oneAnswer},
                                                       {Fault::twice, Rule::oneAnswer},
                                                       {Fault::late, Rule::oneAnswer},
                                                       {Fault::drains, Rule::drainsKept},
                                                       {Fault::attempts, Rule::attempts},
                                                       {Fault::floods, Rule::coldHosts},
                                                       {Fault::callsWhole, Rule::honestWhole},
                                                       {Fault::invents, Rule::values},
                                                       {Fault::oldValue, Rule::values},
                                                       {Fault::wrongHost, Rule::asked},
                                                       {Fault::again, Rule::once},
                                                       {Fault::tooShort, Rule::honestWhole}};
    for (const auto& [fault, rule] : table) {
        Violation first;
        const std::set<Rule> broken = brokenBy(fault, first);
        EXPECT_TRUE(broken.contains(rule))
            << "fault " << static_cast<int>(fault) << ", rule " << nameOf(rule);
        EXPECT_TRUE(!first.query.empty() || !first.host.empty());
        EXPECT_GT(first.at, 0);
    }
}

// A rule that is broken brings no other one into suspicion, where a fault can be had alone.
TEST(RulesChecker, BlamesTheRightRuleAlone) {
    for (const auto& [fault, rule] : {std::pair{Fault::invents, Rule::values},
                                      {Fault::oldValue, Rule::values},
                                      {Fault::callsWhole, Rule::honestWhole},
                                      {Fault::twice, Rule::oneAnswer}}) {
        Violation first;
        std::set<Rule> broken = brokenBy(fault, first);
        broken.erase(Rule::oneAnswer);  // what the deploy loses without further tries
        std::set<Rule> expected = {rule};
        expected.erase(Rule::oneAnswer);
        EXPECT_EQ(broken, expected) << static_cast<int>(fault);
    }
}

// A good day on which hosts are cold has put that rule to the test; a calm one has not.
TEST(RulesChecker, CountsARuleAsCheckedOnlyWhereTheDayTriedIt) {
    for (const auto& [name, tried] : {std::pair{"cold-fleet", true}, {"calm", false}}) {
        VirtualOptions options;
        options.atEnd = [&, tried = tried](const World&, const RulesChecker& rules) {
            EXPECT_EQ(rules.checked(Rule::coldHosts) > 0, tried);
            EXPECT_EQ(rules.broken(Rule::coldHosts), 0U);
        };
        runVirtual(shipped(name), 1, options);
    }
}

TEST(RulesChecker, KnowsASliceThatTheRequestDidNotName) {
    const Scenario s = test::small();
    RulesChecker rules(s);
    auto t = std::make_shared<Try>();
    t->number = 1;
    t->expires = 1000;
    t->parts = {{3, 1.0}};
    RunEvent e;
    e.kind = RunEvent::Kind::taken;
    e.tryNumber = 1;
    e.request = t;
    rules.on(e);
    e.kind = RunEvent::Kind::sent;
    e.slice = 3;
    rules.on(e);
    EXPECT_EQ(rules.broken(Rule::asked), 0U);
    e.slice = 4;
    rules.on(e);
    EXPECT_EQ(rules.broken(Rule::asked), 1U);
}

TEST(RulesChecker, ForgetsWhatIsLongOver) {
    const Scenario s = test::small([](Json& j) { j["lengthS"] = 120; });
    VirtualOptions options;
    std::size_t held = 0;
    options.atEnd = [&](const World&, const RulesChecker& rules) { held = rules.held(); };
    runVirtual(s, 1, options);
    EXPECT_LT(held, 20U * 20U);  // of 2,400 queries those of the last seconds
}

}  // namespace
}  // namespace beechpoint::emulator
