// Clients on kept connections, an operator who gives, takes and moves keys, and the duties' calls, while signals, kills and restarts of
// all processes come in series and overlap. Each seed is a system of its own.
//
//   BEECHPOINT_SOAK_SEED      the first seed (default 1)
//   BEECHPOINT_SOAK_SEEDS     how many (default 1; long form 50)
//   BEECHPOINT_SOAK_SECONDS   how long processes are disturbed (default 10)
//   BEECHPOINT_SOAK_GATEWAYS  2 to 4 (default: by the seed)
//   BEECHPOINT_SOAK_CLIENTS   default 8
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "fixture.hpp"
#include "soak_checks.hpp"
#include "soak_clients.hpp"
#include "soak_history.hpp"
#include "soak_schedule.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kEndMost = 15'000;      // of a process after SIGTERM; drain and grace are shorter
constexpr Millis kMemberSettle = 3'000;  // until a member that came back counts as undisturbed
constexpr Millis kGatewaySettle = 500;
constexpr Millis kHealthyStretch = 4'000;
constexpr Millis kHealMost = 40'000;
constexpr std::size_t kTenants = 3;
constexpr std::size_t kKeys = 8;
constexpr std::size_t kFindingsShown = 10;
constexpr PlatformTroubles kTroubles{.refused = 0.1, .lost = 0.1, .slow = 0.1};

std::uint64_t parameter(const char* name, std::uint64_t otherwise) {
    const char* const text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

std::string keyName(std::size_t key) { return fmt::format("{}{}", kKeyMark, key); }

// The tenants' keys and the texts of configurations that hold them.
class TenantKeys {
public:
    TenantKeys() {
        for (std::size_t key = 0; key < kKeys; ++key) holders_[key] = key < 2 * kTenants ? key / 2 : kTenants;
    }

    // kTenants: nobody.
    std::size_t holderOf(std::size_t key) const { return holders_[key]; }
    void move(std::size_t key, std::size_t holder) { holders_[key] = holder; }
    static std::string nameOf(std::size_t holder) {
        return holder < kTenants ? fmt::format("t{}", holder) : "";
    }

    std::string whole(std::uint64_t revision) const {
        return fmt::format(
            R"({{"revision":{},"routes":[{},{},{},{},{}],"services":[{{"name":"s1","max_connections":60}}],)"
            R"("tenants":[{}]}})",
            revision, own(revision), route("safe", "idempotent", false),
            route("once", "non_idempotent", false), route("stream", "streaming", false),
            route("open", "idempotent", true), tenants({0, 1, 2}));
    }
    std::string patch(std::uint64_t revision, const std::set<std::size_t>& changed) const {
        return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}],"tenants":[{}]}}}})", revision,
                           own(revision), tenants(changed));
    }

private:
    static std::string route(const std::string& name, const std::string& type, bool isPublic,
                             const std::string& path = "") {
        return fmt::format(
            R"({{"name":"{}","hostname":"system.example","path_prefix":"{}","type":"{}","timeout_ms":2000,)"
            R"("backend":"s1","public":{}}})",
            name, path.empty() ? "/" + name + "/" : path, type, isPublic);
    }
    static std::string own(std::uint64_t revision) {
        return route("r1", "idempotent", true, routePath(revision));
    }

    std::string tenants(const std::set<std::size_t>& which) const {
        std::string list;
        for (const std::size_t tenant : which) {
            std::string keys;
            for (std::size_t key = 0; key < kKeys; ++key)
                if (holders_[key] == tenant)
                    keys += fmt::format("{}\"{}\"", keys.empty() ? "" : ",", keyName(key));
            list += fmt::format(R"({}{{"name":"{}","api_keys":[{}]}})", list.empty() ? "" : ",",
                                nameOf(tenant), keys);
        }
        return list;
    }

    std::array<std::size_t, kKeys> holders_{};
};

// A process under the schedule.
struct Disturbed {
    enum class State { running, stopped, terminating, down };
    std::string name;
    bool isMember = false;
    std::size_t number = 0;
    State state = State::running;
    bool terminatedWhileStopped = false;
    Millis until = 0;  // of the stop, of the time that it is down, of the patience with its end
    Millis length = 0;
};

class SoakTest : public SystemTest {
protected:
    void soak(std::uint64_t seed);

    // The operator's side, on a thread of its own while the processes are disturbed.
    void changeSteadily(std::uint64_t seed, const std::atomic<bool>& ends);
    void changeOneKey(std::mt19937_64& random);
    void setUpTenants();
    bool sendUntilTaken(const operator_client::Call& call);

    // The processes' side.
    void disturb(const std::vector<SoakEvent>& events);
    void apply(const SoakEvent& event);
    // A signal that the program is to handle waits until its handlers are in place.
    bool canApply(const SoakEvent& event);
    Disturbed& targetOf(const SoakEvent& event);
    void advance(Disturbed& process);
    void advanceAll() {
        for (Disturbed& process : processes_) advance(process);
    }
    bool heal();
    void signal(const Disturbed& process, int number);
    void kill(Disturbed& process, Millis length);
    void start(Disturbed& process);
    std::optional<int> endOf(const Disturbed& process, Millis most) {
        return process.isMember ? system_->awaitEnd(process.number, most)
                                : system_->awaitGatewayEnd(process.number, most);
    }
    void endDisruption(const Disturbed& process);

    // For the next seed.
    void reset();
    static int failures() {
        return ::testing::UnitTest::GetInstance()->current_test_info()->result()->total_part_count();
    }
    void recordHealthyStretch();
    void check();
    void expectNone(const char* what, const Findings& findings);
    Millis unixTime() const { return system_->clock().toUnix(system_->clock().now()); }

    std::vector<Disturbed> processes_;
    TenantKeys tenants_;
    SoakRecord record_;
    std::optional<SoakClients> clients_;
    std::string unclear_;
};

bool SoakTest::sendUntilTaken(const operator_client::Call& call) {
    Outcome outcome = operator_->send(call, system_->founders());
    for (int again = 0; again < 5 && !outcome.taken() && !outcome.refused(); ++again)
        outcome = operator_->send(call, system_->founders());
    if (!outcome.taken()) unclear_ = fmt::format("{} {}: {}", call.method, call.target, outcome.text());
    return outcome.taken();
}

void SoakTest::setUpTenants() {
    const Millis began = unixTime();
    for (std::size_t key = 0; key < kKeys; ++key)
        record_.keys.begin(keyName(key), TenantKeys::nameOf(tenants_.holderOf(key)), began);
    ASSERT_TRUE(sendUntilTaken({"PUT", "/configuration", tenants_.whole(revision_ + 1), revision_}))
        << unclear_;
    ++revision_;
    ASSERT_TRUE(system_->awaitGateways(revision_));
}

void SoakTest::changeOneKey(std::mt19937_64& random) {
    const std::size_t key = random() % kKeys;
    const std::size_t before = tenants_.holderOf(key);
    const std::size_t after = (before + 1 + random() % kTenants) % (kTenants + 1);
    std::set<std::size_t> changed{before, after};
    changed.erase(kTenants);
    tenants_.move(key, after);
    const bool isPatch = random() % 2 == 0;
    operator_client::Call call{
        isPatch ? "PATCH" : "PUT", "/configuration",
        isPatch ? tenants_.patch(revision_ + 1, changed) : tenants_.whole(revision_ + 1), revision_};
    record_.keys.begin(keyName(key), TenantKeys::nameOf(after), unixTime());
    if (!sendUntilTaken(call)) return;
    record_.keys.acknowledge(keyName(key), unixTime());
    ++revision_;
}

void SoakTest::changeSteadily(std::uint64_t seed, const std::atomic<bool>& ends) {
    std::mt19937_64 random(seed);
    constexpr std::uint64_t kLongestPauseMs = 800;
    bool evacuated = false;
    while (!ends && unclear_.empty()) {
        if (random() % 5 == 0) {
            evacuated = !evacuated;
            sendUntilTaken({evacuated ? "POST" : "DELETE", "/evacuate/z2", {}, std::nullopt});
        } else {
            changeOneKey(random);
        }
        const auto pause = static_cast<Millis>(random() % kLongestPauseMs);
        system_->await([&] { return ends.load(); }, pause);
    }
    if (evacuated) sendUntilTaken({"DELETE", "/evacuate/z2", {}, std::nullopt});
}

void SoakTest::signal(const Disturbed& process, int number) {
    if (process.isMember)
        system_->signalMember(process.number, number);
    else
        system_->signalGateway(process.number, number);
}

void SoakTest::start(Disturbed& process) {
    if (process.isMember)
        system_->startMember(process.number);
    else
        system_->startGateway(process.number);
    process.state = Disturbed::State::running;
    endDisruption(process);
}

void SoakTest::kill(Disturbed& process, Millis length) {
    record_.disruptions.begin(process.name, Disruption::killed, unixTime());
    if (process.isMember)
        system_->killMember(process.number);
    else
        system_->killGateway(process.number);
    process.state = Disturbed::State::down;
    process.terminatedWhileStopped = false;
    process.until = system_->clock().now() + length;
}

void SoakTest::endDisruption(const Disturbed& process) {
    record_.disruptions.end(process.name, unixTime() + (process.isMember ? kMemberSettle : kGatewaySettle));
}

Disturbed& SoakTest::targetOf(const SoakEvent& event) {
    return *std::ranges::find_if(processes_, [&](const Disturbed& process) {
        return process.isMember == event.isMember && process.number == event.number;
    });
}

bool SoakTest::canApply(const SoakEvent& event) {
    const bool isHandled = event.action == SoakAction::terminate || event.action == SoakAction::reload;
    // One that ends or is down takes nothing: apply() passes over it.
    const Disturbed::State state = targetOf(event).state;
    if (!isHandled || state == Disturbed::State::down || state == Disturbed::State::terminating) return true;
    return event.isMember ? system_->memberHandlesSignals(event.number)
                          : system_->gatewayHandlesSignals(event.number);
}

void SoakTest::apply(const SoakEvent& event) {
    using State = Disturbed::State;
    Disturbed& process = targetOf(event);
    const bool fresh = process.state == State::running;
    if (process.state == State::down || (!fresh && event.action == SoakAction::stop)) return;
    const Millis now = system_->clock().now();
    switch (event.action) {
        case SoakAction::reload:
            return signal(process, SIGHUP);
        case SoakAction::kill:
            return kill(process, event.length);
        case SoakAction::stop:
            record_.disruptions.begin(process.name, Disruption::stopped, unixTime());
            signal(process, SIGSTOP);
            process.state = State::stopped;
            process.until = now + event.length;
            return;
        case SoakAction::terminate:
            if (process.state == State::terminating) return signal(process, SIGTERM);
            record_.disruptions.begin(process.name, Disruption::terminated, unixTime());
            signal(process, SIGTERM);
            process.length = event.length;
            process.terminatedWhileStopped = !fresh;
            if (!fresh) return;
            process.state = State::terminating;
            process.until = now + kEndMost;
            return;
    }
}

void SoakTest::advance(Disturbed& process) {
    using State = Disturbed::State;
    const Millis now = system_->clock().now();
    if (process.state == State::running && endOf(process, 0)) {
        ADD_FAILURE() << process.name << " ended by itself";
        kill(process, 0);
    } else if (process.state == State::stopped && now >= process.until) {
        signal(process, SIGCONT);
        process.state = process.terminatedWhileStopped ? State::terminating : State::running;
        process.until = now + kEndMost;
        if (!process.terminatedWhileStopped) endDisruption(process);
        process.terminatedWhileStopped = false;
    } else if (process.state == State::terminating) {
        const std::optional<int> status = endOf(process, 0);
        if (!status && now < process.until) return;
        EXPECT_EQ(status, std::optional<int>(0)) << process.name << " after SIGTERM";
        if (!status) return kill(process, 0);
        process.state = State::down;
        process.until = now + process.length;
    } else if (process.state == State::down && now >= process.until) {
        start(process);
    }
}

void SoakTest::disturb(const std::vector<SoakEvent>& events) {
    const Millis began = system_->clock().now();
    std::size_t next = 0;
    std::vector<SoakEvent> due;
    system_->await(
        [&] {
            while (next < events.size() && system_->clock().now() - began >= events[next].at)
                due.push_back(events[next++]);
            std::erase_if(due, [&](const SoakEvent& event) {
                if (!canApply(event)) return false;
                apply(event);
                return true;
            });
            advanceAll();
            return next == events.size() && due.empty();
        },
        kNever);
}

bool SoakTest::heal() {
    return system_->await(
        [&] {
            advanceAll();
            return std::ranges::all_of(processes_, [](const Disturbed& process) {
                return process.state == Disturbed::State::running;
            });
        },
        kHealMost);
}

void SoakTest::recordHealthyStretch() {
    const Millis settled = system_->clock().now() + kLease + kMemberSettle;
    system_->await([&] { return system_->clock().now() >= settled; }, kNever);
    record_.healthy.from = unixTime();
    system_->await([&] { return unixTime() >= record_.healthy.from + kHealthyStretch; }, kNever);
    record_.healthy.to = unixTime();
}

void SoakTest::expectNone(const char* what, const Findings& findings) {
    report("soak", fmt::format("findings on {}", what), static_cast<double>(findings.size()));
    for (std::size_t shown = 0; shown < std::min(findings.size(), kFindingsShown); ++shown)
        ADD_FAILURE() << what << ": " << findings[shown];
}

void SoakTest::check() {
    record_.runs = system_->surroundings().runs();
    record_.dutyCalls = system_->surroundings().dutyCalls();
    report("soak", "requests", static_cast<double>(record_.attempts.size()));
    report("soak", "runs", static_cast<double>(record_.runs.size()));
    report("soak", "calls of duties", static_cast<double>(record_.dutyCalls.size()));
    std::map<std::string, std::size_t> endings;
    for (const Attempt& attempt : record_.attempts)
        ++endings[attempt.whole ? fmt::format("status {}", attempt.status)
                                : attempt.failure.substr(0, attempt.failure.find(':'))];
    for (const auto& [ending, count] : endings)
        report("soak", "ended with " + ending, static_cast<double>(count));
    EXPECT_GT(endings["status 200"], 0u);
    EXPECT_GT(endings["status 401"], 0u);
    advanceAll();  // one that ended by itself meanwhile is found here
    const std::string logs = system_->logs();
    for (const char* const mark : {"ERROR: AddressSanitizer", "ERROR: LeakSanitizer", "runtime error:"})
        EXPECT_EQ(logs.find(mark), std::string::npos) << "a process's log has: " << mark;
    expectNone("runs", checkRuns(record_));
    expectNone("answers", checkAnswers(record_));
    expectNone("duties", checkDutyCalls(record_.dutyCalls));
    expectNone("usage", checkUsage(record_));
}

void SoakTest::soak(std::uint64_t seed) {
    System::Shape shape;
    shape.gateways =
        std::clamp<std::size_t>(parameter("BEECHPOINT_SOAK_GATEWAYS", 2 + seed % 3), 2, kMostGateways);
    shape.hosts = 2;
    shape.duties = true;
    ASSERT_NO_FATAL_FAILURE(begin(shape));
    ASSERT_NO_FATAL_FAILURE(setUpTenants());
    for (const std::size_t member : system_->founders())
        processes_.push_back({.name = system_->nodeOf(member), .isMember = true, .number = member});
    SoakClients::Settings settings{{}, {"", "soak-key-never"}, parameter("BEECHPOINT_SOAK_CLIENTS", 8), seed};
    for (std::size_t gateway = 0; gateway < shape.gateways; ++gateway) {
        processes_.push_back({.name = system_->gatewayNode(gateway), .isMember = false, .number = gateway});
        settings.fronts.push_back(system_->frontAddress(gateway));
    }
    for (std::size_t key = 0; key < kKeys; ++key) settings.keys.push_back(keyName(key));
    system_->surroundings().trouble(kTroubles, seed);
    clients_.emplace(system_->clock(), settings);

    const Millis length = 1'000.0 * static_cast<double>(parameter("BEECHPOINT_SOAK_SECONDS", 10));
    const auto events = drawSchedule(seed, shape.members, shape.gateways, length);
    std::string trace;
    for (const SoakEvent& event : events) trace += "\n" + describe(event);
    SCOPED_TRACE("schedule:" + trace);
    std::atomic<bool> ends = false;
    std::thread changes([&] { changeSteadily(seed, ends); });
    disturb(events);
    const bool healed = heal();
    ends = true;
    changes.join();
    EXPECT_TRUE(healed) << "a process did not end";
    EXPECT_EQ(unclear_, "");
    EXPECT_TRUE(system_->awaitView(system_->founders(), kHealMost)) << "the members did not come together";
    EXPECT_TRUE(system_->awaitGateways(revision_)) << "revision " << revision_ << " is not served";
    recordHealthyStretch();
    record_.attempts = clients_->end();
    const Millis left = record_.healthy.to + kUsageLate - unixTime();
    system_->await([&] { return allReported(system_->surroundings().dutyCalls(), record_.healthy); }, left);
    check();
}

void SoakTest::reset() {
    operator_.reset();
    system_.reset();
    processes_.clear();
    tenants_ = {};
    record_ = {};
    unclear_.clear();
    revision_ = 0;
}

TEST_F(SoakTest, NothingIsLostDoubledOrGivenAwayWhileProcessesComeAndGo) {
    const std::uint64_t first = parameter("BEECHPOINT_SOAK_SEED", 1);
    const std::uint64_t seeds = parameter("BEECHPOINT_SOAK_SEEDS", byForm(1, 50));
    std::string failing;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        SCOPED_TRACE(
            fmt::format("repeat: BEECHPOINT_SOAK_SEED={} system_tests --gtest_filter=SoakTest.*", seed));
        const int before = failures();
        soak(seed);
        clients_.reset();
        if (failures() > before) failing += fmt::format(" {}", seed);
        if (failures() > before) ADD_FAILURE() << system_->logs();
        if (seed + 1 < first + seeds) reset();
    }
    report("soak", "failing seeds:" + failing, static_cast<double>(std::ranges::count(failing, ' ')));
}

}  // namespace
}  // namespace beechpoint::system_test
