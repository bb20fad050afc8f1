// A scenario in virtual time: no socket, no sleep, byte for byte the same on every run with one seed.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.hpp"
#include "emulator/results.hpp"
#include "emulator/world.hpp"

namespace beechpoint::emulator {

// A gatherer in the same process. The one that the program has is the exchange with the decision module;
// tests have others, that break rules on purpose.
class VirtualGatherer {
public:
    virtual ~VirtualGatherer() = default;
    virtual void list(const Listing& listing, bool remembered) = 0;
    virtual void take(const TryPtr& request) = 0;
    virtual void gone(std::uint64_t tryNumber) = 0;
    virtual void onUp(ConnId conn) = 0;
    virtual void onGone(ConnId conn) = 0;
    virtual void onAnswer(const PartAnswer& answer) = 0;
    virtual void onProbe(const ProbeAnswer& answer) = 0;
    virtual Millis next() const = 0;  // on the clock; 1e300: nothing
    virtual void advance() = 0;
};

// The clock stands at Clock::kOrigin plus the run's time.
using MakeGatherer = std::function<std::unique_ptr<VirtualGatherer>(World& world, const Clock& clock,
                                                                    int gatherer, std::uint64_t seed)>;
MakeGatherer moduleGatherer();

struct VirtualOptions {
    MakeGatherer make = moduleGatherer();
    std::function<void(const World&, Millis now)> everySecond;  // progress
    std::function<void(const RunEvent&)> tap;                   // beside the rules checker
    std::function<void(const World&, const RulesChecker&)> atEnd;
};

Results runVirtual(const Scenario& scenario, std::uint64_t seed, const VirtualOptions& options = {});

}  // namespace beechpoint::emulator
