#include "scale/control_process.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>

#include "control/control.hpp"
#include "replica/replica.hpp"
#include "scale/usage.hpp"

namespace beechpoint::scale {
namespace {

constexpr auto kReportEvery = std::chrono::milliseconds(500);
constexpr const char* kLogVariable =
    "BEECHPOINT_SCALE_LOG";  // set: members write their logs to standard error

settings::ProcessSettings settingsOf(const Cluster& cluster, std::size_t member) {
    const Ports& ports = cluster.ports();
    settings::ProcessSettings settings;
    settings.nodeName = fmt::format("control-{}", member + 1);
    settings.nodeRole = "control";
    settings.ipAddress = memberIp(member);
    settings.zone = fmt::format("zone-{}", member + 1);
    settings.region = "region-1";
    settings.internalPortRange = {ports.internal, ports.internal};
    for (std::size_t seed = 0; seed < kMembers; seed++)
        settings.seedNodes.push_back(memberAddress(seed, ports.control));
    settings.bootstrap = true;
    settings.dataDirectory = cluster.storeOf(member).string();
    settings.listenAddresses.control = memberAddress(member, ports.control);
    settings.listenAddresses.directory = memberAddress(member, ports.directory);
    settings.faultTolerance.machines = 1;
    settings.faultTolerance.zones = 1;
    settings.cloudApi.address = fmt::format("{}:{}", memberIp(0), ports.platform);
    return settings;
}

void report(const control::Control& control, Cluster& cluster, MemberReport& out, const Clock& clock) {
    const replica::Replica* replica = control.replica();
    const bool whole = replica && replica->inView() && replica->view().members.size() == kMembers;
    out.inView = whole && replica->fresh(clock.now());
    out.head = replica && replica->isHead();
    out.readsHosts = control.readsHosts();
    out.waitingPolls = static_cast<std::uint32_t>(control.waitingPolls());
    out.peerBytes = trafficTo(cluster.ports().internal).bytes();
    out.platformBytes = trafficTo(cluster.ports().platform).bytes();
}

}  // namespace

void runControl(Cluster& cluster, std::size_t member, const Clock& clock) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    Logger logger(clock, logging::Format::text, std::getenv(kLogVariable) ? STDERR_FILENO : -1);
    control::Control::Options options;
    options.seed = 1000 * (member + 1);
    control::Control control(io, clock, logger, settingsOf(cluster, member), options);
    const auto started = control.start();
    if (!started) {
        fmt::print(stderr, "member {} can't start: {}\n", member + 1, started.error().text());
        return;
    }
    asio::steady_timer timer(io);
    std::function<void()> tell = [&] {
        report(control, cluster, cluster.shared().members[member], clock);
        timer.expires_after(kReportEvery);
        timer.async_wait([&](const asio::error_code& error) {
            if (!error) tell();
        });
    };
    tell();
    io.run();
}

}  // namespace beechpoint::scale
