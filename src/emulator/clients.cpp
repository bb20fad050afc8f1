#include "emulator/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace beechpoint::emulator {

namespace {

constexpr Millis kNever = 1e300;
constexpr Millis kWorthATry = 100;  // nobody asks again with less time left
constexpr Millis kSlack = 50;       // an answer on its way as the time ends is still looked at

}  // namespace

std::string Try::id() const { return fmt::format("q{:x}", number); }

std::uint64_t tryNumber(std::string_view id) {
    if (id.size() < 2 || id.front() != 'q') return 0;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data() + 1, id.data() + id.size(), number, 16);
    return error == std::errc{} && end == id.data() + id.size() ? number : 0;
}

ClientDesk::ClientDesk(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      seed_(seed),
      known_(static_cast<std::size_t>(scenario.gathererCount()), false),
      turn_(scenario.sites.size(), 0) {
    planArrivals();
}

// Each class has arrivals of its own: the k-th where the integral of its rate reaches k plus a random part of
// one. That keeps the load of every few seconds to the script, and leaves it random from one query to the
// next.
void ClientDesk::planArrivals() {
    double shares = 0;
    for (const ClassSpec& c : scenario_.classes) shares += c.share;
    constexpr Millis kStep = 10;
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
        const double part = scenario_.classes[i].share / shares;
        const Draw draw(seed_, Purpose::arrival, i);
        double sum = 0;
        std::uint64_t k = 0;
        double target = draw.unit(0);
        for (Millis at = 0; at < scenario_.length; at += kStep) {
            const Millis to = std::min(at + kStep, scenario_.length);
            const double more = scenario_.queriesBetween(at, to) * part;
            while (more > 0 && sum + more > target) {
                QueryRecord q;
                q.at = at + (to - at) * std::max(0.0, target - sum) / more;
                q.klass = static_cast<int>(i);
                queries_.push_back(q);
                ++k;
                target = static_cast<double>(k) + draw.unit(k);
            }
            sum += more;
        }
    }
    std::stable_sort(queries_.begin(), queries_.end(),
                     [](const QueryRecord& a, const QueryRecord& b) { return a.at < b.at; });
    // Clients stand where gatherers do; keys follow a power law, which its inverse gives near enough.
    const double bend = 1 / std::max(1e-6, 1 - std::min(scenario_.clients.keySkew, 0.99));
    for (std::size_t n = 0; n < queries_.size(); ++n) {
        queries_[n].site = scenario_.siteOfGatherer(
            static_cast<int>(Draw(seed_, Purpose::site, n).unit(0) * scenario_.gathererCount()));
        queries_[n].key = static_cast<std::uint64_t>(std::pow(Draw(seed_, Purpose::key, n).unit(0), bend) *
                                                     scenario_.clients.keys);
    }
}

double ClientDesk::unitOf(std::uint64_t query, Purpose purpose) const {
    return Draw(seed_, purpose, query).unit(0);
}

// The same key needs the same slices: they follow from it and the class alone.
std::vector<TryPart> ClientDesk::partsOf(std::uint64_t query) const {
    const QueryRecord& q = queries_.at(query);
    const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(q.klass)];
    const int slices = scenario_.slices();
    const auto klass = static_cast<std::uint64_t>(q.klass);
    const Draw draw(seed_, Purpose::partCount, q.key);
    int count = c.partsFrom + static_cast<int>(draw.unit(klass) * (c.partsTo - c.partsFrom + 1));
    if (c.partsShare > 0) count = std::max(c.partsFrom, static_cast<int>(std::lround(c.partsShare * slices)));
    count = std::clamp(count, 1, slices);
    const int first = static_cast<int>(draw.unit(1000) * slices);
    std::vector<TryPart> parts;
    double sum = 0;
    for (int i = 0; i < count; ++i) {
        const double weight =
            Draw(seed_, Purpose::partShare, q.key).between(0.5, 1.5, static_cast<std::uint64_t>(i));
        parts.push_back({(first + i) % slices, weight});
        sum += weight;
    }
    for (TryPart& part : parts) part.share /= sum;
    return parts;
}

Millis ClientDesk::work(std::uint64_t query, int slice) const {
    const Range& range = scenario_.classes[static_cast<std::size_t>(queries_.at(query).klass)].work;
    return Draw(seed_, Purpose::partWork, query)
        .between(range.from, range.to, static_cast<std::uint64_t>(slice));
}

// ---- the front

void ClientDesk::gathererUp(int gatherer) {
    known_.at(static_cast<std::size_t>(gatherer)) = true;
    std::erase_if(notices_, [&](const auto& notice) { return notice.second == gatherer; });
}

void ClientDesk::gathererDown(Millis now, int gatherer) {
    const Range& range = scenario_.clients.frontNotice;
    const double notice = Draw(seed_, Purpose::frontNotice, static_cast<std::uint64_t>(gatherer))
                              .between(range.from, range.to, deaths_++);
    notices_.insert({now + notice, gatherer});
}

void ClientDesk::gathererLeaves(int gatherer) { known_.at(static_cast<std::size_t>(gatherer)) = false; }

// The gatherers of the client's site take turns; where none is known to be up, all others do.
int ClientDesk::pick(int site) {
    std::vector<int> near, all;
    for (int g = 0; g < static_cast<int>(known_.size()); ++g) {
        if (!known_[static_cast<std::size_t>(g)]) continue;
        all.push_back(g);
        if (scenario_.siteOfGatherer(g) == site) near.push_back(g);
    }
    const std::vector<int>& choice = near.empty() ? all : near;
    if (choice.empty()) return -1;
    int& turn = turn_[static_cast<std::size_t>(site)];
    return choice[static_cast<std::size_t>(turn++) % choice.size()];
}

// ---- tries

Millis ClientDesk::next() const {
    Millis at = nextQuery_ < queries_.size() ? queries_[nextQuery_].at : kNever;
    if (!expiries_.empty()) at = std::min(at, expiries_.begin()->first);
    if (!retries_.empty()) at = std::min(at, retries_.begin()->first);
    if (!notices_.empty()) at = std::min(at, notices_.begin()->first);
    return at;
}

void ClientDesk::advance(Millis now, ClientActions& out) {
    while (!notices_.empty() && notices_.begin()->first <= now) {
        known_[static_cast<std::size_t>(notices_.begin()->second)] = false;
        notices_.erase(notices_.begin());
    }
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const TryPtr t = out_.at(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
        out_.erase(t->number);
        out.left.push_back(t);
        over(now, *t, Result::failed, now);
    }
    while (!retries_.empty() && retries_.begin()->first <= now) {
        const std::uint64_t query = retries_.begin()->second;
        retries_.erase(retries_.begin());
        send(now, query, true, out);
    }
    while (nextQuery_ < queries_.size() && queries_[nextQuery_].at <= now)
        send(now, nextQuery_++, false, out);
}

void ClientDesk::send(Millis now, std::uint64_t query, bool repeat, ClientActions& out) {
    QueryRecord& q = queries_[query];
    const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(q.klass)];
    ++q.tries;
    const int gatherer = pick(q.site);
    if (gatherer < 0) {  // nobody is there to ask
        q.result = Result::failed;
        q.took = now - q.at;
        return;
    }
    auto t = std::make_shared<Try>();
    t->number = ++lastTry_;
    t->query = query;
    t->gatherer = gatherer;
    t->klass = q.klass;
    t->repeat = repeat;
    t->key = fmt::format("{:x}", q.key);
    t->sentAt = now;
    const Range& share = scenario_.clients.tryShare;
    const double patience = Draw(seed_, Purpose::tryTime, query)
                                .between(share.from, share.to, static_cast<std::uint64_t>(q.tries));
    t->expires = std::min(now + patience * c.giveUp, q.at + c.giveUp);
    t->parts = partsOf(query);
    out_[t->number] = t;
    expiries_.insert({t->expires + kSlack, t->number});
    out.sent.push_back(std::move(t));
}

bool ClientDesk::ended(Millis now, std::uint64_t number, TryEnd end, Millis retryAfter, double share) {
    const auto found = out_.find(number);
    if (found == out_.end()) return false;
    const TryPtr t = found->second;
    out_.erase(found);
    expiries_.erase({t->expires + kSlack, number});
    QueryRecord& q = queries_[t->query];
    if (end == TryEnd::answered) {
        const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(q.klass)];
        q.took = now - q.at;
        q.result = q.took <= c.aim ? Result::inAim : Result::late;
        q.earned =
            (q.result == Result::inAim ? 1 : c.lateWorth) * (share < 1 - 1e-6 ? c.shortWorth * share : 1);
        return true;
    }
    const bool honours = unitOf(t->query, Purpose::honours) < scenario_.clients.honourShare;
    over(now, *t, end == TryEnd::refused ? Result::refused : Result::failed,
         honours ? now + retryAfter : now);
    return true;
}

void ClientDesk::lost(Millis now, std::uint64_t number) { ended(now, number, TryEnd::failed, 0); }

void ClientDesk::lostAt(Millis now, int gatherer) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, t] : out_)
        if (t->gatherer == gatherer) numbers.push_back(number);
    for (const std::uint64_t number : numbers) lost(now, number);
}

// A try that did not help: the client may ask once more.
void ClientDesk::over(Millis now, const Try& t, Result result, Millis earliest) {
    QueryRecord& q = queries_[t.query];
    const Clients& clients = scenario_.clients;
    q.result = result;
    q.took = now - q.at;
    if (q.tries > 1 || unitOf(t.query, Purpose::retry) >= clients.retryShare) return;
    const Millis wait =
        Draw(seed_, Purpose::retryWait, t.query).between(clients.retryWait.from, clients.retryWait.to, 0);
    const Millis at = std::max(now + wait, earliest);
    const ClassSpec& c = scenario_.classes[static_cast<std::size_t>(q.klass)];
    if (at + kWorthATry < q.at + c.giveUp) retries_.insert({at, t.query});
}

TryPtr ClientDesk::find(std::uint64_t number) const {
    const auto found = out_.find(number);
    return found == out_.end() ? nullptr : found->second;
}

}  // namespace beechpoint::emulator
