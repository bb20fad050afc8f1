#include "emulator/rules.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace beechpoint::emulator {

namespace {

constexpr Millis kKept = 10'000;  // after its time a try is kept so long: a second answer may yet come

}  // namespace

const char* nameOf(Rule rule) {
    switch (rule) {
        case Rule::oneAnswer:
            return "one-answer";
        case Rule::drainsKept:
            return "drains-kept";
        case Rule::attempts:
            return "attempts";
        case Rule::coldHosts:
            return "cold-hosts";
        case Rule::honestWhole:
            return "honest-whole";
        case Rule::once:
            return "once";
        case Rule::values:
            return "values";
        case Rule::asked:
            return "asked";
        case Rule::count:
            break;
    }
    return "?";
}

RulesChecker::RulesChecker(const Scenario& scenario, Millis slack) : scenario_(scenario), slack_(slack) {}

std::uint64_t RulesChecker::allBroken() const {
    return std::accumulate(std::begin(broken_), std::end(broken_), std::uint64_t{0});
}

const ClassSpec& RulesChecker::classOf(const Open& open) const {
    return scenario_.classes[static_cast<std::size_t>(open.request->klass)];
}

void RulesChecker::breach(Rule rule, const RunEvent& event, std::string text) {
    if (++broken_[static_cast<std::size_t>(rule)] > kMostKept) return;
    const std::string query = event.tryNumber > 0 ? fmt::format("q{:x}", event.tryNumber) : std::string();
    violations_.push_back({rule, event.at, query, event.hostName, std::move(text)});
}

void RulesChecker::on(const RunEvent& event) {
    expire(event.at);
    const auto found = tries_.find(event.tryNumber);
    switch (event.kind) {
        case RunEvent::Kind::taken:
            tries_[event.tryNumber].request = event.request;
            due_.insert({event.request->expires + slack_, event.tryNumber});
            past_.insert({event.request->expires + kKept, event.tryNumber});
            return;
        case RunEvent::Kind::final:
            return onFinal(event);
        case RunEvent::Kind::left:
            // One that leaves as its time ends is owed its answer all the same: its due time judges it.
            if (found != tries_.end() && event.at < found->second.request->expires)
                found->second.excused = true;
            return;
        case RunEvent::Kind::gathererUp:
            return;
        case RunEvent::Kind::gathererDown:
            for (auto& [number, open] : tries_)
                if (open.request->gatherer == event.gatherer) open.excused = true;
            return;
        case RunEvent::Kind::told:
            told_[{event.gatherer, event.host}] = {event.state, event.at};
            return;
        case RunEvent::Kind::sent:
            return onSent(event);
        case RunEvent::Kind::given:
            if (found != tries_.end()) found->second.given.insert({event.slice, event.value});
            return;
        case RunEvent::Kind::turnedAway:
            if (found != tries_.end()) ++found->second.turnedAway[event.slice];
            return;
        case RunEvent::Kind::pushedOver:
            return breach(Rule::coldHosts, event, "a cold host was sent too much and fell over");
        case RunEvent::Kind::unasked:
            return breach(Rule::asked, event,
                          fmt::format("slice {} was not asked for, or is not held there", event.slice));
    }
}

void RulesChecker::onFinal(const RunEvent& event) {
    const auto found = tries_.find(event.tryNumber);
    if (found == tries_.end())
        return breach(Rule::oneAnswer, event, "an answer to a request that nobody sent");
    Open& open = found->second;
    check(Rule::oneAnswer);
    if (++open.finals > 1)
        return breach(Rule::oneAnswer, event, fmt::format("answer number {}", open.finals));
    if (event.at > open.request->expires + slack_)
        breach(Rule::oneAnswer, event,
               fmt::format("answered {:.0f} ms after its time", event.at - open.request->expires));
    if (event.end != TryEnd::answered) return;

    check(Rule::honestWhole);
    std::set<int> in;
    for (const auto& [slice, value] : event.parts) in.insert(slice);
    std::size_t missing = 0;
    double share = 0;
    for (const TryPart& part : open.request->parts) in.contains(part.slice) ? share += part.share : ++missing;
    if (missing > 0 && (event.whole || share < classOf(open).leastShare - 1e-6))
        breach(Rule::honestWhole, event,
               fmt::format("{} with {} of {} parts missing", event.whole ? "called whole" : "answered",
                           missing, open.request->parts.size()));
    for (const auto& [slice, value] : event.parts) {
        check(Rule::values);
        if (!open.given.contains({slice, value}))
            breach(Rule::values, event, fmt::format("slice {}: no host gave the value {}", slice, value));
    }
}

void RulesChecker::onSent(const RunEvent& event) {
    check(Rule::asked);
    check(Rule::drainsKept);
    if (event.cold) check(Rule::coldHosts);
    const auto word = told_.find({event.gatherer, event.host});
    if (word == told_.end())
        breach(Rule::drainsKept, event, "sent to a host that its gatherer was never told of");
    else if (word->second.state != ListedHost::State::ready &&
             event.at > word->second.at + kDrainGrace + slack_)
        breach(Rule::drainsKept, event,
               fmt::format("sent {:.0f} ms after word that it {}", event.at - word->second.at,
                           word->second.state == ListedHost::State::gone ? "is gone" : "drains"));
    const auto found = tries_.find(event.tryNumber);
    if (found == tries_.end()) return;
    const std::vector<TryPart>& parts = found->second.request->parts;
    if (std::none_of(parts.begin(), parts.end(), [&](const TryPart& p) { return p.slice == event.slice; }))
        breach(Rule::asked, event, fmt::format("slice {} is none of this request's", event.slice));
    check(Rule::attempts);
    const int count = ++found->second.attempts[event.slice];
    if (!classOf(found->second).repeats) {
        check(Rule::once);
        if (count > 1 && found->second.turnedAway[event.slice] < count - 1)
            breach(Rule::once, event,
                   fmt::format("slice {}: sent again though it may have run", event.slice));
    }
    if (count > scenario_.maxAttempts)
        breach(Rule::attempts, event, fmt::format("slice {}: attempt number {}", event.slice, count));
}

void RulesChecker::expire(Millis now) {
    while (!due_.empty() && due_.begin()->first < now) {
        const auto [at, number] = *due_.begin();
        due_.erase(due_.begin());
        const auto found = tries_.find(number);
        if (found == tries_.end()) continue;
        const Open& open = found->second;
        if (open.finals > 0 || open.excused) continue;
        check(Rule::oneAnswer);
        RunEvent event;
        event.at = at;
        event.tryNumber = number;
        breach(Rule::oneAnswer, event, "no answer before its client's time was up");
    }
    while (!past_.empty() && past_.begin()->first < now) {
        tries_.erase(past_.begin()->second);
        past_.erase(past_.begin());
    }
}

// The run's end: everything owed by then has come due.
void RulesChecker::finish(Millis now) { expire(now + 1); }

}  // namespace beechpoint::emulator
