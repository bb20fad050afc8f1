#include "core/exchange.hpp"

#include <algorithm>

namespace beechpoint {

namespace {

constexpr Millis kEndMargin = 30;  // the module ends what is not in by so long before its time
constexpr Millis kIdRest = 3000;   // an id is new with every request: one used so lately is somebody else's
constexpr Millis kLookAgain =
    50;  // a client that has left is not served 300 ms later, however late the loop is
constexpr double kShareSlack = 1e-4;  // sums of shares may fall so short, as the rules allow

Counter counterOf(Outcome outcome) {
    switch (outcome) {
        case Outcome::served:
            return Counter::attemptsServed;
        case Outcome::error:
            return Counter::attemptsError;
        case Outcome::turnedAway:
            return Counter::attemptsTurnedAway;
        case Outcome::timedOut:
            return Counter::attemptsTimedOut;
        case Outcome::noConnection:
            return Counter::attemptsNoConnection;
        case Outcome::connectionLost:
            return Counter::attemptsConnectionLost;
        case Outcome::cancelled:
            return Counter::attemptsCancelled;
        case Outcome::notSent:
            break;
    }
    return Counter::attemptsNotSent;
}

}  // namespace

Exchange::Exchange(const coordinator::Settings& settings, std::uint64_t seed, const Clock& clock,
                   Counters& counters, Logger& log, std::function<void(Millis)> wake)
    : settings_(settings),
      clock_(clock),
      counters_(counters),
      log_(log),
      wake_(std::move(wake)),
      coordinator_(settings, seed, toNanos(clock.now())) {
    for (const auto& c : settings_.classes) figures_.know(c.name);
}

RequestId Exchange::nextId() {
    // Ids come back after 2^32 of them; one still held is passed over, and 0 means none.
    do ++lastId_;
    while (lastId_ == 0 || queries_.contains(lastId_) || queryOf_.contains(lastId_));
    return lastId_;
}

const coordinator::ClassSettings* Exchange::classOf(const std::string& name) const {
    const auto found = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                    [&](const auto& c) { return c.name == name; });
    return found == settings_.classes.end() ? nullptr : &*found;
}

// ---- client side

Ticket Exchange::take(Request request, Done done, Left left) {
    counters_.add(Counter::queriesTaken);
    for (; !past_.empty() && past_.front().first <= clock_.now(); past_.pop_front())
        ids_.erase(past_.front().second);
    const std::size_t more = 1 + request.parts.size();
    Figures::Held place = figures_.taken(request.klass);
    const auto refuse = [&](Final::Why why, Counter counter) {
        counters_.add(counter);
        Final final;
        final.kind = why == Final::Why::duplicateId ? Final::Kind::failed : Final::Kind::refused;
        final.why = why;
        final.retryAfter =
            why == Final::Why::openCap && settings_.retryAfter ? fromNanos(settings_.maxRetryAfter) : 0;
        final.place = std::move(place);
        done(final);
        return Ticket{0};
    };
    if (ids_.contains(request.id)) return refuse(Final::Why::duplicateId, Counter::badRequests);
    if (settings_.openCap > 0 && open_ + more > static_cast<std::size_t>(settings_.openCap * share_))
        return refuse(Final::Why::openCap, Counter::refusedAtCap);

    const RequestId id = nextId();
    Live& live = queries_[id];
    live.request = std::make_shared<const Request>(std::move(request));
    live.done = std::move(done);
    live.left = std::move(left);
    live.lookedAt = clock_.now() - kLookAgain;
    live.place = std::move(place);
    const Request& r = *live.request;
    live.aimAt = r.expires;
    if (const auto* klass = classOf(r.klass))
        live.aimAt = std::min(live.aimAt, clock_.now() + fromNanos(klass->aim));
    ids_.insert(r.id);
    overdue_.insert({r.expires, id});
    open_ += more;

    coordinator::QueryArrived arrived;
    arrived.id = id;
    arrived.number = id;
    arrived.klass = r.klass;
    arrived.repeat = r.repeat;
    arrived.expires = toNanos(r.expires);
    arrived.parts = static_cast<int>(r.parts.size());
    arrived.key = r.key;
    events_.emplace_back(std::move(arrived));
    for (const RequestPart& part : r.parts) {
        counters_.add(Counter::partsTaken);
        const RequestId partId = nextId();
        queryOf_[partId] = id;
        live.parts.push_back({partId, part.slice, part.share, false, 0, {}});
        events_.emplace_back(coordinator::PartArrived{partId, id, part.slice, part.share});
    }
    pump();
    return id;
}

void Exchange::gone(Ticket ticket) {
    const auto found = queries_.find(ticket);
    if (found == queries_.end()) return;
    counters_.add(Counter::clientsGone);
    counters_.add(found->second.sent ? Counter::goneAfterSent : Counter::goneBeforeSent);
    found->second.done = nullptr;  // nothing is owed any more
    finish(ticket, {});
    give(coordinator::QueryGone{ticket});
}

// Ends a query, with its one final answer where a client still waits.
void Exchange::finish(RequestId query, Final final) {
    const auto found = queries_.find(query);
    if (found == queries_.end()) return;  // it had its answer already
    Live live = std::move(found->second);
    queries_.erase(found);
    past_.emplace_back(clock_.now() + kIdRest, live.request->id);
    overdue_.erase({live.request->expires, query});
    open_ -= 1 + live.parts.size();
    for (const LivePart& part : live.parts) queryOf_.erase(part.id);
    if (!live.done) return;  // its place is left with it
    final.place = std::move(live.place);
    if (final.kind == Final::Kind::answered)
        for (const LivePart& part : live.parts)
            if (part.in) final.parts.push_back({part.slice, part.value});
    counters_.add(final.kind == Final::Kind::refused  ? Counter::refused
                  : final.kind == Final::Kind::failed ? Counter::failed
                  : final.whole                       ? Counter::answeredWhole
                                                      : Counter::answeredShort);
    live.done(final);
}

// Where none of its parts was sent, or the class is safe, coming again is harmless; else nothing is promised.
void Exchange::endAll() {
    while (!queries_.empty()) {
        const auto& [id, live] = *queries_.begin();
        const RequestId query = id;
        const coordinator::ClassSettings* klass = classOf(live.request->klass);
        Final final;
        final.kind = !live.sent || (klass && klass->effect == coordinator::Effect::safe)
                         ? Final::Kind::refused
                         : Final::Kind::failed;
        finish(query, std::move(final));
        give(coordinator::QueryGone{query});
    }
}

// ---- server side

Exchange::LivePart* Exchange::partOf(RequestId part) {
    const auto query = queryOf_.find(part);
    if (query == queryOf_.end()) return nullptr;
    std::vector<LivePart>& parts = queries_.at(query->second).parts;
    return &*std::find_if(parts.begin(), parts.end(), [&](const auto& p) { return p.id == part; });
}

// Its host was drained, its time ran out or its query ended: then it must not be sent any more.
bool Exchange::live(AttemptId attempt, const Out& out) const {
    return queryOf_.contains(attempt.part) && up_.contains(out.server) && clock_.now() < out.until;
}

bool Exchange::wanted(AttemptId attempt) {
    lookForLeaving(attempt.part);
    const auto found = out_.find(attempt);
    return found != out_.end() && live(attempt, found->second);
}

// Its connection tells of its end in the loop's next turn; what goes out in this one must not wait for that.
void Exchange::lookForLeaving(RequestId part) {
    const auto query = queryOf_.find(part);
    if (query == queryOf_.end()) return;
    Live& live = queries_.at(query->second);
    if (!live.left || clock_.now() - live.lookedAt < kLookAgain) return;
    live.lookedAt = clock_.now();
    if (live.left()) gone(query->second);
}

bool Exchange::claim(AttemptId attempt) {
    lookForLeaving(attempt.part);
    const auto found = out_.find(attempt);
    if (found == out_.end()) return false;  // cancelled, or timed out
    if (!live(attempt, found->second)) {
        conclude(found, Outcome::notSent, {});
        return false;
    }
    if (!std::exchange(found->second.claimed, true)) counters_.add(Counter::attemptsSent);
    return true;
}

void Exchange::written(AttemptId attempt) {
    counters_.add(Counter::attemptsWritten);
    if (const auto query = queryOf_.find(attempt.part); query != queryOf_.end())
        queries_.at(query->second).sent = true;
}

void Exchange::ended(AttemptId attempt, Outcome outcome, std::string_view value, Load load) {
    const auto found = out_.find(attempt);
    if (found == out_.end()) return;  // it had its one outcome: this came late
    if (outcome == Outcome::served)
        if (LivePart* part = partOf(attempt.part); part && !part->in) {
            part->in = true;
            part->value = value;
        }
    conclude(found, outcome, std::move(load));
}

void Exchange::conclude(OutMap::iterator found, Outcome outcome, Load load) {
    const AttemptId id = found->first;
    const Out out = std::move(found->second);
    out_.erase(found);
    timeouts_.erase({out.until, id});
    counters_.add(counterOf(outcome));
    const LivePart* part = partOf(id.part);
    coordinator::AttemptEnded event;
    event.id = id.part;
    event.attempt = id.number;
    event.server = out.server;
    event.outcome = outcome;
    event.took = toNanos(clock_.now() - out.sentAt);
    event.partOver = !part || part->in;
    event.load = std::move(load);
    give(std::move(event));
}

void Exchange::probed(const std::string& server, Outcome outcome, Millis took, Load load) {
    if (hostProbes_) hostProbes_->saw(server, outcome == Outcome::served || outcome == Outcome::turnedAway);
    give(coordinator::ProbeEnded{server, outcome, toNanos(took), std::move(load)});
}

void Exchange::list(const HostList& list) {
    counters_.add(Counter::listUpdates);
    if (list.kind != coordinator::ListKind::changes) {
        up_.clear();
        listed_.clear();
    }
    coordinator::ServerList event;
    event.kind = list.kind;
    for (const HostEntry& host : list.entries) {
        if (host.entry.state == coordinator::ServerState::up)
            up_.insert(host.entry.id);
        else
            up_.erase(host.entry.id);
        if (host.entry.state == coordinator::ServerState::removed)
            listed_.erase(host.entry.id);
        else
            listed_.insert(host.entry.id);
        event.entries.push_back(host.entry);
    }
    hosts_->update(list);
    give(std::move(event));
}

std::size_t Exchange::hostsDown() const {
    return static_cast<std::size_t>(std::count_if(
        listed_.begin(), listed_.end(), [&](const std::string& id) { return coordinator_.avoids(id); }));
}

// ---- the module

void Exchange::give(coordinator::Event event) {
    events_.push_back(std::move(event));
    pump();
}

void Exchange::pump() {
    if (pumping_) return;  // carried out by the call further up, in order
    pumping_ = true;
    std::vector<coordinator::Action> actions;
    while (!events_.empty()) {
        const coordinator::Event event = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        coordinator_.handle(toNanos(clock_.now()), event, actions);
        for (const coordinator::Action& action : actions)
            std::visit([this](const auto& a) { carry(a); }, action);
    }
    pumping_ = false;
    hosts_->flush();
    rearm();
}

void Exchange::carry(const coordinator::Send& a) {
    LivePart* part = partOf(a.id);
    if (!part) {
        log_.seldom("send", "the module sent part {} of a query that is over", field("part", a.id));
        return;
    }
    const Live& live = queries_.at(queryOf_.at(a.id));
    const AttemptId id{a.id, part->attempts++};
    const Millis now = clock_.now();
    // No attempt outlives its query.
    const Millis until =
        std::min(a.within > 0 ? now + fromNanos(a.within) : live.request->expires, live.request->expires);
    const auto out = out_.emplace(id, Out{a.server, now, until, false}).first;
    if (id.number >= settings_.maxAttempts) {
        conclude(out, Outcome::notSent, {});
        return;
    }
    timeouts_.insert({until, id});
    hosts_->send({id, a.server, live.request, part->slice, until});
}

void Exchange::carry(const coordinator::Cancel& a) {
    const AttemptId id{a.id, a.attempt};
    const auto found = out_.find(id);
    if (found == out_.end()) return;
    hosts_->abandon(id);
    conclude(found, Outcome::cancelled, {});
}

void Exchange::carry(const coordinator::Answer& a) {
    const auto found = queries_.find(a.id);
    if (found == queries_.end()) return;
    const Live& live = found->second;
    double in = 0, all = 0;
    for (const LivePart& part : live.parts) {
        all += part.share;
        if (part.in) in += part.share;
    }
    const bool every = std::all_of(live.parts.begin(), live.parts.end(), [](const auto& p) { return p.in; });
    const coordinator::ClassSettings* klass = classOf(live.request->klass);
    Final final;
    final.kind = Final::Kind::answered;
    final.whole = a.whole && (every || in >= klass->completeFrom * all - kShareSlack);
    // Guards the rule on honest answers, whatever the module says: too little is no answer at all.
    if (!every && in < klass->leastShare * all - kShareSlack) {
        log_.seldom("short answer", "query {} had too few parts in to be answered",
                    field("query", live.request->id));
        final.kind = Final::Kind::failed;
    }
    finish(a.id, std::move(final));
}

void Exchange::carry(const coordinator::Refuse& a) {
    Final final;
    final.kind = Final::Kind::refused;
    final.why = whyEnded(a.id);
    final.retryAfter = fromNanos(a.retryAfter);
    finish(a.id, std::move(final));
}

void Exchange::carry(const coordinator::Fail& a) {
    Final final;
    final.why = whyEnded(a.id);
    finish(a.id, std::move(final));
}

// The module names no reason. A query that it ended with parts still out, or at the very end of its time, had
// run out of time; any other was turned away or had failed.
Final::Why Exchange::whyEnded(RequestId query) const {
    const auto found = queries_.find(query);
    if (found == queries_.end()) return Final::Why::decided;
    const bool waiting =
        std::any_of(found->second.parts.begin(), found->second.parts.end(), [&](const LivePart& p) {
            const auto out = out_.lower_bound({p.id, 0});
            return out != out_.end() && out->first.part == p.id;
        });
    const bool tried = std::any_of(found->second.parts.begin(), found->second.parts.end(),
                                   [](const LivePart& p) { return p.attempts > 0; });
    const bool atEnd = clock_.now() + kEndMargin >= found->second.aimAt;
    return waiting || (tried && atEnd) ? Final::Why::deadline : Final::Why::decided;
}

void Exchange::carry(const coordinator::SetTimer& a) { timers_.emplace(fromNanos(a.at), a.mark); }

void Exchange::carry(const coordinator::Probe& a) {
    if (hostProbes_ && hostProbes_->away(a.server)) {
        counters_.add(Counter::probesSpared);
        return give(coordinator::ProbeEnded{a.server, Outcome::noConnection, 0, {}});
    }
    counters_.add(Counter::probesSent);
    hosts_->probe(a.server);
}

void Exchange::carry(const coordinator::Log& a) { log_.info("{}", field("decision", a.text)); }

// ---- time

void Exchange::tick() {
    const Millis now = clock_.now();
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const AttemptId id = timeouts_.begin()->second;
        hosts_->abandon(id);
        conclude(out_.find(id), Outcome::timedOut, {});
    }
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const std::int64_t mark = timers_.begin()->second;
        timers_.erase(timers_.begin());
        give(coordinator::TimerDue{mark});
    }
    // The module ends each query well before its time is up. Should it ever not, the client still gets one
    // answer, and the module is told that the query is gone.
    while (!overdue_.empty() && overdue_.begin()->first <= now) {
        const RequestId id = overdue_.begin()->second;
        log_.seldom("overdue", "query {} was ended by the exchange",
                    field("query", queries_.at(id).request->id));
        Final final;
        final.why = Final::Why::deadline;
        finish(id, std::move(final));
        give(coordinator::QueryGone{id});
    }
    rearm();
}

void Exchange::rearm() {
    Millis next = 1e300;
    if (!timeouts_.empty()) next = std::min(next, timeouts_.begin()->first);
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    if (!overdue_.empty()) next = std::min(next, overdue_.begin()->first);
    if (next < 1e300) wake_(next);
}

}  // namespace beechpoint
