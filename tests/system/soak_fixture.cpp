#include "soak_fixture.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "crowd_play.hpp"
#include "process_figures.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kEndMost = 15'000;      // of a process after SIGTERM; drain and grace are shorter
constexpr Millis kMemberSettle = 3'000;  // until a member that came back counts as undisturbed
constexpr Millis kGatewaySettle = 500;
constexpr Millis kHealthyStretch = 4'000;
constexpr Millis kHealMost = 40'000;
constexpr Millis kContact = 4'000;      // contact_ms: the members count as stable from then on
constexpr Millis kAcknowledge = 5'000;  // ack_ms
constexpr std::uint64_t kSeriesGapMs = 300;
constexpr std::size_t kFindingsShown = 10;
constexpr PlatformTroubles kTroubles{.refused = 0.1, .lost = 0.1, .slow = 0.1};
constexpr double kSpoiledStreams = 0.2;
constexpr std::size_t kStreamHosts = 6;
constexpr std::int64_t kStreamMemoryMb = 96;  // little, so that slow readers meet the bound
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kSanitizerBytes = 200 * kMegabyte;  // of an idle process that a sanitizer watches
#else
constexpr std::size_t kSanitizerBytes = 0;
#endif

}  // namespace

std::uint64_t parameter(const char* name, std::uint64_t otherwise) {
    const char* const text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

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
        startGateway(process.number);
    process.state = Disturbed::State::running;
    endDisruption(process);
}

void SoakTest::startGateway(std::size_t gateway) {
    if (numbers_) numbers_->gatewayStarts(gateway);
    system_->startGateway(gateway);
    if (numbers_) numbers_->gatewayStarts(gateway);
}

void SoakTest::kill(Disturbed& process, Millis length) {
    if (checksMemory_) checkMemory(process);
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

Disturbed& SoakTest::processOf(std::size_t member) { return targetOf({.isMember = true, .number = member}); }

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
    system_->surroundings().spoilStreams(0);
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

void SoakTest::beginSoak(std::uint64_t seed, const System::Shape& shape) {
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
    system_->surroundings().spoilStreams(kSpoiledStreams);
    clients_.emplace(system_->clock(), settings);
}

void SoakTest::endSoak() {
    EXPECT_EQ(unclear_, "");
    EXPECT_TRUE(system_->awaitView(system_->founders(), kHealMost)) << "the members did not come together";
    EXPECT_TRUE(system_->awaitGateways(revision_)) << "revision " << revision_ << " is not served";
    recordHealthyStretch();
    record_.attempts = clients_->end();
    const Millis left = record_.healthy.to + kUsageLate - unixTime();
    system_->await([&] { return allReported(system_->surroundings().dutyCalls(), record_.healthy); }, left);
    check();
}

System::Shape SoakTest::shapeOf(std::size_t members, std::size_t gateways) {
    System::Shape shape;
    shape.members = std::clamp<std::size_t>(parameter("BEECHPOINT_SOAK_MEMBERS", members), 3, kMostMembers);
    shape.gateways =
        std::clamp<std::size_t>(parameter("BEECHPOINT_SOAK_GATEWAYS", gateways), 2, kMostGateways);
    shape.hosts = 2;
    shape.duties = true;
    return shape;
}

Millis SoakTest::disturbedFor() {
    return 1'000.0 * static_cast<double>(parameter("BEECHPOINT_SOAK_SECONDS", 10));
}

void SoakTest::soak(std::uint64_t seed) {
    const System::Shape shape = shapeOf(3, 2 + seed % 3);
    ASSERT_NO_FATAL_FAILURE(beginSoak(seed, shape));
    const auto events = drawSchedule(seed, shape.members, shape.gateways, disturbedFor());
    SCOPED_TRACE("schedule:" + describe(events));
    std::atomic<bool> ends = false;
    std::thread changes([&] { changeSteadily(seed, ends); });
    disturb(events);
    const bool healed = heal();
    ends = true;
    changes.join();
    EXPECT_TRUE(healed) << "a process did not end";
    endSoak();
}

void SoakTest::soakInSeries(std::uint64_t seed) {
    const System::Shape shape = shapeOf(seed % 3 == 0 ? 5 : 3, 2 + seed % 3);
    ASSERT_NO_FATAL_FAILURE(beginSoak(seed, shape));
    playSeries(seed, shape);
    endSoak();
}

void SoakTest::soakBesideCrowds(std::uint64_t seed) {
    limitSanitizerReserve();
    System::Shape shape = shapeOf(3, 2 + seed % 3);
    shape.gatewayDirectories = true;
    ASSERT_NO_FATAL_FAILURE(beginSoak(seed, shape));
    checksMemory_ = true;
    CrowdRounds crowds(listeners(), seed);
    playSeries(seed, shape);
    report("soak", "crowds", static_cast<double>(crowds.end()));
    for (const Disturbed& process : processes_) checkMemory(process);
    endSoak();
}

void SoakTest::startStreamHosts(std::uint64_t seed) {
    hostLoop_.emplace();
    hostLoop_->run([&] {
        for (std::size_t host = 0; host < kStreamHosts; ++host) {
            streamHosts_.push_back(std::make_unique<StreamHost>(hostLoop_->io(), system_->streamHost(host),
                                                                streamHostName(host), StreamHost::Habits{},
                                                                seed * 100 + host));
            streamHosts_.back()->start();
        }
    });
}

// One host after the other is killed and comes back; now and then all at once.
void SoakTest::killStreamHosts(std::uint64_t seed, const std::atomic<bool>& ends) {
    constexpr std::uint64_t kLongestPauseMs = 900, kLongestHostDownMs = 500, kAllOneIn = 6;
    std::mt19937_64 random(seed + 2);
    while (!ends) {
        const std::size_t victim = random() % streamHosts_.size();
        const bool all = random() % kAllOneIn == 0;
        const auto each = [&](void (StreamHost::*act)()) {
            hostLoop_->run([&] {
                for (std::size_t host = 0; host < streamHosts_.size(); ++host)
                    if (all || host == victim) ((*streamHosts_[host]).*act)();
            });
        };
        each(&StreamHost::kill);
        const auto down = static_cast<Millis>(random() % kLongestHostDownMs);
        system_->await([&] { return ends.load(); }, down);
        each(&StreamHost::start);
        const auto pause = static_cast<Millis>(random() % kLongestPauseMs);
        system_->await([&] { return ends.load(); }, pause);
    }
}

void SoakTest::checkStreams(const std::vector<StreamAttempt>& attempts) {
    const StreamDisorder disorder = findDisorder(attempts);
    std::size_t complete = 0, retries = 0, slow = 0;
    for (const StreamAttempt& attempt : attempts) {
        complete += attempt.end == StreamEnd::complete && attempt.isStream ? 1 : 0;
        retries += attempt.isRetry ? 1 : 0;
        slow += attempt.isSlow ? 1 : 0;
    }
    const auto count = [](const char* what, std::size_t value) {
        report("streams", what, static_cast<double>(value));
    };
    count("attempts", attempts.size());
    count("complete", complete);
    count("retries with Last-Event-Id or from the start", retries);
    count("read slowly", slow);
    count("pieces missed", disorder.missed);
    count("pieces twice", disorder.twice);
    count("of two runs", disorder.joinedRuns);
    count("complete before the last piece", disorder.earlyEnds);
    count("strange events or invisible ends", disorder.strange);
    EXPECT_GT(complete, 0u);
    EXPECT_GT(retries, 0u);
    expectNone("streams", disorder.findings);
}

void SoakTest::checkNumbers() {
    const NumberWatch::Seen seen = numbers_->end();
    report("streams", "revisions read", static_cast<double>(seen.revisions));
    report("streams", "positions read", static_cast<double>(seen.positions));
    EXPECT_GT(seen.revisions, 0u);
    EXPECT_GT(seen.positions, 0u);
    expectNone("numbers", seen.findings);
}

void SoakTest::soakStreams(std::uint64_t seed) {
    System::Shape shape = shapeOf(3, 3);
    shape.streamHosts = kStreamHosts;
    shape.memoryMb = kStreamMemoryMb;
    ASSERT_NO_FATAL_FAILURE(beginSoak(seed, shape));
    startStreamHosts(seed);
    numbers_.emplace(*system_);
    StreamClients::Settings settings{{}, parameter("BEECHPOINT_SOAK_STREAMS", 14), seed};
    for (std::size_t gateway = 0; gateway < shape.gateways; ++gateway)
        settings.fronts.push_back(system_->frontAddress(gateway));
    streamClients_.emplace(system_->clock(), settings);
    std::atomic<bool> ends = false;
    std::thread kills([&] { killStreamHosts(seed, ends); });
    playSeries(seed, shape);
    ends = true;
    kills.join();
    checkStreams(streamClients_->end());
    checkNumbers();
    endSoak();
    hostLoop_->stop();
    streamHosts_.clear();
}

std::vector<CrowdListener> SoakTest::listeners() const {
    using Kind = CrowdListener::Kind;
    std::vector<CrowdListener> all;
    for (const Disturbed& process : processes_) {
        const std::string ip =
            process.isMember ? system_->memberIp(process.number) : system_->gatewayIp(process.number);
        const Kind kind = process.isMember ? Kind::control : Kind::front;
        all.push_back({kind, endpointOf(ip, process.isMember ? Ports::kControl : Ports::kFront)});
        all.push_back({Kind::other, endpointOf(ip, Ports::kDirectory)});
        all.push_back({Kind::other, endpointOf(ip, Ports::kReadiness)});
    }
    return all;
}

// The kernel's own peak since the process's start: one look at the end of each life is enough.
void SoakTest::checkMemory(const Disturbed& process) {
    const auto figures = figuresOf(process.isMember ? system_->memberProcess(process.number)
                                                    : system_->gatewayProcess(process.number));
    if (!figures) return;
    const auto limit = static_cast<std::size_t>(system_->shape().memoryMb) * kMegabyte;
    EXPECT_LE(figures->peakResidentBytes / kMegabyte, (limit + kSanitizerBytes) / kMegabyte)
        << process.name << ", MB of memory";
    report("soak", "peak of a process's memory, MB",
           static_cast<double>(figures->peakResidentBytes / kMegabyte));
}

void SoakTest::playSeries(std::uint64_t seed, const System::Shape& shape) {
    const auto events = drawSeries(seed, shape.members, shape.gateways, disturbedFor());
    SCOPED_TRACE("schedule:" + describe(events));
    std::atomic<bool> ends = false;
    std::thread changes([&] { changeInBursts(seed, ends); });
    std::thread evacuations([&] { evacuateAgainAndAgain(seed, ends); });
    disturb(events);
    const bool healed = heal();
    if (healed) loseOneMember(seed);
    ends = true;
    changes.join();
    evacuations.join();
    EXPECT_TRUE(healed) << "a process did not end";
}

// Changes follow each other without a pause, a series at a time.
void SoakTest::changeInBursts(std::uint64_t seed, const std::atomic<bool>& ends) {
    constexpr std::uint64_t kMostInBurst = 6;
    constexpr std::uint64_t kLongestPauseMs = 600;
    std::mt19937_64 random(seed);
    while (!ends && unclear_.empty()) {
        for (std::uint64_t left = 1 + random() % kMostInBurst; left > 0 && !ends && unclear_.empty(); --left)
            changeOneKey(random);
        const auto pause = static_cast<Millis>(random() % kLongestPauseMs);
        system_->await([&] { return ends.load(); }, pause);
    }
}

// A second operator, whose orders overlap with the changes of the first.
void SoakTest::evacuateAgainAndAgain(std::uint64_t seed, const std::atomic<bool>& ends) {
    constexpr std::uint64_t kLongestPauseMs = 1'500;
    std::mt19937_64 random(seed + 1);
    Operator second(*system_, "second", seed);
    bool evacuated = false;
    while (!ends) {
        const Outcome outcome = second.evacuate("z2", evacuated, system_->founders());
        if (outcome.taken()) evacuated = !evacuated;
        const auto pause = static_cast<Millis>(random() % kLongestPauseMs);
        system_->await([&] { return ends.load(); }, pause);
    }
    if (!evacuated) return;
    EXPECT_TRUE(system_->await([&] { return second.evacuate("z2", true, system_->founders()).taken(); }));
}

// Changes are on their way as the member is killed. It stays down: the others are a majority, and from kContact on they acknowledge an
// order within kAcknowledge.
void SoakTest::loseOneMember(std::uint64_t seed) {
    EXPECT_TRUE(system_->awaitView(system_->founders(), kHealMost)) << "the members did not come together";
    const Members chain = system_->chainAt(0);
    ASSERT_EQ(chain.size(), system_->shape().members) << "no chain of all members";
    Disturbed& lost = processOf(chain[seed % chain.size()]);
    std::mt19937_64 random(seed);
    const Millis at = system_->clock().now() + static_cast<Millis>(random() % kSeriesGapMs);
    system_->await([&] { return system_->clock().now() >= at; }, kNever);
    kill(lost, kNever);
    const Millis stable = system_->clock().now() + kContact;
    system_->await([&] { return system_->clock().now() >= stable; }, kNever);
    Operator third(*system_, "third", seed);
    const Members left = without(system_->founders(), lost.number);
    for (const bool back : {false, true}) {
        const Outcome outcome = third.evacuate("z3", back, left);
        EXPECT_TRUE(outcome.taken()) << outcome.text();
        EXPECT_LE(outcome.took, kAcknowledge) << lost.name << " is lost: " << outcome.text();
        report("soak", "an order acknowledged beside a lost member after", outcome.took);
    }
    start(lost);
}

void SoakTest::reset() {
    streamClients_.reset();
    numbers_.reset();
    if (hostLoop_) hostLoop_->stop();
    streamHosts_.clear();
    hostLoop_.reset();
    operator_.reset();
    system_.reset();
    processes_.clear();
    tenants_ = {};
    record_ = {};
    unclear_.clear();
    revision_ = 0;
    checksMemory_ = false;
}

void SoakTest::playSeeds(const std::string& test, const std::function<void(std::uint64_t)>& play) {
    const std::uint64_t first = parameter("BEECHPOINT_SOAK_SEED", 1);
    const std::uint64_t seeds = parameter("BEECHPOINT_SOAK_SEEDS", byForm(1, 50));
    std::string failing;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        SCOPED_TRACE(fmt::format("repeat: BEECHPOINT_SOAK_SEED={} system_tests --gtest_filter=SoakTest.{}",
                                 seed, test));
        const int before = failures();
        play(seed);
        clients_.reset();
        if (failures() > before) failing += fmt::format(" {}", seed);
        if (failures() > before) ADD_FAILURE() << system_->logs();
        if (seed + 1 < first + seeds) reset();
    }
    report("soak", "failing seeds:" + failing, static_cast<double>(std::ranges::count(failing, ' ')));
}

}  // namespace beechpoint::system_test
