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
      holdsRoles_(willing) {
    nextMember_ = draw_.below(members_.size());
}
const std::string& LeaseClient::target() {
    if (leader_.empty() && !members_.empty()) leader_ = members_[nextMember_++ % members_.size()];
    return leader_;
}
void LeaseClient::redirectTo(const std::string& told) { leader_ = told == leader_ ? std::string() : told; }

std::optional<std::uint64_t> LeaseClient::mayAct(Millis now, const std::string& singletonRole) const {
    const auto found = leases_.find(singletonRole);
    if (found == leases_.end() || !inSession(now) || closing_) return std::nullopt;
    return found->second;
}

std::uint64_t LeaseClient::submit(Command c) {
    c.member = self_, c.processIncarnation = processIncarnation_;
    requests_.push_back({++lastHandle_, c, -1, -1e300, false});
    return lastHandle_;
}
std::uint64_t LeaseClient::defineRole(const std::string& singletonRole) {
    Command c;
    c.op = Operation::define, c.singletonRole = singletonRole;
    return submit(c);
}
std::uint64_t LeaseClient::acquire(const std::string& singletonRole) {
    Command c;
    c.op = Operation::grant, c.singletonRole = singletonRole;
    return submit(c);
}
std::uint64_t LeaseClient::release(const std::string& singletonRole, const std::string& to) {
    Command c;
    c.op = to.empty() ? Operation::release : Operation::transfer, c.singletonRole = singletonRole, c.to = to;
    if (const auto h = leases_.find(singletonRole); h != leases_.end()) {
        c.fencingToken = h->second;
        released_[singletonRole] =
            h->second;  // from here on it does not act on it, whatever a late word says
        leases_.erase(h);
    }
    return submit(c);
}
// All that was held is void: another may hold it by now. What was given up stays given up: its request may still be on its
// way, and the session may be opened anew under the same number while the ledger has not heard of either.
void LeaseClient::dropSession(Millis) {
    session_ = 0;
    closing_ = false;
    sessionUntil_ = -1e300;
    leases_.clear();
    renewalsInFlight_.clear();
}

// A word of a grant, however it came. What was given up under that number or a later one stays given up: the word may have
// been on its way for long, and another may hold the duty by now.
void LeaseClient::acceptLease(const std::string& singletonRole, std::uint64_t fencingToken) {
    if (const auto done = released_.find(singletonRole);
        done != released_.end() && fencingToken <= done->second) {
        // The ledger has not heard of it, and nobody else can have the duty: where the request came to nothing, it is made anew.
        if (std::none_of(requests_.begin(), requests_.end(), [&](const PendingRequest& r) {
                return r.command.singletonRole == singletonRole &&
                       (r.command.op == Operation::release || r.command.op == Operation::transfer);
            })) {
            Command c;
            c.op = Operation::release, c.singletonRole = singletonRole, c.fencingToken = fencingToken;
            submit(c);
        }
        return;
    }
    std::uint64_t& held = leases_[singletonRole];
    held = std::max(held, fencingToken);
}

void LeaseClient::sendFirstRequest(Millis now, std::vector<Message>& out) {
    if (requests_.empty()) return;
    PendingRequest& r = requests_.front();
    if (now < r.sentAt + kAgain) return;
    if (r.since < 0) {
        r.since = now;
        r.command.number = ++lastNumber_;
        if (r.command.op != Operation::open && r.command.op != Operation::define)
            r.command.session = session_;
        if (r.command.op == Operation::open) openSentAt_ = now;
    } else if (now > r.since + kGiveUp && r.command.op != Operation::open) {
        outcomes_.push_back({r.handle, {}, false});
        requests_.pop_front();
        return sendFirstRequest(now, out);
    } else if (!std::exchange(r.redirected, false)) {
        leader_.clear();  // not a word from whom it was sent to: another is asked
    }
    r.sentAt = now + draw_() * kAgain / 3;
    out.push_back({self_, target(), processIncarnation_, CommandRequest{r.command}});
}
void LeaseClient::renew(Millis now, std::vector<Message>& out) {
    if (now < renewAt_ || session_ == 0) return;
    renewAt_ = now + times_.ttl / 4 * (0.9 + 0.2 * draw_());
    if (unansweredRenewals_ >= 2)
        leader_.clear(), unansweredRenewals_ = 0;  // two in a row that it did not answer: ask another
    ++unansweredRenewals_;
    renewalsInFlight_[++lastRenewal_] = now;
    while (renewalsInFlight_.size() > kRenewalsOut) renewalsInFlight_.erase(renewalsInFlight_.begin());
    out.push_back({self_, target(), processIncarnation_, RenewRequest{session_, lastRenewal_}});
}

void LeaseClient::advance(Millis now, std::vector<Message>& out) {
    if (session_ != 0 && now >= sessionUntil_) {
        dropSession(now);
        if (!ending_) leader_.clear();
    }
    if (session_ == 0 && holdsRoles_ && !ending_ &&
        std::none_of(requests_.begin(), requests_.end(),
                     [](auto& r) { return r.command.op == Operation::open; }) &&
        now >= reopenAt_) {
        Command c;
        c.op = Operation::open;
        submit(c);
        // Before the others, but not before one that was sent: requests have their effect in the order of their numbers.
        auto first = requests_.begin();
        while (first != std::prev(requests_.end()) && first->since >= 0) ++first;
        std::rotate(first, std::prev(requests_.end()), requests_.end());
    }
    sendFirstRequest(now, out);
    if (!closing_) renew(now, out);
}
Millis LeaseClient::nextDeadline() const {
    Millis at = 1e300;
    if (session_ != 0) at = std::min(sessionUntil_, closing_ ? sessionUntil_ : renewAt_);
    if (session_ == 0 && holdsRoles_ && !ending_) at = std::min(at, reopenAt_);
    if (!requests_.empty()) at = std::min(at, requests_.front().sentAt + kAgain);
    return at;
}
void LeaseClient::endSession(Millis now, std::vector<Message>& out) {
    if (ending_) return;
    ending_ = true;
    leases_.clear();
    // Who asked is told: some of them may be settled yet. What was to be given up ends with the session.
    for (const PendingRequest& r : requests_) outcomes_.push_back({r.handle, {}, false});
    requests_.clear();
    if (session_ == 0) return;
    closing_ = true;
    Command c;
    c.op = Operation::close;
    submit(c);
    sendFirstRequest(now, out);
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
    if (const auto* renewed = std::get_if<RenewReply>(&m.body)) {
        if (renewed->session != session_ || session_ == 0) return;
        unansweredRenewals_ = 0;
        if (renewed->verdict == Verdict::rejected) {  // it is asked who was named, soon: the lease runs
            redirectTo(renewed->leader);
            renewAt_ = std::min(renewAt_, now + kSoon);
            return;
        }
        const auto sent = renewalsInFlight_.find(renewed->number);
        if (sent == renewalsInFlight_.end()) return;
        if (renewed->verdict == Verdict::noSession) {
            dropSession(now);
            return advance(now, out);
        }
        sessionUntil_ = std::max(sessionUntil_, sent->second + times_.ttl * (1 - times_.drift));
        leader_ = m.from;
        renewalsInFlight_.erase(renewalsInFlight_.begin(), std::next(sent));
        if (closing_ || now >= sessionUntil_) return;
        for (const auto& [singletonRole, fencingToken] : renewed->leases)
            acceptLease(singletonRole, fencingToken);
        return;
    }
    if (const auto* granted = std::get_if<GrantNotice>(&m.body)) {
        if (granted->session == session_ && inSession(now) && !closing_)
            acceptLease(granted->singletonRole, granted->fencingToken);
        return;
    }
    const auto* answer = std::get_if<CommandReply>(&m.body);
    if (answer == nullptr || requests_.empty() || requests_.front().command.number != answer->number) return;
    PendingRequest& r = requests_.front();
    if (answer->leader != m.from) {  // not the leader
        redirectTo(answer->leader);
        r.redirected = !answer->leader.empty();
        if (!answer->leader.empty()) r.sentAt = std::min(r.sentAt, now + kSoon - kAgain);
        return sendFirstRequest(now, out);
    }
    leader_ = m.from;
    const Command c = r.command;
    const std::uint64_t handle = r.handle;
    requests_.pop_front();
    if (c.op == Operation::open) {
        if (answer->result.verdict == Verdict::done) {
            session_ = answer->result.session;
            sessionUntil_ = openSentAt_ + times_.ttl * (1 - times_.drift);
            renewAt_ = now;
            renewalsInFlight_.clear();
        } else {
            reopenAt_ = now + times_.ttl / 8 * (0.8 + 0.4 * draw_());
        }
    } else {
        outcomes_.push_back({handle, answer->result, true});
        if (c.op == Operation::close) dropSession(now);
        if (c.op == Operation::grant && answer->result.verdict == Verdict::done &&
            answer->result.session == session_ && inSession(now) && !closing_)
            acceptLease(c.singletonRole, answer->result.fencingToken);
        if (answer->result.verdict == Verdict::noSession && c.session == session_ && session_ != 0)
            dropSession(now);
    }
    advance(now, out);
}

}  // namespace beechpoint::lease_sessions
