#include "operator_history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "configuration/editing.hpp"
#include "control/operator_calls.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMembers = 3;
constexpr std::size_t kOperators = 4;
constexpr Millis kFaultsEnd = 40'000;
constexpr Millis kEnd = 80'000;
constexpr Millis kOperatorTimeout = 1000;
constexpr Millis kDrainTime = 200;
constexpr Millis kFinalAnswerTimeout = 10'000;  // for a definite answer once faults are over
constexpr int kMaxRedirects = 2;
constexpr std::size_t kMaxViolations = 20;

// ---- The model: an independent, simple implementation of the API's rules

enum class Fault { none, truncated, noTimeout, unknownService };

struct Order {
    OperatorCall call;
    Fault fault = Fault::none;
    std::uint64_t revision = 0;  // of a change
    std::uint64_t ifMatch = 0;
    std::map<std::string, int> routes;  // of PUT all, of PATCH those to add or replace
    std::set<std::string> removed;      // of PATCH
    std::string key;                    // tells calls apart

    bool changes() const {
        return call.kind == OperatorCallKind::put || call.kind == OperatorCallKind::patch;
    }
    bool evacuates() const { return call.kind == OperatorCallKind::evacuate; }
};

struct State {
    std::uint64_t revision = 0;
    std::map<std::string, int> routes;
    std::set<std::string> evacuated;

    void apply(const Order& order) {
        if (!order.changes()) {
            if (order.evacuates())
                evacuated.insert(order.call.zone);
            else
                evacuated.erase(order.call.zone);
            return;
        }
        revision = order.revision;
        if (order.call.kind == OperatorCallKind::put) routes.clear();
        for (const std::string& name : order.removed) routes.erase(name);
        for (const auto& [name, timeout] : order.routes) routes[name] = timeout;
    }
};

struct Entry {
    Millis at = 0;
    std::shared_ptr<const Table> table;
    State state;
    std::string key;  // of the change that created it
};

std::string routeText(const std::string& name, int timeout, Fault fault) {
    const int written = fault == Fault::noTimeout ? 0 : timeout;
    const char* service = fault == Fault::unknownService ? "none" : "s";
    return fmt::format(
        R"({{"name":"{0}","hostname":"h.example","path_prefix":"/{0}/","timeout_ms":{1},"backend":"{2}"}})",
        name, written, service);
}

std::string routesText(const std::map<std::string, int>& routes, Fault fault) {
    std::string text;
    for (const auto& [name, timeout] : routes)
        text += (text.empty() ? "" : ",") + routeText(name, timeout, fault);
    return text;
}

std::string bodyOf(const Order& order) {
    const std::string routes = routesText(order.routes, order.fault);
    std::string text;
    if (order.call.kind == OperatorCallKind::put) {
        text = fmt::format(R"({{"revision":{},"routes":[{}],"services":[{{"name":"s"}}]}})", order.revision,
                           routes);
    } else {
        std::string removed;
        for (const std::string& name : order.removed)
            removed += fmt::format("{}\"{}\"", removed.empty() ? "" : ",", name);
        text = fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}},"remove":{{"routes":[{}]}}}})",
                           order.revision, routes, removed);
    }
    if (order.fault == Fault::truncated) text.resize(text.size() - 1);
    return text;
}

// ---- The simulation

struct View {
    std::uint64_t epoch = 0;
    std::vector<std::size_t> order;
    bool has(std::size_t member) const {
        return std::find(order.begin(), order.end(), member) != order.end();
    }
};

struct ReceivedCall {
    Order order;
    Millis receivedAt = 0;
    std::size_t logSizeAtArrival = 0;  // entries in the log when the call arrived
    std::size_t operatorNumber = 0;
    std::uint64_t attempt = 0;
};

struct Member {
    OperatorCalls calls;
    View view;
    std::size_t committedEntry = 0;  // entry of the log that its committed table is
    bool installed = false;
    bool inFlight = false;
    bool partitioned = false;
    bool frozen = false;
    bool down = false;
    std::uint64_t start = 1;
    std::deque<std::function<void()>> deferred;  // while it is frozen
    std::map<CallId, ReceivedCall> received;
};

struct InFlight {
    std::size_t member = 0;
    std::uint64_t token = 0;
    std::vector<Change> changes;
    std::optional<Order> order;  // empty for an empty batch
};

struct Operator {
    std::optional<Order> order;
    std::uint64_t attempt = 0;  // answers to earlier attempts are ignored
    std::uint64_t version = 0;
    std::vector<Order> past;
    Millis since = 0;      // when the current order was started
    bool closing = false;  // sends the applied orders again, then stops
    std::size_t next = 0;
};

class HistorySimulation {
public:
    explicit HistorySimulation(std::uint64_t seed) : random_(seed) {
        log_.push_back({0, std::make_shared<const Table>(), {}, ""});
        changeView({0, 1, 2});
        for (std::size_t each = 0; each < kOperators; ++each) beginNextOrder(each);
        at(2000 * random_(), [this] { beginFault(); });
    }

    HistoryReport play() {
        while (!events_.empty() && events_.begin()->first <= kEnd) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        for (std::size_t each = 0; each < kOperators; ++each)
            if (operators_[each].order && kEnd - operators_[each].since > kFinalAnswerTimeout)
                reportViolation(fmt::format("a call never ended: {}", operators_[each].order->key));
        report_.applied = inLog_.size();
        return std::move(report_);
    }

private:
    // ---- Time and random draws

    void at(Millis after, std::function<void()> action) { events_.emplace(now_ + after, std::move(action)); }
    Millis between(Millis low, Millis high) { return low + (high - low) * random_(); }
    bool chance(double probability) { return random_() < probability; }
    bool faultsOver() const { return now_ >= kFaultsEnd; }

    void reportViolation(std::string what) {
        if (report_.violations.size() < kMaxViolations)
            report_.violations.push_back(fmt::format("{:.0f} ms: {}", now_, what));
    }

    // Runs the action at the member unless it restarted meanwhile; deferred while the member is frozen.
    void atMember(std::size_t member, Millis after, std::function<void()> action) {
        at(after, [this, member, start = members_[member].start, action = std::move(action)]() mutable {
            Member& here = members_[member];
            if (here.down || here.start != start) return;
            if (here.frozen)
                here.deferred.push_back(std::move(action));
            else
                action();
        });
    }

    // ---- Members

    // Whether the member participates in the current view.
    bool isActiveInView(std::size_t member) const {
        const Member& here = members_[member];
        return !here.down && !here.partitioned && !here.frozen && here.installed &&
               here.view.epoch == view_.epoch && view_.has(member);
    }

    ReplicaState stateOf(std::size_t member) const {
        const Member& here = members_[member];
        ReplicaState state;
        const auto chainEnd = [&](std::size_t other) {
            const bool unreachable = members_[other].down || members_[other].partitioned || here.partitioned;
            return ChainEnd{std::to_string(other), other != member && !unreachable};
        };
        state.inView = here.view.has(member);
        state.isHead = state.inView && here.view.order.front() == member;
        state.isTail = state.inView && here.view.order.back() == member;
        state.writable = state.isHead && here.installed && !here.inFlight;
        if (!here.view.order.empty()) {
            state.head = chainEnd(here.view.order.front());
            state.tail = chainEnd(here.view.order.back());
        }
        state.position = {here.view.epoch, here.committedEntry};
        state.table = log_[here.committedEntry].table;
        return state;
    }

    void dispatch(std::size_t member, OperatorEvent event) {
        std::vector<OperatorAction> actions;
        members_[member].calls.handle(now_, stateOf(member), std::move(event), actions);
        for (OperatorAction& action : actions)
            std::visit([&](auto& what) { carryOut(member, what); }, action);
        if (members_[member].calls.waiting()) reevaluateLater(member);
    }

    void reevaluateLater(std::size_t member) {
        if (!reevaluations_.insert({member, members_[member].start}).second) return;
        atMember(member, 25, [this, member] {
            reevaluations_.erase({member, members_[member].start});
            dispatch(member, Reevaluate{});
        });
    }

    void carryOut(std::size_t, const LogEvent&) {}

    void carryOut(std::size_t member, const StartReadBarrier& action) {
        if (action.kind == ReadBarrierKind::emptyBatch)
            return write(member, {}, std::nullopt, [this, member, id = action.id](WriteResult result) {
                dispatch(member, ReadBarrierDone{id, result == WriteResult::committed});
            });
        const bool started = isActiveInView(member) && view_.order.back() == member;
        const std::uint64_t epoch = view_.epoch;
        atMember(member, started ? between(1, 30) : between(200, 1500),
                 [this, member, id = action.id, started, epoch] {
                     const bool ok = started && isActiveInView(member) && view_.epoch == epoch;
                     dispatch(member, ReadBarrierDone{id, ok});
                 });
    }

    void carryOut(std::size_t member, StartWrite& action) {
        if (action.base != stateOf(member).position)
            return dispatch(member, WriteDone{action.id, WriteResult::notStarted});
        const Order order = members_[member].received.at(action.id).order;
        write(member, std::move(action.changes), order, [this, member, id = action.id](WriteResult result) {
            report_.unknown += result == WriteResult::unknown ? 1 : 0;
            dispatch(member, WriteDone{id, result});
        });
    }

    // A batch is forwarded along the chain to the tail, which commits it; the acknowledgement returns to the head.
    void write(std::size_t member, std::vector<Change> changes, std::optional<Order> order,
               std::function<void(WriteResult)> done) {
        members_[member].inFlight = true;
        const std::uint64_t token = ++lastToken_;
        const auto finish = [this, member, done = std::move(done)](WriteResult result) {
            members_[member].inFlight = false;
            // A member that is still in the view receives the commit before it is writable again.
            advanceCommitted(member, log_.size() - 1);
            done(result);
        };
        const auto failWrite = [this, member, finish] {
            atMember(member, between(100, 3000), [finish] { finish(WriteResult::unknown); });
        };
        if (!isActiveInView(member) || view_.order.front() != member) return failWrite();
        inFlight_ = InFlight{member, token, std::move(changes), std::move(order)};
        at(between(2, 250), [this, member, token, finish, failWrite] {
            if (!inFlight_ || inFlight_->token != token) return failWrite();
            commitInFlight();
            const std::uint64_t epoch = view_.epoch;
            const std::size_t entry = log_.size() - 1;
            at(between(1, 30), [this, member, epoch, entry, finish, failWrite] {
                if (!isActiveInView(member) || view_.epoch != epoch) return failWrite();
                for (const std::size_t each : view_.order) advanceCommitted(each, entry);
                finish(WriteResult::committed);
            });
        });
    }

    void advanceCommitted(std::size_t member, std::size_t entry) {
        if (isActiveInView(member))
            members_[member].committedEntry = std::max(members_[member].committedEntry, entry);
    }

    void commitInFlight() {
        const InFlight batch = std::move(*inFlight_);
        inFlight_.reset();
        const Entry& last = log_.back();
        Table table = *last.table;
        beechpoint::apply(batch.changes, table);
        Entry entry{now_, nullptr, last.state, ""};
        if (batch.order) {
            checkBatch(*batch.order, last.state);
            entry.state.apply(*batch.order);
            entry.key = batch.order->key;
            if (batch.order->changes()) inLog_.insert(entry.key);
        }
        entry.table = std::make_shared<const Table>(std::move(table));
        checkTable(entry);
        log_.push_back(std::move(entry));
        members_[view_.order.back()].committedEntry = log_.size() - 1;
    }

    // ---- Views and faults

    void changeView(std::vector<std::size_t> order) {
        report_.viewChanges++;
        // A batch in flight becomes part of the new view's state or is dropped.
        if (inFlight_ && chance(0.5))
            commitInFlight();
        else
            inFlight_.reset();
        view_ = {view_.epoch + 1, std::move(order)};
        for (std::size_t member = 0; member < kMembers; ++member) {
            Member& here = members_[member];
            if (here.down || here.partitioned || here.frozen) continue;
            here.view = view_;
            here.installed = false;
            if (!view_.has(member)) continue;
            atMember(member, between(20, 300), [this, member, epoch = view_.epoch] {
                Member& installing = members_[member];
                if (installing.view.epoch != epoch || view_.epoch != epoch || installing.partitioned) return;
                installing.installed = true;
                installing.committedEntry = log_.size() - 1;
                dispatch(member, Reevaluate{});
            });
            dispatch(member, Reevaluate{});
        }
    }

    void beginFault() {
        if (faultsOver()) return;
        const std::size_t member = random_.below(kMembers);
        const Millis length = chance(0.2) ? between(50, 900) : between(1200, 12'000);
        switch (random_.below(4)) {
            case 0:
                members_[member].partitioned = true;
                at(length, [this, member] { members_[member].partitioned = false; });
                break;
            case 1:
                members_[member].frozen = true;
                at(length, [this, member] { unfreeze(member); });
                break;
            case 2:
                restart(member, length);
                break;
            default:
                atMember(member, 0, [this, member] { dispatch(member, DrainStarted{}); });
                at(kDrainTime,
                   [this, member, length] { restart(member, std::max(length - kDrainTime, 1.0)); });
                break;
        }
        constexpr Millis kSuspectedAfter = 1000;
        if (length > kSuspectedAfter) at(kSuspectedAfter, [this, member] { removeFromView(member); });
        at(length + between(300, 900), [this, member] { addToView(member); });
        at(length + 1000 + between(0, 3000), [this] { beginFault(); });
    }

    void unfreeze(std::size_t member) {
        members_[member].frozen = false;
        auto deferred = std::move(members_[member].deferred);
        members_[member].deferred.clear();
        for (auto& action : deferred) action();
    }

    void restart(std::size_t member, Millis length) {
        const std::uint64_t start = members_[member].start + 1;
        members_[member] = Member{};
        members_[member].start = start;
        members_[member].down = true;
        at(length, [this, member] { members_[member].down = false; });
    }

    void removeFromView(std::size_t member) {
        std::vector<std::size_t> order = view_.order;
        std::erase(order, member);
        changeView(std::move(order));
    }

    void addToView(std::size_t member) {
        std::vector<std::size_t> order = view_.order;
        std::erase(order, member);
        order.insert(chance(0.5) ? order.begin() : order.end(), member);
        changeView(std::move(order));
    }

    // ---- Operators

    void beginNextOrder(std::size_t number) {
        at(faultsOver() ? 1 : between(5, 700), [this, number] {
            Operator& one = operators_[number];
            if (faultsOver()) one.closing = true;
            one.since = now_;
            one.order = one.closing ? nextToRepeat(one) : drawOrder(one);
            if (one.order) attempt(number, random_.below(kMembers), 0);
        });
    }

    std::optional<Order> nextToRepeat(Operator& one) {
        if (one.next >= one.past.size()) return std::nullopt;
        return one.past[one.next++];
    }

    Order drawOrder(Operator& one) {
        if (!one.past.empty() && chance(0.15)) return one.past[random_.below(one.past.size())];
        Order order;
        const double kind = random_();
        if (kind < 0.25) {
            order.call = parseOperatorCall("GET", "/configuration", "").value();
        } else if (kind < 0.45) {
            const char* method = chance(0.5) ? "POST" : "DELETE";
            order.call = parseOperatorCall(method, chance(0.5) ? "/evacuate/a" : "/evacuate/b", "").value();
        } else {
            drawChange(one, order);
        }
        order.key = fmt::format("{} {} {} {}", static_cast<int>(order.call.kind), order.call.target,
                                order.call.ifMatch, order.call.body);
        if (order.changes()) one.past.push_back(order);
        return order;
    }

    // Few distinct revisions and contents, so that operators collide.
    void drawChange(const Operator& one, Order& order) {
        const bool replacesAll = chance(0.6);
        order.ifMatch = one.version - std::min<std::uint64_t>(one.version, chance(0.15) ? 2 : 0);
        order.revision = order.ifMatch + (chance(0.1) ? 0 : 1 + random_.below(3));
        order.call = parseOperatorCall(replacesAll ? "PUT" : "PATCH", "/configuration",
                                       fmt::format("{0}{1}{0}", chance(0.5) ? "\"" : "", order.ifMatch))
                         .value();
        order.routes["r"] = static_cast<int>(1 + random_.below(2));
        if (chance(0.5)) order.routes["q"] = static_cast<int>(1 + random_.below(2));
        if (!replacesAll && chance(0.3)) order.removed.insert("p");
        if (chance(0.15)) order.fault = static_cast<Fault>(1 + random_.below(3));
        order.call.body = bodyOf(order);
    }

    void attempt(std::size_t number, std::size_t member, int redirects) {
        Operator& one = operators_[number];
        const std::uint64_t attempt = ++one.attempt;
        const Order order = *one.order;
        send(number, attempt, member, order, between(1, 20));
        if (chance(0.05))
            send(number, attempt, random_.below(kMembers), order, between(1, 4000));  // duplicates
        at(kOperatorTimeout, [this, number, attempt] {
            if (operators_[number].attempt == attempt) retry(number);
        });
        redirects_[number] = redirects;
    }

    void send(std::size_t number, std::uint64_t attempt, std::size_t member, const Order& order,
              Millis after) {
        atMember(member, after, [this, number, attempt, member, order] {
            Member& here = members_[member];
            const CallId id = ++lastId_;
            report_.atStaleMember += here.view.epoch != view_.epoch ? 1 : 0;
            here.received[id] = {order, now_, log_.size(), number, attempt};
            dispatch(member, CallReceived{id, order.call});
            if (chance(0.7))
                atMember(member, kOperatorTimeout,
                         [this, member, id] { dispatch(member, ClientDisconnected{id}); });
        });
    }

    void retry(std::size_t number) {
        operators_[number].attempt++;
        at(between(50, 400), [this, number] { attempt(number, random_.below(kMembers), 0); });
    }

    void carryOut(std::size_t member, const Answer& answer) {
        auto node = members_[member].received.extract(answer.id);
        if (node.empty()) return reportViolation("a call was answered twice");
        const ReceivedCall received = std::move(node.mapped());
        report_.answers++;
        check(received, answer);
        if (chance(faultsOver() ? 0 : 0.25)) return;  // lost
        at(between(1, 20), [this, received, answer] { receive(received, answer); });
    }

    void receive(const ReceivedCall& received, const Answer& answer) {
        const std::size_t number = received.operatorNumber;
        Operator& one = operators_[number];
        if (one.attempt != received.attempt || !one.order) return;
        if (answer.status == 307 && redirects_[number] < kMaxRedirects) {
            const std::size_t colon = answer.headers.find("//");
            return attempt(number, static_cast<std::size_t>(answer.headers.at(colon + 2) - '0'),
                           redirects_[number] + 1);
        }
        if (answer.status >= 500 || answer.status == 307) return retry(number);
        if (received.order.changes() && answer.status == 200) one.version = received.order.revision;
        if (received.order.call.kind == OperatorCallKind::read)
            one.version = log_[received.logSizeAtArrival - 1].state.revision;
        if (answer.status == 412) one.version = log_.back().state.revision;
        one.attempt++;
        one.order.reset();
        beginNextOrder(number);
    }

    // ---- Checks

    void checkBatch(const Order& order, const State& before) {
        if (!order.changes()) return;
        if (inLog_.contains(order.key)) reportViolation("entered the log twice: " + order.key);
        if (order.fault != Fault::none) reportViolation("an invalid change entered the log: " + order.key);
        if (order.ifMatch != before.revision || order.revision <= before.revision)
            reportViolation(fmt::format("on version {} entered the log: {}", before.revision, order.key));
    }

    void checkTable(const Entry& entry) {
        const Table& table = *entry.table;
        if (configuration::currentRevision(table) != entry.state.revision)
            reportViolation("the version differs");
        std::size_t routes = 0, zones = 0;
        for (const auto& [key, value] : table) {
            routes += key.starts_with("route/") ? 1 : 0;
            zones += key.starts_with("evacuated/") ? 1 : 0;
        }
        bool same = routes == entry.state.routes.size() && zones == entry.state.evacuated.size();
        for (const auto& [name, timeout] : entry.state.routes) {
            const auto found = table.find("route/" + name);
            same = same && found != table.end() &&
                   found->second.ends_with(routeText(name, timeout, Fault::none));
        }
        for (const std::string& zone : entry.state.evacuated)
            same = same && table.contains("evacuated/" + zone);
        if (!same) reportViolation("the table differs from the orders that made it");
    }

    // Whether the predicate holds for a log entry that was current at some time between the call's arrival and now.
    bool heldDuringCall(const ReceivedCall& received, const std::function<bool(const Entry&)>& holds) const {
        return std::any_of(log_.begin() + static_cast<std::ptrdiff_t>(received.logSizeAtArrival) - 1,
                           log_.end(), holds);
    }

    void check(const ReceivedCall& received, const Answer& answer) {
        if (answer.status == 307 || answer.status == 503) return;
        const Order& order = received.order;
        if (answer.status == 200) return checkSuccess(received, answer);
        report_.rejected++;
        const std::string what = fmt::format("{} to {}", answer.status, order.key);
        if (!order.changes()) return reportViolation("an evacuation or read was rejected: " + what);
        if (inLog_.contains(order.key)) reportViolation("rejected though applied: " + what);
        const bool isJustified = heldDuringCall(received, [&](const Entry& entry) {
            const std::uint64_t version = entry.state.revision;
            if (answer.status == 412) return order.ifMatch != version;
            const bool noService = order.call.kind == OperatorCallKind::patch && version == 0;
            return answer.status == 400 &&
                   (order.fault != Fault::none || noService || order.revision <= version);
        });
        if (!isJustified) reportViolation("rejected without cause: " + what);
    }

    void checkSuccess(const ReceivedCall& received, const Answer& answer) {
        const Order& order = received.order;
        if (order.changes()) {
            if (!inLog_.contains(order.key))
                return reportViolation("acknowledged and not in the log: " + order.key);
            const auto begin = log_.begin() + static_cast<std::ptrdiff_t>(received.logSizeAtArrival);
            report_.appliedAgain +=
                std::any_of(log_.begin(), begin, [&](const Entry& entry) { return entry.key == order.key; });
            return;
        }
        const bool read = order.call.kind == OperatorCallKind::read;
        report_.reads += read ? 1 : 0;
        const bool wasCurrent = heldDuringCall(received, [&](const Entry& entry) {
            if (read) return answer.body == configuration::renderConfiguration(*entry.table);
            return entry.state.evacuated.contains(order.call.zone) == order.evacuates();
        });
        if (!wasCurrent) reportViolation("answered by an outdated state: " + order.key);
    }

    SplitMix random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> events_;
    std::array<Member, kMembers> members_;
    std::array<Operator, kOperators> operators_;
    std::array<int, kOperators> redirects_{};
    View view_;
    std::vector<Entry> log_;
    std::set<std::string> inLog_;  // keys of changes
    std::optional<InFlight> inFlight_;
    std::set<std::pair<std::size_t, std::uint64_t>> reevaluations_;
    std::uint64_t lastToken_ = 0;
    CallId lastId_ = 0;
    HistoryReport report_;
};

}  // namespace

HistoryReport playHistory(std::uint64_t seed) { return HistorySimulation(seed).play(); }

}  // namespace beechpoint::control
