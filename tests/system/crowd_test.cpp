// No process of the system ends or hangs, takes more than the memory of its machine or runs out of descriptors, whatever a crowd of clients
// sends to a listener that strangers reach; and ordinary callers are answered beside the crowd and after it.
//
// What is checked does not depend on the machine's speed. The bound of memory is the setting `memory_mb` (crowd_play.hpp), that of
// descriptors the setting `max_open_files` less the 200 that the platform keeps.
#include "crowd.hpp"

#include <fmt/format.h>

#include <functional>

#include "crowd_play.hpp"
#include "crowd_scripts.hpp"
#include "exchange.hpp"
#include "fixture.hpp"
#include "process_figures.hpp"

namespace beechpoint::system_test {
namespace {

constexpr std::int64_t kMemoryMb = 256;
constexpr std::int64_t kLittleMemoryMb = 80;
constexpr int kOpenFiles = 600;
constexpr std::size_t kReservedDescriptors = 200;  // of max_open_files; the platform's
constexpr std::size_t kMostBody = 4 * kMegabyte;   // max_body_bytes of a configuration that states none
constexpr std::size_t kMostOperatorBody = 8 * kMegabyte;
constexpr std::size_t kFrontClients = 180;  // the gateway takes 184 at this limit of descriptors
constexpr std::size_t kOperatorClients = 120;
constexpr std::size_t kDirectoryClients = 400;
constexpr std::size_t kReadinessClients = 16;

class CrowdTest : public SystemTest {
protected:
    void SetUp() override { beginWith(kMemoryMb); }

    void beginWith(std::int64_t memoryMb) {
        memoryMb_ = memoryMb;
        limitSanitizerReserve();
        System::Shape shape;
        shape.members = 1;
        shape.gateways = 1;
        shape.machinesToLose = shape.zonesToLose = 0;
        shape.memoryMb = memoryMb_;
        shape.openFiles = kOpenFiles;
        shape.gatewayDirectories = true;
        begin(shape);
    }

    CrowdTarget gatewayAt(std::uint16_t port) {
        return {system_->gatewayProcess(0), system_->gatewayIp(0), port};
    }
    CrowdTarget memberAt(std::uint16_t port) {
        return {system_->memberProcess(0), system_->memberIp(0), port};
    }

    void play(const CrowdTarget& target, const std::vector<CrowdScript>& scripts,
              const std::function<bool()>& ordinaryCall) const {
        const CrowdBounds bounds{static_cast<std::size_t>(memoryMb_) * kMegabyte,
                                 kOpenFiles - kReservedDescriptors};
        playCrowd(target, bounds, scripts, ordinaryCall);
    }

    void playAtFront(const std::vector<CrowdScript>& scripts) {
        play(gatewayAt(Ports::kFront), scripts, [this] { return system_->askGateway(0, revision_) == 200; });
    }
    void playAtControl(const std::vector<CrowdScript>& scripts) {
        play(memberAt(Ports::kControl), scripts, [this] { return isConfigurationRead(); });
    }
    void playAt(const CrowdTarget& target, const char* path, const std::vector<CrowdScript>& scripts) {
        HttpCall call;
        call.address = addressText(target.ip, target.port);
        call.target = path;
        play(target, scripts, [call] { return exchange(call).status == 200; });
    }

    bool isConfigurationRead() {
        const Outcome outcome = operator_->read({0});
        return outcome.taken() && revisionOf(outcome.reply.body) == revision_;
    }

private:
    std::int64_t memoryMb_ = 0;
};

// In little memory, so that what header lines take shows with few clients.
class HeaderCrowdTest : public CrowdTest {
protected:
    void SetUp() override { beginWith(kLittleMemoryMb); }
};

TEST_F(HeaderCrowdTest, FrontTakesWholeHeadsOfManyShortLines) {
    playAtFront(copies(kFrontClients, manyShortLines(frontHead("/once/x"))));
}

// ---- the gateway's front

TEST_F(CrowdTest, FrontTakesLargeBodiesThatStopShort) {
    playAtFront(copies(kFrontClients, shortOfEnd(frontHead("/steady/x"), kMostBody)));
}

TEST_F(CrowdTest, FrontTakesBodiesInLargeChunksThatStopShort) {
    playAtFront(copies(kFrontClients, chunkedShortOfEnd(frontHead("/steady/x"), kMostBody, kLargeChunk)));
}

TEST_F(CrowdTest, FrontTakesBodiesInSmallChunksThatStopShort) {
    constexpr std::size_t kClients = 40;
    playAtFront(copies(kClients, chunkedShortOfEnd(frontHead("/steady/x"), kMegabyte / 4, kSmallChunk)));
}

TEST_F(CrowdTest, FrontTakesManyWholeLargeBodiesAtOnce) {
    playAtFront(copies(kFrontClients, wholeBody(frontHead("/once/x"), kMostBody)));
}

TEST_F(CrowdTest, FrontRefusesBodiesFarOverTheLimit) {
    constexpr std::size_t kClients = 20;
    std::vector<CrowdScript> scripts = copies(kClients, shortOfEnd(frontHead("/steady/x"), 16 * kMostBody));
    append(scripts, copies(kClients, chunkedShortOfEnd(frontHead("/steady/x"), 16 * kMostBody, kLargeChunk)));
    playAtFront(scripts);
}

TEST_F(CrowdTest, FrontTakesHeadsThatStopShort) { playAtFront(copies(kFrontClients, unfinishedHead())); }

TEST_F(CrowdTest, FrontTakesChunkLinesAndTrailersThatStopShort) {
    std::vector<CrowdScript> scripts =
        copies(kFrontClients / 2, longChunkLines(frontHead("/steady/x"), 4 * kMegabyte));
    append(scripts, copies(kFrontClients / 2, longTrailers(frontHead("/steady/x"), 4 * kMegabyte)));
    playAtFront(scripts);
}

TEST_F(CrowdTest, FrontTakesRequestsSentAheadOfAnAnswer) {
    playAtFront(copies(kFrontClients, sentAhead(frontHead("/stream/x"), frontHead("/steady/x"), kMostBody)));
}

TEST_F(CrowdTest, FrontTakesClientsThatDoNotReadTheirAnswers) {
    CrowdScript script = wholeBody(frontHead("/large/x"), 1);
    script.readsAnswers = false;
    playAtFront(copies(kFrontClients, script));
}

TEST_F(CrowdTest, FrontTakesMoreConnectionsThanItHasDescriptors) {
    std::vector<CrowdScript> scripts = copies(kOpenFiles, CrowdScript{});
    append(scripts, copies(kOpenFiles / 2, unfinishedHead()));
    playAtFront(scripts);
}

// ---- control's API

TEST_F(CrowdTest, ControlTakesLargeBodiesThatStopShort) {
    playAtControl(copies(kOperatorClients, shortOfEnd(putHead(), kMostOperatorBody)));
}

TEST_F(CrowdTest, ControlTakesBodiesInLargeChunksThatStopShort) {
    playAtControl(copies(kOperatorClients, chunkedShortOfEnd(putHead(), kMostOperatorBody, kLargeChunk)));
}

TEST_F(CrowdTest, ControlTakesManyWholeLargeBodiesAtOnce) {
    playAtControl(copies(kOperatorClients, wholeBody(putHead(), kMostOperatorBody)));
}

TEST_F(CrowdTest, ControlTakesWholeBodiesOfManySmallValues) {
    constexpr std::size_t kClients = 4;
    playAtControl(copies(kClients, manySmallValues(putHead(), kMostOperatorBody)));
}

TEST_F(CrowdTest, ControlTakesMoreConnectionsThanItHasDescriptors) {
    playAtControl(copies(kOpenFiles, unfinishedHead()));
}

// ---- directory and readiness

TEST_F(CrowdTest, ControlsDirectoryTakesMoreConnectionsThanItHasDescriptors) {
    playAt(memberAt(Ports::kDirectory), "/resolve", copies(kOpenFiles, unfinishedHead()));
}

TEST_F(CrowdTest, ControlsDirectoryTakesLongChunkLines) {
    playAt(memberAt(Ports::kDirectory), "/resolve",
           copies(kDirectoryClients / 4, longChunkLines(plainHead("/resolve"), 8 * kMegabyte)));
}

TEST_F(CrowdTest, GatewaysDirectoryTakesMoreConnectionsThanItHasDescriptors) {
    std::vector<CrowdScript> scripts = copies(kOpenFiles, unfinishedHead());
    Crowd atFront(endpointOf(system_->gatewayIp(0), Ports::kFront), scripts);
    playAt(gatewayAt(Ports::kDirectory), "/resolve", scripts);
}

TEST_F(CrowdTest, GatewaysDirectoryTakesLongChunkLines) {
    playAt(gatewayAt(Ports::kDirectory), "/resolve",
           copies(kDirectoryClients / 4, longChunkLines(plainHead("/resolve"), 8 * kMegabyte)));
}

TEST_F(CrowdTest, ReadinessTakesLongChunkLinesAndTrailers) {
    std::vector<CrowdScript> scripts =
        copies(kReadinessClients / 2, longChunkLines(plainHead("/readiness"), 64 * kMegabyte));
    append(scripts, copies(kReadinessClients / 2, longTrailers(plainHead("/readiness"), 64 * kMegabyte)));
    for (const CrowdTarget& target : {memberAt(Ports::kReadiness), gatewayAt(Ports::kReadiness)})
        playAt(target, "/readiness", scripts);
}

}  // namespace
}  // namespace beechpoint::system_test
