#include "emulator/host.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::emulator {

namespace {

constexpr Millis kNever = 1e300;
constexpr Millis kGrid = 50;         // of the capacity's steps while cold
constexpr double kWarmAfter = 0.25;  // by work: this share of what a warm host can do in the cold time
constexpr double kTiny = 1e-9;       // work: what rounding may leave of a task
constexpr std::size_t kSeen = 16;    // reports on their way at once; later ones push out the oldest

double speedOf(const HostKind& kind, const Draw& draw) {
    const Range& range = draw.unit(1) < kind.olderShare ? kind.olderSpeed : kind.speed;
    return draw.between(range.from, range.to, 0);
}

}  // namespace

HostModel::HostModel(const HostKind& kind, const CancelPolicy& policy, std::uint64_t seed,
                     std::uint64_t subject, Millis now, bool cold)
    : kind_(kind),
      policy_(policy),
      fails_(seed, Purpose::partFails, subject),
      noise_(seed, Purpose::reportNoise, subject),
      speed_(speedOf(kind, Draw(seed, Purpose::hostSpeed, subject))),
      now_(now),
      startedAt_(now),
      cold_(cold && kind.coldTime > 0) {
    const auto draw = [&](Purpose purpose, const Range& range) {
        return Draw(seed, purpose, subject).between(range.from, range.to, 0);
    };
    pauseEvery_ = draw(Purpose::pauseEvery, kind.pauseEvery);
    pauseLength_ = draw(Purpose::pauseLength, kind.pauseLength);
    nextPause_ = pauseLength_ > 0 && pauseEvery_ > pauseLength_
                     ? now + Draw(seed, Purpose::pausePhase, subject).between(0, pauseEvery_, 0)
                     : kNever;
    reportEvery_ = draw(Purpose::reportEvery, kind.reportEvery);
    reportDelay_ = draw(Purpose::reportDelay, kind.reportDelay);
    nextReport_ = now + Draw(seed, Purpose::reportPhase, subject).between(0, reportEvery_, 0);
    if (cold_) nextGrid_ = now + kGrid;
    warmth_ = cold_ ? kind_.coldFrom : 1;
}

double HostModel::warmth() const { return warmth_; }

double HostModel::capacity() const {
    if (!alive()) return 0;
    double factor = 1;
    for (const Slow& slow : slows_) factor = std::max(factor, slow.factor);
    return fullCapacity() * warmth_ / factor;
}

double HostModel::rate() const { return ratePerTask() * static_cast<double>(tasks_.size()); }

// The cores are shared evenly; a task alone has one core at most.
double HostModel::ratePerTask() const {
    if (tasks_.empty() || !alive()) return 0;
    if (now_ < pauseEnds_ || now_ < scriptedPauseEnds_) return 0;
    const double places = kind_.slots + kind_.waitingRoom;
    const double crowding = 1 - kind_.crowdingLoss * std::min(1.0, static_cast<double>(held()) / places);
    const double table = 1 - kind_.connectionTax * connections_ / kind_.connectionCap;
    const auto sharers =
        static_cast<double>(std::max<std::size_t>(tasks_.size(), static_cast<std::size_t>(kind_.cores)));
    return capacity() * crowding * table / sharers;
}

Millis HostModel::nextBoundary() const {
    Millis at = std::min({nextPause_, nextGrid_, nextReport_});
    if (pauseEnds_ > now_) at = std::min(at, pauseEnds_);
    if (scriptedPauseEnds_ > now_) at = std::min(at, scriptedPauseEnds_);
    for (const Slow& slow : slows_) at = std::min(at, slow.until);
    return at;
}

Millis HostModel::next() const {
    if (!alive()) return kNever;
    Millis at = nextBoundary();
    const double rate = ratePerTask();
    if (rate > 0) at = std::min(at, now_ + std::max(0.0, byTarget_.begin()->first - attained_) / rate);
    return std::max(at, now_);
}

void HostModel::passTo(Millis t) {
    const double each = ratePerTask() * (t - now_);
    attained_ += each;
    workDone_ += each * static_cast<double>(tasks_.size());
    now_ = t;
}

void HostModel::atBoundary() {
    if (nextPause_ <= now_) {
        pauseEnds_ = nextPause_ + pauseLength_;
        nextPause_ += pauseEvery_;
    }
    std::erase_if(slows_, [&](const Slow& slow) { return slow.until <= now_; });
    if (nextGrid_ <= now_) {
        nextGrid_ += kGrid;
        const double byTime = (now_ - startedAt_) / kind_.coldTime;
        // Never slower than evenly over the time; work can only make it faster.
        const double byWork =
            kind_.warmByWork ? workDone_ / (kWarmAfter * kind_.coldTime * fullCapacity()) : 0;
        warmth_ = std::min(1.0, kind_.coldFrom + (1 - kind_.coldFrom) * std::max(byTime, byWork));
        if (warmth_ >= 1) {
            cold_ = false;
            nextGrid_ = kNever;
            recent_.clear();
        }
    }
    if (nextReport_ <= now_) refreshReport();
}

void HostModel::refreshReport() {
    const auto noisy = [&](double value, std::uint64_t which) {
        return std::max(0.0, value * (1 + kind_.reportNoise * noise_.normal(reports_ * 3 + which)));
    };
    HostReport r;
    r.inflight = std::round(noisy(static_cast<double>(held()), 0));
    r.queue = std::round(noisy(static_cast<double>(waiting()), 1));
    r.qps = noisy(static_cast<double>(tally_.arrived - arrivedAtReport_) * 1000 / reportEvery_, 2);
    arrivedAtReport_ = tally_.arrived;
    ++reports_;
    seen_.push_back({now_ + reportDelay_, r});
    if (seen_.size() > kSeen) seen_.pop_front();
    nextReport_ += reportEvery_;
}

std::optional<HostReport> HostModel::report(Millis now) const {
    for (auto seen = seen_.rbegin(); seen != seen_.rend(); ++seen)
        if (seen->visibleAt <= now) return seen->report;
    return std::nullopt;
}

void HostModel::advance(Millis now, HostActions& out) {
    while (alive()) {
        const Millis at = next();
        if (at > now) break;
        passTo(std::max(at, now_));
        finishDue(out);
        atBoundary();
    }
    if (now > now_) passTo(now);
}

// ---- work

void HostModel::begin(PartTicket ticket, Millis work, bool own, bool cancelled) {
    const double target = attained_ + std::max(work, kTiny);
    tasks_[ticket] = {target, own, cancelled};
    byTarget_.insert({target, ticket});
    if (own) ++own_;
}

void HostModel::forget(PartTicket ticket) {
    const auto task = tasks_.find(ticket);
    byTarget_.erase({task->second.target, ticket});
    if (task->second.own) --own_;
    tasks_.erase(task);
}

void HostModel::finishDue(HostActions& out) {
    // Rounding must not leave a task unfinished for ever: what is left of it is less than can be told in
    // time.
    const double rate = ratePerTask();
    const double slack = kTiny + rate * std::abs(now_) * 1e-15;
    while (!byTarget_.empty() && byTarget_.begin()->first <= attained_ + slack) {
        const PartTicket ticket = byTarget_.begin()->second;
        const Task task = tasks_.at(ticket);
        forget(ticket);
        finish(ticket, task, out);
    }
    beginWaiting(out);
}

void HostModel::finish(PartTicket ticket, const Task& task, HostActions& out) {
    if (task.own) return;
    if (task.cancelled) {
        ++tally_.ranOn;
        return;
    }
    const bool failed = fails_.unit(tally_.served + tally_.failed) < kind_.errorRate;
    ++(failed ? tally_.failed : tally_.served);
    out.push_back({HostAction::Kind::ended, ticket, failed ? PartEnd::failed : PartEnd::done});
}

void HostModel::beginWaiting(HostActions& out) {
    while (!waiting_.empty() && inWork() < static_cast<std::size_t>(kind_.slots)) {
        const Waiting w = waiting_.front();
        waiting_.pop_front();
        if (!policy_.beginsOverdue && now_ >= w.until) {
            if (w.cancelled) {
                ++tally_.dropped;
                continue;
            }
            ++tally_.turnedAway;  // its query is over: it never runs, and is told so
            out.push_back({HostAction::Kind::ended, w.ticket, PartEnd::full});
            continue;
        }
        begin(w.ticket, w.work, false, w.cancelled);
    }
}

// What was sent to a cold host within overloadTime, against what it could do in that time as it is now.
bool HostModel::overloaded(Millis work) {
    if (!cold_ || kind_.overloadFactor <= 0) return false;
    recent_.emplace_back(now_, work);
    recentWork_ += work;
    while (recent_.front().first < now_ - kind_.overloadTime) {
        recentWork_ -= recent_.front().second;
        recent_.pop_front();
    }
    return recentWork_ > kind_.overloadFactor * capacity() * kind_.overloadTime;
}

void HostModel::offer(Millis now, PartTicket ticket, Millis work, Millis until, HostActions& out) {
    advance(now, out);
    if (!alive()) return;
    ++tally_.arrived;
    if (overloaded(work)) {
        ++tally_.lost;
        die(now, out);
        out.push_back({HostAction::Kind::fell, 0, PartEnd::failed});
        return;
    }
    if (state_ == State::draining || (inWork() >= static_cast<std::size_t>(kind_.slots) &&
                                      waiting_.size() >= static_cast<std::size_t>(kind_.waitingRoom))) {
        ++tally_.turnedAway;
        out.push_back({HostAction::Kind::ended, ticket, PartEnd::full});
        return;
    }
    waiting_.push_back({ticket, work, until, false});
    beginWaiting(out);
}

void HostModel::cancel(Millis now, PartTicket ticket, HostActions& out) {
    advance(now, out);
    if (const auto task = tasks_.find(ticket); task != tasks_.end()) {
        if (!policy_.stopsRunning) {
            task->second.cancelled = true;  // keeps its slot to the end
            return;
        }
        forget(ticket);
        ++tally_.dropped;
        return beginWaiting(out);
    }
    const auto waits =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting& w) { return w.ticket == ticket; });
    if (waits == waiting_.end()) return;  // it ended before the word came
    if (policy_.dropsWaiting) {
        ++tally_.dropped;
        waiting_.erase(waits);
    } else {
        waits->cancelled = true;
    }
}

bool HostModel::connect(Millis now, HostActions& out) {
    advance(now, out);
    if (!alive() || connections_ >= kind_.connectionCap) return false;
    ++connections_;
    if (kind_.handshakeWork > 0) begin(nextOwn_++, kind_.handshakeWork, true, false);
    return true;
}

void HostModel::disconnect(Millis now, HostActions& out) {
    advance(now, out);
    if (connections_ > 0) --connections_;
}

void HostModel::probe(Millis now, HostActions& out) {
    advance(now, out);
    if (alive() && kind_.probeWork > 0) begin(nextOwn_++, kind_.probeWork, true, false);
}

// ---- what happens to it

void HostModel::drain(Millis now, HostActions& out) {
    advance(now, out);
    if (alive()) state_ = State::draining;
}

void HostModel::die(Millis now, HostActions& out) {
    advance(now, out);
    if (!alive()) return;
    state_ = State::dead;
    tally_.lost += held();
    tasks_.clear();
    byTarget_.clear();
    own_ = 0;
    waiting_.clear();
    recent_.clear();
    connections_ = 0;
}

void HostModel::slow(Millis now, double factor, Millis until, HostActions& out) {
    advance(now, out);
    if (until > now) slows_.push_back({factor, until});
}

void HostModel::pause(Millis now, Millis until, HostActions& out) {
    advance(now, out);
    scriptedPauseEnds_ = std::max(scriptedPauseEnds_, until);
}

void HostModel::policy(Millis now, const CancelPolicy& policy, HostActions& out) {
    advance(now, out);
    policy_ = policy;
}

}  // namespace beechpoint::emulator
