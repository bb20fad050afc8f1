// A soak: clients on kept connections, an operator who gives, takes and moves keys, and the duties' calls, while signals, kills and restarts of
// all processes come in series and overlap. Each seed is a system of its own.
//
//   BEECHPOINT_SOAK_SEED      the first seed (default 1)
//   BEECHPOINT_SOAK_SEEDS     how many (default 1; long form 50)
//   BEECHPOINT_SOAK_SECONDS   how long processes are disturbed (default 10)
//   BEECHPOINT_SOAK_MEMBERS   3 to 9 (default: 3; in series also 5, by the seed)
//   BEECHPOINT_SOAK_GATEWAYS  2 to 40 (default: 2 to 4, by the seed)
//   BEECHPOINT_SOAK_CLIENTS   default 8
//   BEECHPOINT_SOAK_STREAMS   clients of streams, default 14
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "crowd_rounds.hpp"
#include "fixture.hpp"
#include "number_watch.hpp"
#include "soak_checks.hpp"
#include "soak_clients.hpp"
#include "soak_history.hpp"
#include "soak_keys.hpp"
#include "soak_schedule.hpp"
#include "stream_clients.hpp"
#include "stream_host.hpp"

namespace beechpoint::system_test {

// The value of an environment variable.
std::uint64_t parameter(const char* name, std::uint64_t otherwise);

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
    // Single events at drawn moments, and one operator who changes steadily.
    void soak(std::uint64_t seed);
    // Series of events that overlap, two operators whose orders overlap, and in the end a member that is lost for good.
    void soakInSeries(std::uint64_t seed);

    // As soakInSeries, with clients of streams whose hosts break off, are killed and come back; each stream and each number is in order.
    void soakStreams(std::uint64_t seed);
    // As soakInSeries, beside crowds of clients that do not behave; each process keeps to its memory.
    void soakBesideCrowds(std::uint64_t seed);

    void playSeries(std::uint64_t seed, const System::Shape& shape);
    void startStreamHosts(std::uint64_t seed);
    void killStreamHosts(std::uint64_t seed, const std::atomic<bool>& ends);
    void checkStreams(const std::vector<StreamAttempt>& attempts);
    void checkNumbers();
    std::vector<CrowdListener> listeners() const;
    void checkMemory(const Disturbed& process);
    void beginSoak(std::uint64_t seed, const System::Shape& shape);
    void endSoak();
    static System::Shape shapeOf(std::size_t members, std::size_t gateways);
    static Millis disturbedFor();
    // Each seed by itself, with the seeds of the environment.
    void playSeeds(const std::string& test, const std::function<void(std::uint64_t)>& play);

    // The operator's side, on a thread of its own while the processes are disturbed.
    void changeSteadily(std::uint64_t seed, const std::atomic<bool>& ends);
    void changeInBursts(std::uint64_t seed, const std::atomic<bool>& ends);
    void evacuateAgainAndAgain(std::uint64_t seed, const std::atomic<bool>& ends);
    void loseOneMember(std::uint64_t seed);
    void changeOneKey(std::mt19937_64& random);
    void setUpTenants();
    bool sendUntilTaken(const operator_client::Call& call);

    // The processes' side.
    void disturb(const std::vector<SoakEvent>& events);
    void apply(const SoakEvent& event);
    // A signal that the program is to handle waits until its handlers are in place.
    bool canApply(const SoakEvent& event);
    Disturbed& targetOf(const SoakEvent& event);
    Disturbed& processOf(std::size_t member);
    void advance(Disturbed& process);
    void advanceAll() {
        for (Disturbed& process : processes_) advance(process);
    }
    bool heal();
    void signal(const Disturbed& process, int number);
    void kill(Disturbed& process, Millis length);
    void start(Disturbed& process);
    void startGateway(std::size_t gateway);
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
    std::vector<std::unique_ptr<StreamHost>> streamHosts_;
    std::optional<Background> hostLoop_;
    std::optional<StreamClients> streamClients_;
    std::optional<NumberWatch> numbers_;
    std::string unclear_;
    bool checksMemory_ = false;  // of each process, at its end
};

}  // namespace beechpoint::system_test
