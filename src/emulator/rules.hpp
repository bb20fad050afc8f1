// The rules checker: told every event of a run, by either driver, it says which rule was broken, by which
// query or host, and when. It is handed facts only; it shares no code with what it judges.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/run_event.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

enum class Rule {
    oneAnswer,    // each taken query has exactly one final answer before its client's time is up
    drainsKept,   // nothing new to a host over 1 s after word that it drains or is gone
    attempts,     // at most so many attempts a part
    coldHosts,    // no cold host pushed over
    honestWhole,  // whole only with all parts in; and no answer from less than the class allows
    once,         // no part of a class that must not repeat is sent again, unless it never ran
    values,       // values only as a host gave them for that very request
    asked,        // only parts that a client asked for, from hosts that hold their slice
    count
};
const char* nameOf(Rule rule);

struct Violation {
    Rule rule = Rule::oneAnswer;
    Millis at = 0;
    std::string query;  // its id, or empty
    std::string host;
    std::string text;
};

class RulesChecker {
public:
    static constexpr Millis kDrainGrace = 1000;
    static constexpr std::uint64_t kMostKept = 200;  // violations of a rule told in full; all are counted

    // `slack`: what the time limits are longer by, for what lies between a rule and who observes it.
    explicit RulesChecker(const Scenario& scenario, Millis slack = 50);
    void on(const RunEvent& event);
    void finish(Millis now);  // at the run's end: what is still owed

    const std::vector<Violation>& violations() const { return violations_; }
    std::uint64_t broken(Rule rule) const { return broken_[static_cast<std::size_t>(rule)]; }
    // How often a rule was put to the test: a rule never tested was not kept either.
    std::uint64_t checked(Rule rule) const { return checked_[static_cast<std::size_t>(rule)]; }
    std::uint64_t allBroken() const;
    std::size_t held() const { return tries_.size(); }

private:
    struct Open {
        TryPtr request;
        int finals = 0;
        bool excused = false;  // its client left, or its gatherer died
        std::map<int, int> attempts, turnedAway;
        std::set<std::pair<int, std::string>> given;
    };
    struct Word {
        ListedHost::State state = ListedHost::State::ready;
        Millis at = 0;
    };
    void breach(Rule rule, const RunEvent& event, std::string text);
    void check(Rule rule) { ++checked_[static_cast<std::size_t>(rule)]; }
    const ClassSpec& classOf(const Open& open) const;
    void onFinal(const RunEvent& event);
    void onSent(const RunEvent& event);
    void expire(Millis now);

    const Scenario& scenario_;
    Millis slack_;
    std::unordered_map<std::uint64_t, Open> tries_;
    std::set<std::pair<Millis, std::uint64_t>> due_;   // when each must have had its answer
    std::set<std::pair<Millis, std::uint64_t>> past_;  // when each is forgotten
    std::map<std::pair<int, int>, Word> told_;         // by gatherer and host
    std::vector<Violation> violations_;
    std::uint64_t broken_[static_cast<std::size_t>(Rule::count)] = {};
    std::uint64_t checked_[static_cast<std::size_t>(Rule::count)] = {};
};

}  // namespace beechpoint::emulator
