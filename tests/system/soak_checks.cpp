#include "soak_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "event_script.hpp"
#include "system.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kWindow = 1'000.0 * kUsageWindowS;
constexpr double kUsageTolerance = 0.05;
constexpr double kUsageSlack = 2;  // requests of a tenant that began to run at the very ends of the stretch
constexpr const char* kEventsPath = "/events/";
constexpr const char* kUsageSubject = "/usage-reports";

using Bodies = std::map<std::uint64_t, std::string>;

std::string gatewayName(const Attempt& attempt) { return fmt::format("edge-{}", attempt.gateway + 1); }

std::string describe(const Attempt& attempt) {
    return fmt::format("{} at {} to {} with key '{}', sent {:.0f}, ended {:.0f}, status {}, {}", attempt.id,
                       attempt.path, gatewayName(attempt), attempt.key, attempt.sentAt, attempt.endedAt,
                       attempt.status, attempt.failure.empty() ? "whole" : attempt.failure);
}

std::string describe(const DutyCall& call) {
    return fmt::format("{} by {} under {} at {:.0f}, answer {}: {}", call.subject, call.holder, call.token,
                       call.at, call.answer, call.body);
}

// From when on the holders of keys count: a gateway in touch with the members knows a change after kConfigApply, others may know any old
// state.
Millis oldestState(const SoakRecord& record, const Attempt& attempt, Millis until) {
    const Period period{attempt.sentAt - kConfigApply, until};
    const bool inTouch = record.disruptions.count("core-", period) <= 1 &&
                         !record.disruptions.any(gatewayName(attempt), period);
    return inTouch ? period.from : 0;
}

bool isPublic(const std::string& path) { return path.starts_with("/open/"); }

void checkTenant(const SoakRecord& record, const Attempt& attempt, const HostRun& run, Findings& findings) {
    const Period period{oldestState(record, attempt, run.at), run.at};
    if (record.keys.held(attempt.key, run.tenant, period) && (!run.tenant.empty() || isPublic(attempt.path)))
        return;
    findings.push_back(
        fmt::format("run for tenant '{}' at {:.0f}: {}", run.tenant, run.at, describe(attempt)));
}

std::map<std::string, const Attempt*> byId(const std::vector<Attempt>& attempts) {
    std::map<std::string, const Attempt*> index;
    for (const Attempt& attempt : attempts) index.emplace(attempt.id, &attempt);
    return index;
}

bool isExpectedBody(const Attempt& attempt) {
    if (attempt.status == 200 && attempt.path.starts_with(kEventsPath))
        return isWholeStream(attempt.id, attempt.body);
    return attempt.status != 200 ||
           attempt.body == (attempt.path.starts_with("/stream/") ? kStreamedAnswer : kPlainAnswer);
}

bool isCutOffAsDue(const Attempt& attempt) {
    return attempt.whole || attempt.status != 200 || !attempt.path.starts_with(kEventsPath) ||
           isCutStream(attempt.id, attempt.body);
}

// What became of a request at the hosts.
struct AtHosts {
    bool wasRun = false;
    bool wasSpoiled = false;  // a gateway may then end the answer visibly
};

void checkAnswer(const SoakRecord& record, const Attempt& attempt, const AtHosts& hosts, Findings& findings) {
    const Period period{attempt.sentAt, attempt.endedAt};
    const std::string gateway = gatewayName(attempt);
    if (attempt.foreign) findings.push_back("the answer of another request: " + describe(attempt));
    if (attempt.whole && !isExpectedBody(attempt))
        findings.push_back(
            fmt::format("whole, but not the host's answer '{}': {}", attempt.body, describe(attempt)));
    if (attempt.status == 401 &&
        !record.keys.held(attempt.key, "", {oldestState(record, attempt, attempt.endedAt), attempt.endedAt}))
        findings.push_back("refused though the key is held: " + describe(attempt));
    if (!isCutOffAsDue(attempt))
        findings.push_back(
            fmt::format("'{}' is a stream that no run made: {}", attempt.body, describe(attempt)));
    if (attempt.failure.empty() || hosts.wasSpoiled) return;
    if (hosts.wasRun && !record.disruptions.any(gateway, Disruption::killed, period) &&
        !record.disruptions.any(gateway, Disruption::stopped, period))
        findings.push_back("read and left without a whole answer: " + describe(attempt));
    else if (!record.disruptions.any(gateway, period))
        findings.push_back("broken off by a gateway that was not disturbed: " + describe(attempt));
}

nlohmann::json parsed(const std::string& body) { return nlohmann::json::parse(body, nullptr, false); }

// The accepted bodies of the reports, by window. `findings`: null where it does not matter whether they agree.
Bodies acceptedReports(const std::vector<DutyCall>& calls, Findings* findings) {
    Bodies bodies;
    for (const DutyCall& call : calls) {
        if (!call.accepted || call.subject != kUsageSubject) continue;
        const auto body = parsed(call.body);
        if (!body.is_object() || !body.contains("window_number")) {
            if (findings != nullptr) findings->push_back("not a report: " + describe(call));
            continue;
        }
        const auto [known, isNew] = bodies.emplace(body["window_number"].get<std::uint64_t>(), call.body);
        if (!isNew && known->second != call.body && findings != nullptr)
            findings->push_back(
                fmt::format("another body of a window, first {}: {}", known->second, describe(call)));
    }
    return bodies;
}

// The windows that lie in the period with both ends.
std::pair<std::uint64_t, std::uint64_t> windowsOf(const Period& period) {
    return {static_cast<std::uint64_t>(std::ceil(period.from / kWindow)),
            static_cast<std::uint64_t>(std::floor(period.to / kWindow))};
}

// What a subject's calls show so far, in the order in which they came.
class SubjectBook {
public:
    void take(const DutyCall& call, Findings& findings) {
        const auto [holder, isNew] = holders_.emplace(call.token, call.holder);
        if (!isNew && holder->second != call.holder)
            findings.push_back(fmt::format("the token is {}'s: {}", holder->second, describe(call)));
        if (!call.accepted) return;
        if (call.token < newestToken_)
            findings.push_back(fmt::format("accepted after token {}: {}", newestToken_, describe(call)));
        newestToken_ = std::max(newestToken_, call.token);
        const auto last = lastCalls_.find(call.holder);
        if (holder_ != call.holder && last != lastCalls_.end() && call.at - last->second < kLease)
            findings.push_back(fmt::format("back after {:.0f} ms, {} acted between: {}",
                                           call.at - last->second, holder_, describe(call)));
        lastCalls_[call.holder] = call.at;
        holder_ = call.holder;
    }

private:
    std::map<std::uint64_t, std::string> holders_;
    std::map<std::string, Millis> lastCalls_;
    std::string holder_;
    std::uint64_t newestToken_ = 0;
};

}  // namespace

Findings checkRuns(const SoakRecord& record) {
    Findings findings;
    const auto attempts = byId(record.attempts);
    std::set<std::string> once;
    for (const HostRun& run : record.runs) {
        if (run.keySeen) findings.push_back(fmt::format("a host saw a key: {} at {}", run.id, run.path));
        const auto attempt = attempts.find(run.id);
        if (attempt == attempts.end()) continue;  // one of the harness's own
        checkTenant(record, *attempt->second, run, findings);
        if (run.path.starts_with("/once/") && !once.insert(run.id).second)
            findings.push_back("run twice: " + describe(*attempt->second));
    }
    return findings;
}

Findings checkAnswers(const SoakRecord& record) {
    Findings findings;
    std::map<std::string, AtHosts> hosts;
    for (const HostRun& run : record.runs) {
        AtHosts& entry = hosts[run.id];
        entry.wasRun = true;
        entry.wasSpoiled = entry.wasSpoiled || run.spoiled;
    }
    for (const Attempt& attempt : record.attempts) checkAnswer(record, attempt, hosts[attempt.id], findings);
    return findings;
}

Findings checkDutyCalls(const std::vector<DutyCall>& calls) {
    Findings findings;
    acceptedReports(calls, &findings);
    std::map<std::string, SubjectBook> subjects;
    for (const DutyCall& call : calls) subjects[call.subject].take(call, findings);
    return findings;
}

bool allReported(const std::vector<DutyCall>& calls, const Period& period) {
    const Bodies bodies = acceptedReports(calls, nullptr);
    const auto [first, end] = windowsOf(period);
    for (std::uint64_t window = first; window < end; ++window)
        if (!bodies.contains(window)) return false;
    return true;
}

Findings checkUsage(const SoakRecord& record) {
    Findings findings;
    const Bodies bodies = acceptedReports(record.dutyCalls, nullptr);
    const auto [first, end] = windowsOf(record.healthy);
    std::map<std::string, double> reported, truth;
    for (std::uint64_t window = first; window < end; ++window) {
        const auto body = bodies.find(window);
        if (body == bodies.end()) {
            findings.push_back(fmt::format("window {} of the healthy stretch is not reported", window));
            continue;
        }
        const nlohmann::json report = parsed(body->second);
        for (const auto& [tenant, count] : report["instance_counts"].items())
            reported[tenant] += count.get<double>();
    }
    for (const HostRun& run : record.runs)
        if (!run.tenant.empty() && run.at >= static_cast<double>(first) * kWindow &&
            run.at < static_cast<double>(end) * kWindow)
            ++truth[run.tenant];
    for (const auto& [tenant, count] : reported) truth.try_emplace(tenant, 0);
    for (const auto& [tenant, count] : truth)
        if (std::abs(reported[tenant] - count) > kUsageTolerance * count + kUsageSlack)
            findings.push_back(
                fmt::format("usage of {}: {} reported, {} run", tenant, reported[tenant], count));
    return findings;
}

}  // namespace beechpoint::system_test
