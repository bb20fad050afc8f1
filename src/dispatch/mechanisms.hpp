/// Mechanisms of the dispatcher, each of which can be disabled by name (`--without NAME`) to measure its
/// effect. The names and descriptions in kMechanismNames are part of the command line and do not follow the
/// enumerators.
#pragma once

#include <algorithm>
#include <array>
#include <bitset>
#include <optional>
#include <string_view>

namespace beechpoint::dispatch {

enum class Mechanism {
    admission,
    boundedAffinity,
    transferCost,
    fullPause,
    hostSpeed,
    hedging,
    prefixAffinity,
    loadReports,
    unresponsiveHostChecks,
    widthTest,
};
inline constexpr std::size_t kMechanismCount = 10;

/// A mechanism's name and description on the command line.
struct MechanismName {
    Mechanism mechanism;
    std::string_view name;
    std::string_view meaning;
};

inline constexpr std::array<MechanismName, kMechanismCount> kMechanismNames{{
    {Mechanism::admission, "admission", "refuses at arrival what would come too late"},
    {Mechanism::boundedAffinity, "bounded-homes", "leaves a prefix's home out while much waits there"},
    {Mechanism::transferCost, "crossing-cost", "weighs bytes between zones and regions"},
    {Mechanism::fullPause, "full-pause", "sends nothing for a while to a host that said that it is full"},
    {Mechanism::hostSpeed, "host-speed", "learns how fast each host is, over all routes"},
    {Mechanism::hedging, "overdue-copies", "sends a copy of a repeatable request that is overdue"},
    {Mechanism::prefixAffinity, "prefix-homes", "sends prompts with a common prefix to the same hosts"},
    {Mechanism::loadReports, "shared-load",
     "tells the other gateways what waits at each host, and uses what they tell"},
    {Mechanism::unresponsiveHostChecks, "silent-probes", "asks after a host that is silent"},
    {Mechanism::widthTest, "width-test", "sends a repeatable request to several hosts at once"},
}};

/// The set of enabled mechanisms; initially all.
class Mechanisms {
public:
    [[nodiscard]] bool isEnabled(Mechanism mechanism) const {
        return !off_.test(static_cast<std::size_t>(mechanism));
    }
    void disable(Mechanism mechanism) { off_.set(static_cast<std::size_t>(mechanism)); }

private:
    std::bitset<kMechanismCount> off_;
};

/// nullopt: no mechanism has this name.
[[nodiscard]] inline std::optional<Mechanism> findMechanism(std::string_view name) {
    const auto found = std::ranges::find(kMechanismNames, name, &MechanismName::name);
    if (found == kMechanismNames.end()) return std::nullopt;
    return found->mechanism;
}

}  // namespace beechpoint::dispatch
