#include "duty_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <queue>
#include <set>
#include <vector>

#include "control/duty_service_state.hpp"
#include "core/splitmix.hpp"
#include "duties/duty_holder.hpp"
#include "duties/intent_log.hpp"
#include "gateway/usage_report_state.hpp"

namespace beechpoint::duties {
namespace {

constexpr Millis kTick = 20;
constexpr std::size_t kTicksPerStep = 3;
constexpr Millis kUnixTimeAtStart = 1.7e12;  // a window begins
constexpr Millis kWindow = 5000;
constexpr Millis kLate = 10'000;
constexpr Millis kLease = 3000;
constexpr Millis kFreshnessBound = 600;
constexpr Millis kHeadTimeout = 1000;
constexpr Millis kPlatformTimeout = 1500;
constexpr Millis kHour = 3.6e6;
constexpr Millis kGatewayLease = 3000;
constexpr double kTolerance = 0.05;
const Subject kUsage{Duty::usage, "", ""};

using control::DutyReplicaState;
using control::DutyServiceState;

struct MemberProcess {
    std::string name;
    std::uint64_t session = 1;
    std::unique_ptr<DutyServiceState> state;
    std::size_t view = 0;     // index of the newest view it has seen
    std::size_t version = 0;  // of the table
    Millis confirmedAt = -1e9;
    Millis clockOffset = 0;
    Millis deadUntil = 0;
    Millis frozenUntil = 0;
    Millis cutControlUntil = 0;
    Millis cutPlatformUntil = 0;
    bool callInFlight = false;
    std::deque<CallPlatform> calls;
    std::deque<std::function<void()>> pendingEvents;
};

struct GatewayProcess {
    std::string name;
    std::uint64_t session = 1;
    std::unique_ptr<gateway::UsageReportState> state;
    Millis clockOffset = 0;
    Millis deadUntil = 0;
    Millis diedAt = -1e9;
    bool serves = false;
};

class Simulation {
public:
    explicit Simulation(const SimulationSettings& settings) : settings_(settings), random_(settings.seed) {
        const std::size_t members = 3 + random_.below(3);
        const std::size_t gateways = 4 + random_.below(3);
        for (std::size_t index = 0; index < members; ++index) {
            MemberProcess& member = members_.emplace_back();
            member.name = fmt::format("core-{}", index);
            if (index == 0 && chance(0.5)) member.clockOffset = (random_() - 0.5) * 10 * kHour;
            start(member);
        }
        for (std::size_t index = 0; index < gateways; ++index) {
            GatewayProcess& gateway = gateways_.emplace_back();
            gateway.name = fmt::format("edge-{}", index);
            if (index == 0) gateway.clockOffset = (random_() - 0.5) * 10 * kHour;
            start(gateway);
        }
        versions_.push_back(std::make_shared<const Table>());
        decideView(allMembers());
        for (MemberProcess& member : members_) member.view = 0;
    }

    SimulationResult run() {
        for (now_ = kTick; now_ < settings_.end; now_ += kTick) tick();
        checkEnd();
        result_.platformModel = platformModel_;
        result_.views = views_.size();
        return std::move(result_);
    }

private:
    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct HeadRequest {
        std::function<ProposalDecision(const Table&, std::uint64_t epoch)> decide;
        std::function<void(const ProposalDecision&)> done;
    };
    enum class PlatformMode { healthy, down, slow, losesAnswers, tooMany };

    bool chance(double probability) { return random_() < probability; }
    void after(Millis delay, std::function<void()> run) {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    Millis shortDelay() { return 5 + 40 * random_(); }

    // ---- Members

    void start(MemberProcess& member) {
        DutyServiceState::Settings settings;
        settings.member = member.name;
        settings.usageWindow = kWindow;
        settings.usageReportDeadline = kLate;
        settings.takeoverDelay = kLease;
        settings.seed = random_.bits();
        member.state = std::make_unique<DutyServiceState>(std::move(settings));
        member.confirmedAt = -1e9;
        member.callInFlight = false;
        member.calls.clear();
        member.pendingEvents.clear();
    }
    bool alive(const MemberProcess& member) const { return now_ >= member.deadUntil; }
    bool runs(const MemberProcess& member) const { return alive(member) && now_ >= member.frozenUntil; }
    bool inControl(const MemberProcess& member) const {
        return runs(member) && now_ >= member.cutControlUntil;
    }
    bool isIn(const MemberProcess& member, const replica::View& view) const {
        const replica::Member* const entry = view.find(member.name);
        return entry && entry->session == member.session;
    }
    std::vector<MemberProcess*> allMembers() {
        std::vector<MemberProcess*> all;
        for (MemberProcess& member : members_) all.push_back(&member);
        return all;
    }
    DutyReplicaState replicaOf(const MemberProcess& member) const {
        DutyReplicaState replica;
        replica.view = views_[member.view];
        replica.fresh = isIn(member, replica.view) && now_ - member.confirmedAt <= kFreshnessBound;
        replica.table = versions_[member.version];
        return replica;
    }
    // Runs once the process is not frozen; never if it was killed in the meantime.
    void at(MemberProcess& member, std::uint64_t session, const std::function<void()>& run) {
        if (member.session != session || !alive(member)) return;
        if (runs(member)) return run();
        member.pendingEvents.push_back([this, &member, session, run] { at(member, session, run); });
    }

    void tickMember(MemberProcess& member) {
        if (!runs(member)) return;
        updateView(member);
        auto waiting = std::exchange(member.pendingEvents, {});
        // Events that arrived during a freeze are processed before or after the timers.
        const bool timersFirst = chance(0.5);
        const bool isTimerDue = (tick_ + member.name.back()) % kTicksPerStep == 0;
        if (isTimerDue && timersFirst) step(member);
        for (const auto& run : waiting) run();
        if (isTimerDue && !timersFirst) step(member);
    }
    void updateView(MemberProcess& member) {
        if (!inControl(member)) return;
        if (member.view + 1 < views_.size() && now_ - decidedAt_.back() > 300 * random_()) {
            member.view = views_.size() - 1;
            member.version = std::max(member.version, startVersions_.back());
        }
        if (member.view + 1 == views_.size() && chance(0.3)) member.version = versions_.size() - 1;
        if (!chance(0.2)) return;
        // A heartbeat round confirms the view as of the time it was sent.
        const Millis sentAt = now_;
        after(shortDelay(), [this, &member, session = member.session, sentAt] {
            if (member.session != session || !inControl(member)) return;
            if (member.view + 1 == views_.size()) member.confirmedAt = std::max(member.confirmedAt, sentAt);
        });
    }
    void step(MemberProcess& member) {
        execute(member, member.state->step(now_, kUnixTimeAtStart + now_ + member.clockOffset,
                                           replicaOf(member), [this] { return liveGateways(); }));
        sendNextCall(member);
    }
    void execute(MemberProcess& member, const std::vector<DutyAction>& actions) {
        for (const DutyAction& action : actions)
            std::visit([&](const auto& one) { execute(member, one); }, action);
    }

    // ---- The head of the chain

    void execute(MemberProcess& member, const ProposeIntent& action) {
        const auto end = [this, &member, session = member.session,
                          attempt = action.attempt](const ProposalResult& answer) {
            at(member, session, [this, &member, attempt, answer] {
                execute(member, member.state->onProposed(now_, replicaOf(member), kUsage, attempt, answer));
                sendNextCall(member);
            });
        };
        requestHead(member,
                    {[proposal = action.proposal](const Table& table, std::uint64_t epoch) {
                         return decide(table, proposal, epoch);
                     },
                     {}},
                    [end](const ProposalDecision* decision) {
                        end(decision ? ProposalResult{*decision} : std::nullopt);
                    });
    }
    void execute(MemberProcess& member, const SettleIntent& action) {
        requestHead(member,
                    {[settlement = action.settlement](const Table& table, std::uint64_t) {
                         return ProposalDecision{ProposalOutcome::accepted, {}, settle(table, settlement)};
                     },
                     {}},
                    [this, &member, session = member.session,
                     attempt = action.attempt](const ProposalDecision* decision) {
                        const bool isRecorded = decision != nullptr;
                        at(member, session, [this, &member, attempt, isRecorded] {
                            member.state->onSettled(now_, kUsage, attempt, isRecorded);
                        });
                    });
    }
    void requestHead(MemberProcess& member, HeadRequest request,
                     std::function<void(const ProposalDecision*)> end) {
        const auto isEnded = std::make_shared<bool>(false);
        const auto once = [isEnded, end = std::move(end)](const ProposalDecision* decision) {
            if (!std::exchange(*isEnded, true)) end(decision);
        };
        after(kHeadTimeout, [this, once, isEnded] {
            if (!*isEnded) ++result_.proposalsLost;
            once(nullptr);
        });
        const std::string head = views_[member.view].members.front().name;
        if (!inControl(member) || chance(lossProbability())) return;
        const bool losesAnswer = chance(lossProbability());
        request.done = [this, once, losesAnswer](const ProposalDecision& decision) {
            if (!losesAnswer) after(shortDelay(), [once, decision] { once(&decision); });
        };
        after(shortDelay(), [this, head, request = std::move(request)]() mutable {
            if (views_.back().members.front().name == head) headRequests_.push_back(std::move(request));
        });
    }
    double lossProbability() const { return now_ < settings_.faultsUntil ? 0.08 : 0; }

    // One batch at a time; each is decided on the table after all previous batches.
    void tickHead() {
        if (isWriting_ || headRequests_.empty()) return;
        const MemberProcess& head = *memberNamed(views_.back().members.front().name);
        if (!inControl(head) || !isIn(head, views_.back()) || head.view + 1 != views_.size()) return;
        const HeadRequest request = std::move(headRequests_.front());
        headRequests_.pop_front();
        const ProposalDecision decision = request.decide(*versions_.back(), views_.back().epoch);
        if (decision.changes.empty()) return request.done(decision);
        isWriting_ = true;
        batch_ = decision.changes;
        after(shortDelay(), [this, request, decision, epoch = views_.back().epoch] {
            if (views_.back().epoch != epoch) return;
            commitBatch();
            request.done(decision);
        });
    }
    void commitBatch() {
        Table table = *versions_.back();
        beechpoint::apply(batch_, table);
        versions_.push_back(std::make_shared<const Table>(std::move(table)));
        for (const Intent& intent : intentsOf(*versions_.back(), kUsage)) committed_.insert(intent.number);
        isWriting_ = false;
    }

    // ---- Views

    void decideView(const std::vector<MemberProcess*>& members) {
        // A batch in progress may be part of the next view's initial state.
        if (isWriting_ && chance(0.5)) commitBatch();
        isWriting_ = false;
        headRequests_.clear();
        replica::View view;
        view.epoch = views_.empty() ? 1 : views_.back().epoch + 1;
        for (const MemberProcess* const member : members) {
            replica::Member entry;
            entry.name = member->name;
            entry.session = member->session;
            entry.internalAddress = member->name;
            view.members.push_back(entry);
        }
        std::ranges::rotate(view.members, view.members.begin() + static_cast<std::ptrdiff_t>(
                                                                     random_.below(view.members.size())));
        views_.push_back(std::move(view));
        decidedAt_.push_back(now_);
        startVersions_.push_back(versions_.size() - 1);
    }
    void tickViews() {
        if (now_ < nextViewAt_) return;
        const bool hasFaults = now_ < settings_.faultsUntil;
        nextViewAt_ = now_ + 200 + (hasFaults ? 1500 * random_() : 0);
        std::vector<MemberProcess*> next;
        for (MemberProcess& member : members_)
            if (inControl(member)) next.push_back(&member);
        const bool flaps = hasFaults && chance(flapProbability_) && next.size() * 2 > members_.size() + 2;
        if (flaps) next.erase(next.begin() + static_cast<std::ptrdiff_t>(random_.below(next.size())));
        if (next.size() * 2 <= members_.size()) return;
        const bool isSame = next.size() == views_.back().members.size() &&
                            std::ranges::all_of(next, [this](const MemberProcess* member) {
                                return isIn(*member, views_.back());
                            });
        if (!isSame) decideView(next);
    }
    MemberProcess* memberNamed(const std::string& name) {
        return &*std::ranges::find(members_, name, &MemberProcess::name);
    }

    // ---- The platform

    void execute(MemberProcess& member, const CallPlatform& call) { member.calls.push_back(call); }
    void sendNextCall(MemberProcess& member) {
        if (member.callInFlight || member.calls.empty()) return;
        const CallPlatform call = member.calls.front();
        member.calls.pop_front();
        if (!member.state->isCallAllowed(replicaOf(member), call)) return onCalled(member, call, 0);
        checkNotOutdated(member);
        platformModel_.onSent(call.holder, call.token);
        member.callInFlight = true;
        const auto isEnded = std::make_shared<bool>(false);
        const auto once = [this, &member, session = member.session, call, isEnded](int status) {
            if (std::exchange(*isEnded, true)) return;
            at(member, session, [this, &member, call, status] {
                member.callInFlight = false;
                onCalled(member, call, status);
                sendNextCall(member);
            });
        };
        after(kPlatformTimeout, [once] { once(0); });
        if (now_ < member.cutPlatformUntil || platform_ == PlatformMode::down) return;
        const bool isSlow = platform_ == PlatformMode::slow;
        after(isSlow ? 1400 * random_() : shortDelay(), [this, call, once, isSlow] {
            if (platform_ == PlatformMode::tooMany && chance(0.7)) return once(429);
            const int status = platformModel_.onCall(now_, call.holder, call.token, call.number, call.body);
            if (platform_ == PlatformMode::losesAnswers && chance(0.5)) return;
            after(isSlow ? 600 * random_() : shortDelay(), [once, status] { once(status); });
        });
    }
    void onCalled(MemberProcess& member, const CallPlatform& call, int status) {
        execute(member, member.state->onCalled(now_, call.subject, call.attempt, status));
    }
    // A call may be sent only while a majority has confirmed the view within the freshness bound.
    void checkNotOutdated(const MemberProcess& member) {
        const std::size_t next = member.view + 1;
        if (next < views_.size() && now_ - decidedAt_[next] > kFreshnessBound + kTick)
            platformModel_.addViolation(fmt::format("{} called under an outdated view", member.name));
    }

    // ---- Gateways

    void start(GatewayProcess& gateway) {
        gateway.state = std::make_unique<gateway::UsageReportState>(gateway.name, gateway.session, kWindow);
        gateway.serves = false;
    }
    std::vector<std::pair<std::string, std::uint64_t>> liveGateways() const {
        std::vector<std::pair<std::string, std::uint64_t>> live;
        for (const GatewayProcess& gateway : gateways_) {
            if (now_ >= gateway.deadUntil) live.emplace_back(gateway.name, gateway.session);
            if (now_ - gateway.diedAt < kGatewayLease) live.emplace_back(gateway.name, gateway.session - 1);
        }
        return live;
    }
    void tickGateway(GatewayProcess& gateway, std::size_t tick) {
        if (now_ < gateway.deadUntil) return;
        const Millis own = kUnixTimeAtStart + now_ + gateway.clockOffset;
        if (tick % 25 == gateway.name.back() % 25U) poll(gateway, own);
        if (gateway.serves && now_ < settings_.end - 5000) {
            const std::string tenant = fmt::format("t{}", random_.below(3));
            gateway.state->onRunStarted(now_, own, tenant);
            ++actualCounts_[windowAt(kUnixTimeAtStart + now_, kWindow)][tenant];
        }
        if (tick % 12 != 0) return;
        auto call = gateway.state->onTimer(now_, own);
        if (call) report(gateway, *call);
    }
    void poll(GatewayProcess& gateway, Millis own) {
        MemberProcess& member = members_[random_.below(members_.size())];
        if (!runs(member)) return;
        member.state->onGatewayTime(now_, gateway.name, own);
        control::PollReply reply;
        reply.estimatedUnixTime =
            member.state->estimatedUnixTime(now_, kUnixTimeAtStart + now_ + member.clockOffset);
        if (const auto holder = member.state->usageHolder(views_[member.view])) {
            reply.usageAddress = holder->address;
            reply.usageTerm = holder->term;
        }
        gateway.state->onPollReply(now_, reply);
        gateway.serves = gateway.serves || now_ > 3000;
    }
    void report(GatewayProcess& gateway, const gateway::UsageCall& call) {
        const auto isEnded = std::make_shared<bool>(false);
        const auto once = [this, &gateway, session = gateway.session,
                           isEnded](const std::optional<control::UsageReply>& reply) {
            if (std::exchange(*isEnded, true) || gateway.session != session || now_ < gateway.deadUntil)
                return;
            gateway.state->onReply(now_, reply);
        };
        after(1000, [once] { once(std::nullopt); });
        if (chance(lossProbability())) return;
        after(shortDelay(), [this, call, once] {
            MemberProcess& member = *memberNamed(call.address);
            at(member, member.session, [this, &member, call, once] {
                const control::UsageReply reply =
                    member.state->onUsage(now_, replicaOf(member), call.message);
                if (!chance(lossProbability())) after(shortDelay(), [once, reply] { once(reply); });
            });
        });
    }

    // ---- Faults

    void tickFaults() {
        if (now_ >= settings_.faultsUntil) return heal();
        if (now_ < nextFaultAt_) return;
        nextFaultAt_ = now_ + 500 + 4000 * random_();
        flapProbability_ = chance(0.3) ? 0.7 : 0.05;
        ++result_.faults;
        // Prefer the current holder.
        const replica::Member* const holder = holderOf(kUsage, views_.back());
        MemberProcess& member =
            chance(0.6) ? *memberNamed(holder->name) : members_[random_.below(members_.size())];
        const Millis until = now_ + (chance(0.7) ? 300 + 3000 * random_() : 12'000 * random_());
        switch (random_.below(6)) {
            case 0:
                return kill(member, until);
            case 1:
                member.frozenUntil = until;
                return;
            case 2:
                member.cutControlUntil = until;
                return;
            case 3:
                member.cutPlatformUntil = until;
                return;
            case 4:
                if (settings_.killsGateways) kill(gateways_[random_.below(gateways_.size())], until);
                return;
            default:
                platform_ = static_cast<PlatformMode>(random_.below(5));
        }
    }
    void kill(MemberProcess& member, Millis until) {
        member.deadUntil = until;
        member.frozenUntil = 0;
        ++member.session;
        start(member);
    }
    void kill(GatewayProcess& gateway, Millis until) {
        gateway.deadUntil = until;
        gateway.diedAt = now_;
        ++gateway.session;
        start(gateway);
    }
    void heal() {
        platform_ = PlatformMode::healthy;
        for (MemberProcess& member : members_)
            for (Millis* const until :
                 {&member.deadUntil, &member.frozenUntil, &member.cutControlUntil, &member.cutPlatformUntil})
                *until = std::min(*until, settings_.faultsUntil);
    }

    void tick() {
        ++tick_;
        tickFaults();
        tickViews();
        while (!events_.empty() && events_.top().at <= now_) {
            const auto run = events_.top().run;
            events_.pop();
            run();
        }
        tickHead();
        for (MemberProcess& member : members_) tickMember(member);
        for (GatewayProcess& gateway : gateways_) tickGateway(gateway, tick_);
    }

    // ---- Final checks

    void checkEnd() {
        result_.committedIntents = committed_.size();
        for (const std::uint64_t number : committed_)
            if (!platformModel_.accepted().contains(number) &&
                now_ > windowEnd(number, kWindow) - kUnixTimeAtStart + kLate)
                platformModel_.addViolation(fmt::format("the recorded window {} was never accepted", number));
        const WindowNumber lastDue = windowAt(kUnixTimeAtStart + settings_.end - kLate, kWindow) - 1;
        if (!platformModel_.accepted().contains(lastDue))
            platformModel_.addViolation(fmt::format(
                "window {} was not reported: the newest is {}", lastDue,
                platformModel_.accepted().empty() ? 0 : platformModel_.accepted().rbegin()->first));
        for (const Intent& intent : intentsOf(*versions_.back(), kUsage))
            if (intent.state == IntentState::open && intent.number < lastDue)
                platformModel_.addViolation(
                    fmt::format("window {} is still open in the table", intent.number));
        if (settings_.killsGateways) return;
        for (const auto& [number, body] : platformModel_.accepted()) checkCounts(number, body);
    }
    void checkCounts(WindowNumber number, const std::string& body) {
        const nlohmann::json counts = nlohmann::json::parse(body)["instance_counts"];
        for (const auto& [tenant, count] : actualCounts_[number]) {
            const double reported = counts.value(tenant, 0.0);
            if (std::abs(reported - static_cast<double>(count)) > kTolerance * static_cast<double>(count))
                result_.countErrors.push_back(
                    fmt::format("window {} of {}: {} of {} requests", number, tenant, reported, count));
        }
    }

    SimulationSettings settings_;
    SplitMix random_;
    Millis now_ = 0;
    std::size_t tick_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::deque<MemberProcess> members_;
    std::deque<GatewayProcess> gateways_;
    std::vector<replica::View> views_;
    std::vector<Millis> decidedAt_;
    std::vector<std::size_t> startVersions_;  // of each view
    std::vector<std::shared_ptr<const Table>> versions_;
    std::deque<HeadRequest> headRequests_;
    bool isWriting_ = false;
    std::vector<Change> batch_;
    std::set<std::uint64_t> committed_;
    std::map<WindowNumber, TenantCounts> actualCounts_;
    PlatformModel platformModel_{kLease};
    PlatformMode platform_ = PlatformMode::healthy;
    double flapProbability_ = 0.05;
    Millis nextViewAt_ = 1000;
    Millis nextFaultAt_ = 6000;
    SimulationResult result_;
};

}  // namespace

SimulationResult simulateDuties(const SimulationSettings& settings) { return Simulation(settings).run(); }

}  // namespace beechpoint::duties
