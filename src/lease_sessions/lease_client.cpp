#include "lease_sessions/lease_client.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::lease_sessions {

namespace {
constexpr Millis kAgain = 150;    // a request is sent again, with jitter
constexpr Millis kGiveUp = 8000;  // and its outcome is called not known
constexpr Millis kSoon = 30;      // two that name each other must make no storm
constexpr std::size_t kRenewalsOut = 8;
}  // namespace

LeaseClient::LeaseClient(Times times, std::string self, ProcessIncarnation processIncarnation,
                         std::vector<std::string> members, std::uint64_t seed, Millis now, bool willing)
    : times_(times),
      self_(std::move(self)),
      processIncarnation_(processIncarnation),
      members_(std::move(members)),
      draw_(seed),
      renewAt_(now),
      willing_(willing) {
    turn_ = draw_.below(members_.size());
}
const std::string& LeaseClient::target() {
    if (leader_.empty() && !members_.empty()) leader_ = members_[turn_++ % members_.size()];
    return leader_;
}
void LeaseClient::noLeader(const std::string& told) { leader_ = told == leader_ ? std::string() : told; }

std::optional<std::uint64_t> LeaseClient::mayAct(Millis now, const std::string& singletonRole) const {
    const auto found = held_.find(singletonRole);
    if (found == held_.end() || !inSession(now) || closing_) return std::nullopt;
    return found->second;
}

std::uint64_t LeaseClient::ask(Command c) {
    c.member = self_, c.processIncarnation = processIncarnation_;
    requests_.push_back({++handle_, c, -1, -1e300, false});
    return handle_;
}
std::uint64_t LeaseClient::want(const std::string& singletonRole) {
    Command c;
    c.op = Op::want, c.singletonRole = singletonRole;
    return ask(c);
}
std::uint64_t LeaseClient::take(const std::string& singletonRole) {
    Command c;
    c.op = Op::grant, c.singletonRole = singletonRole;
    return ask(c);
}
std::uint64_t LeaseClient::giveUp(const std::string& singletonRole, const std::string& to) {
    Command c;
    c.op = to.empty() ? Op::giveUp : Op::hand, c.singletonRole = singletonRole, c.to = to;
    if (const auto h = held_.find(singletonRole); h != held_.end()) {
        c.fencingToken = h->second;
        done_[singletonRole] = h->second;  // from here on it does not act on it, whatever a late word says
        held_.erase(h);
    }
    return ask(c);
}
// All that was held is void: another may hold it by now. What was given up stays given up: its request may still be on its
// way, and the session may be opened anew under the same number while the ledger has not heard of either.
void LeaseClient::drop(Millis) {
    session_ = 0;
    closing_ = false;
    until_ = -1e300;
    held_.clear();
    sent_.clear();
}

// A word of a grant, however it came. What was given up under that number or a later one stays given up: the word may have
// been on its way for long, and another may hold the duty by now.
void LeaseClient::hold(const std::string& singletonRole, std::uint64_t fencingToken) {
    if (const auto done = done_.find(singletonRole); done != done_.end() && fencingToken <= done->second) {
        // The ledger has not heard of it, and nobody else can have the duty: where the request came to nothing, it is made anew.
        if (std::none_of(requests_.begin(), requests_.end(), [&](const Request& r) {
                return r.command.singletonRole == singletonRole &&
                       (r.command.op == Op::giveUp || r.command.op == Op::hand);
            })) {
            Command c;
            c.op = Op::giveUp, c.singletonRole = singletonRole, c.fencingToken = fencingToken;
            ask(c);
        }
        return;
    }
    std::uint64_t& held = held_[singletonRole];
    held = std::max(held, fencingToken);
}

void LeaseClient::sendFront(Millis now, std::vector<Message>& out) {
    if (requests_.empty()) return;
    Request& r = requests_.front();
    if (now < r.sentAt + kAgain) return;
    if (r.since < 0) {
        r.since = now;
        r.command.number = ++number_;
        if (r.command.op != Op::open && r.command.op != Op::want) r.command.session = session_;
        if (r.command.op == Op::open) openSent_ = now;
    } else if (now > r.since + kGiveUp && r.command.op != Op::open) {
        outcomes_.push_back({r.handle, {}, false});
        requests_.pop_front();
        return sendFront(now, out);
    } else if (!std::exchange(r.told, false)) {
        leader_.clear();  // not a word from whom it was sent to: another is asked
    }
    r.sentAt = now + draw_() * kAgain / 3;
    out.push_back({self_, target(), processIncarnation_, Ask{r.command}});
}
void LeaseClient::renew(Millis now, std::vector<Message>& out) {
    if (now < renewAt_ || session_ == 0) return;
    renewAt_ = now + times_.ttl / 4 * (0.9 + 0.2 * draw_());
    if (missed_ >= 2) leader_.clear(), missed_ = 0;  // two in a row that it did not answer: ask another
    ++missed_;
    sent_[++renewals_] = now;
    while (sent_.size() > kRenewalsOut) sent_.erase(sent_.begin());
    out.push_back({self_, target(), processIncarnation_, Renew{session_, renewals_}});
}

void LeaseClient::advance(Millis now, std::vector<Message>& out) {
    if (session_ != 0 && now >= until_) {
        drop(now);
        if (!leaving_) leader_.clear();
    }
    if (session_ == 0 && willing_ && !leaving_ &&
        std::none_of(requests_.begin(), requests_.end(), [](auto& r) { return r.command.op == Op::open; }) &&
        now >= silentUntil_) {
        Command c;
        c.op = Op::open;
        ask(c);
        // Before the others, but not before one that was sent: requests have their effect in the order of their numbers.
        auto first = requests_.begin();
        while (first != std::prev(requests_.end()) && first->since >= 0) ++first;
        std::rotate(first, std::prev(requests_.end()), requests_.end());
    }
    sendFront(now, out);
    if (!closing_) renew(now, out);
}
Millis LeaseClient::next() const {
    Millis at = 1e300;
    if (session_ != 0) at = std::min(until_, closing_ ? until_ : renewAt_);
    if (session_ == 0 && willing_ && !leaving_) at = std::min(at, silentUntil_);
    if (!requests_.empty()) at = std::min(at, requests_.front().sentAt + kAgain);
    return at;
}
void LeaseClient::leave(Millis now, std::vector<Message>& out) {
    if (leaving_) return;
    leaving_ = true;
    held_.clear();
    // Who asked is told: some of them may be settled yet. What was to be given up ends with the session.
    for (const Request& r : requests_) outcomes_.push_back({r.handle, {}, false});
    requests_.clear();
    if (session_ == 0) return;
    closing_ = true;
    Command c;
    c.op = Op::close;
    ask(c);
    sendFront(now, out);
}

void LeaseClient::receive(Millis now, const Message& m, std::vector<Message>& out) {
    // Not to this life: said before it began.
    const bool mine = std::visit(
        [&](const auto& body) {
            if constexpr (requires { body.to; })
                return body.to == processIncarnation_;
            else
                return false;
        },
        m.body);
    if (!mine) return;
    if (const auto* renewed = std::get_if<Renewed>(&m.body)) {
        if (renewed->session != session_ || session_ == 0) return;
        missed_ = 0;
        if (renewed->verdict == Verdict::no) {  // it is asked who was named, soon: the lease runs
            noLeader(renewed->leader);
            renewAt_ = std::min(renewAt_, now + kSoon);
            return;
        }
        const auto sent = sent_.find(renewed->number);
        if (sent == sent_.end()) return;
        if (renewed->verdict == Verdict::gone) {
            drop(now);
            return advance(now, out);
        }
        until_ = std::max(until_, sent->second + times_.ttl * (1 - times_.drift));
        leader_ = m.from;
        sent_.erase(sent_.begin(), std::next(sent));
        if (closing_ || now >= until_) return;
        for (const auto& [singletonRole, fencingToken] : renewed->held) hold(singletonRole, fencingToken);
        return;
    }
    if (const auto* granted = std::get_if<Granted>(&m.body)) {
        if (granted->session == session_ && inSession(now) && !closing_)
            hold(granted->singletonRole, granted->fencingToken);
        return;
    }
    const auto* answer = std::get_if<Answer>(&m.body);
    if (answer == nullptr || requests_.empty() || requests_.front().command.number != answer->number) return;
    Request& r = requests_.front();
    if (answer->leader != m.from) {  // not the leader
        noLeader(answer->leader);
        r.told = !answer->leader.empty();
        if (!answer->leader.empty()) r.sentAt = std::min(r.sentAt, now + kSoon - kAgain);
        return sendFront(now, out);
    }
    leader_ = m.from;
    const Command c = r.command;
    const std::uint64_t handle = r.handle;
    requests_.pop_front();
    if (c.op == Op::open) {
        if (answer->result.verdict == Verdict::yes) {
            session_ = answer->result.session;
            until_ = openSent_ + times_.ttl * (1 - times_.drift);
            renewAt_ = now;
            sent_.clear();
        } else {
            silentUntil_ = now + times_.ttl / 8 * (0.8 + 0.4 * draw_());
        }
    } else {
        outcomes_.push_back({handle, answer->result, true});
        if (c.op == Op::close) drop(now);
        if (c.op == Op::grant && answer->result.verdict == Verdict::yes &&
            answer->result.session == session_ && inSession(now) && !closing_)
            hold(c.singletonRole, answer->result.fencingToken);
        if (answer->result.verdict == Verdict::gone && c.session == session_ && session_ != 0) drop(now);
    }
    advance(now, out);
}

}  // namespace beechpoint::lease_sessions
