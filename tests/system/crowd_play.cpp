#include "crowd_play.hpp"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>

#include "addresses.hpp"
#include "process_figures.hpp"
#include "system.hpp"

namespace beechpoint::system_test {
namespace {

constexpr auto kAskEvery = std::chrono::milliseconds(20);

void expectAlive(PeakFigures& peak, const char* when) {
    EXPECT_TRUE(peak.look()) << "the process has ended " << when;
}

}  // namespace

void limitSanitizerReserve() {
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=16", 1);
}

bool awaitCall(const std::function<bool()>& call) {
    const Clock clock;
    const Millis end = clock.now() + kConditionMost;
    asio::io_context io(1);
    while (!call()) {
        if (clock.now() >= end) return false;
        asio::steady_timer timer(io, kAskEvery);
        timer.async_wait([](const asio::error_code&) {});
        io.restart();
        io.run();
    }
    return true;
}

void playCrowd(const CrowdTarget& target, const CrowdBounds& bounds, const std::vector<CrowdScript>& scripts,
               const std::function<bool()>& ordinaryCall) {
    PeakFigures peak(target.process, target.ip);
    EXPECT_TRUE(peak.look());
    const std::size_t before = peak.memoryBytes();
    {
        Crowd crowd(endpointOf(target.ip, target.port), scripts);
        crowd.awaitSettled([&] { return peak.look(); });
        expectAlive(peak, "beside the crowd");
        EXPECT_TRUE(awaitCall(ordinaryCall)) << "no ordinary caller is answered beside the crowd";
        expectAlive(peak, "beside the crowd, later");
        const Crowd::Counts counts = crowd.counts();
        std::cout << "crowd: " << counts.open << " open, " << counts.closed << " closed, "
                  << counts.bytes / kMegabyte << " MB sent\n";
    }
    EXPECT_TRUE(awaitCall(ordinaryCall)) << "no ordinary caller is answered after the crowd";
    expectAlive(peak, "after the crowd");
    // A sanitizer takes more than the program does: then it is what the crowd adds that must fit beside the program.
    const std::size_t added = peak.memoryBytes() - before;
    EXPECT_LE(added / kMegabyte, (bounds.memoryBytes - kProgramBytes) / kMegabyte) << "MB added";
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LE(peak.memoryBytes() / kMegabyte, bounds.memoryBytes / kMegabyte) << "MB of memory";
#endif
    EXPECT_LE(peak.descriptors(), bounds.descriptors);
    std::cout << "peak: " << before / kMegabyte << " + " << added / kMegabyte << " MB, " << peak.descriptors()
              << " descriptors\n";
}

}  // namespace beechpoint::system_test
