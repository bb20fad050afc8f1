#include "operator_process.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "observed_state.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kMinPause = 10;
constexpr Millis kMaxPause = 120;
constexpr Millis kPlanTotal = 10'000;
constexpr int kMaxPlans = 8;     // of one call that gets no clear answer
constexpr double kGiveUp = 0.1;  // with no clear answer, after one plan
constexpr double kConcurrentChange = 0.15;
constexpr double kRepetition = 0.04;  // an earlier change, byte by byte
constexpr double kStaleRevision = 0.02;

}  // namespace

// ---- History

std::size_t History::begin(StoreCall call, Millis now) {
    operations_.push_back({std::move(call), {}, now, now});
    dropped_.push_back(false);
    return operations_.size() - 1;
}

void History::end(std::size_t operation, StoreAnswer answer, Millis now) {
    operations_[operation].answer = std::move(answer);
    operations_[operation].returnedAt = now;
}

std::vector<StoreOperation> History::operations() const {
    std::map<std::uint64_t, int> made;
    for (const StoreOperation& operation : operations_) ++made[operation.call.identity];
    std::vector<StoreOperation> kept;
    for (std::size_t index = 0; index < operations_.size(); ++index) {
        if (dropped_[index] || (!operations_[index].answer && !operations_[index].call.changes())) continue;
        kept.push_back(operations_[index]);
        if (made[kept.back().call.identity] == 1) kept.back().call.identity = 0;
    }
    return kept;
}

// ---- Which call

OperatorProcess::OperatorProcess(VirtualNetwork& network, Transport& transport, History& history,
                                 OperatorCounters& counters, Settings settings)
    : Process(network, settings.number),
      transport_(transport),
      history_(history),
      counters_(counters),
      settings_(std::move(settings)) {}

void OperatorProcess::start() {
    running_ = true;
    pause();
}

void OperatorProcess::pause() {
    later(network_.now() + network_.draw(kMinPause, kMaxPause), [this] {
        if (!busy_) next();
    });
}

void OperatorProcess::next() {
    if (running_) begin(draw());
}

StoreCall OperatorProcess::draw() {
    if (settings_.reads || std::exchange(mustRead_, false) || network_.chance(0.15)) return {};
    if (earlier_ && network_.chance(kRepetition)) {
        ++counters_.repetitions;
        return *earlier_;
    }
    if (network_.chance(0.12)) {
        StoreCall call;
        call.kind = network_.chance(0.5) ? StoreCallKind::evacuate : StoreCallKind::cancelEvacuation;
        call.zone = settings_.number * 2 + network_.below(2);
        return call;
    }
    return drawChange();
}

StoreCall OperatorProcess::drawChange() {
    StoreCall call;
    call.identity = network_.bits() | 1;
    call.ifMatch = believedVersion_;
    call.revision = believedVersion_ + (network_.chance(0.9) ? 1 : 1 + network_.below(3));
    if (network_.chance(kStaleRevision)) call.revision = believedVersion_;
    call.kind = believedVersion_ == 0 || network_.chance(0.3) ? StoreCallKind::put : StoreCallKind::patch;
    const auto value = static_cast<std::uint32_t>(1 + history_.all().size());
    for (std::uint32_t& item : call.document) item = value;
    call.item = network_.below(kDocumentItems);
    return call;
}

void OperatorProcess::changeAtOnce(std::uint64_t version) {
    if (busy_ || !running_ || settings_.reads) return;
    believedVersion_ = version;
    begin(drawChange());
}

// ---- Making it

void OperatorProcess::begin(StoreCall call) {
    busy_ = true;
    call_ = std::move(call);
    beganAt_ = network_.now();
    plans_ = 0;
    maybeApplied_ = false;
    operation_ = history_.begin(call_, network_.now());
    if (call_.versioned() && network_.chance(kConcurrentChange)) settings_.changeConcurrently(call_.ifMatch);
    plan();
}

void OperatorProcess::plan() {
    operator_client::CallPlan::Settings settings;
    settings.members = settings_.members();
    std::ranges::rotate(
        settings.members,
        settings.members.begin() + static_cast<std::ptrdiff_t>(network_.below(settings.members.size())));
    settings.target = requestOf(call_).path;
    settings.changes = call_.changes();
    settings.total = kPlanTotal;
    settings.seed = network_.bits();
    ++plans_;
    plan_.emplace(std::move(settings), network_.now());
    follow(plan_->begin(network_.now()));
}

void OperatorProcess::follow(const operator_client::Step& step) {
    if (const auto* call = std::get_if<operator_client::Send>(&step)) {
        send(*call);
    } else if (const auto* wait = std::get_if<operator_client::Backoff>(&step)) {
        later(network_.now() + wait->length, [this] { follow(plan_->onBackoffOver(network_.now())); });
    } else {
        onPlanEnded(std::get<operator_client::Over>(step).ending);
    }
}

void OperatorProcess::send(const operator_client::Send& send) {
    ++counters_.attempts;
    if (maybeApplied_) ++counters_.retries;
    transport_.callOperators(
        *this, send.address, requestOf(call_), send.timeout,
        [this, attempt = ++attempt_](const std::optional<OperatorAnswer>& answer, bool sent) {
            if (attempt != attempt_) return;
            if (answer) return onAnswer(*answer);
            maybeApplied_ = maybeApplied_ || sent;
            follow(plan_->onFailure(network_.now(), sent));
        });
}

void OperatorProcess::onAnswer(const OperatorAnswer& answer) {
    last_ = answer;
    if (answer.status == 307) ++counters_.redirects;
    if (answer.status >= 500) maybeApplied_ = true;
    follow(plan_->onAnswer(network_.now(), answer.status, answer.location));
}

void OperatorProcess::onPlanEnded(operator_client::Ending ending) {
    using operator_client::Ending;
    if (ending == Ending::done) {
        const ObservedState shown = observedState(last_.body);
        StoreAnswer answer{StoreAnswerKind::done, shown.revision, {}, {}};
        if (!call_.changes()) {
            answer.document = shown.document;
            answer.evacuated = last_.evacuated;
        }
        return finish(answer);
    }
    if (ending == Ending::refused)
        return finish(
            {last_.status == 412 ? StoreAnswerKind::conflict : StoreAnswerKind::invalid, 0, {}, {}});
    if (plans_ < kMaxPlans && running_ && !network_.chance(kGiveUp)) return plan();
    // Nothing was sent in the last plan; an earlier one may have reached a member.
    const bool unknown = maybeApplied_ || ending == Ending::unknown;
    ++(unknown ? counters_.unknown : counters_.notSent);
    if (!unknown) history_.drop(operation_);
    if (unknown && call_.versioned()) earlier_ = call_;
    busy_ = false;
    mustRead_ = true;
    pause();
}

void OperatorProcess::finish(const StoreAnswer& answer) {
    history_.end(operation_, answer, network_.now());
    const bool acknowledged = answer.kind == StoreAnswerKind::done;
    if (!call_.changes()) {
        ++counters_.reads;
    } else {
        ++(acknowledged ? counters_.acknowledged : counters_.rejected);
        if (acknowledged)
            counters_.slowestAcknowledgement =
                std::max(counters_.slowestAcknowledgement, network_.now() - beganAt_);
    }
    if (acknowledged) believedVersion_ = std::max(believedVersion_, answer.revision);
    if (!acknowledged) mustRead_ = true;
    if (acknowledged && call_.versioned() && network_.chance(0.3)) earlier_ = call_;
    settings_.answered(call_, answer, last_.position);
    busy_ = false;
    pause();
}

OperatorRequest OperatorProcess::requestOf(const StoreCall& call) const {
    const std::string version = fmt::format("\"{}\"", call.ifMatch);
    switch (call.kind) {
        case StoreCallKind::put:
            return {"PUT", "/configuration", version, putBody(call.revision, call.document)};
        case StoreCallKind::patch:
            return {"PATCH", "/configuration", version,
                    patchBody(call.revision, call.item, call.document[call.item])};
        case StoreCallKind::evacuate:
            return {"POST", "/evacuate/" + zoneName(call.zone), "", ""};
        case StoreCallKind::cancelEvacuation:
            return {"DELETE", "/evacuate/" + zoneName(call.zone), "", ""};
        case StoreCallKind::read:
            break;
    }
    return {"GET", "/configuration", "", ""};
}

}  // namespace beechpoint::simulation
