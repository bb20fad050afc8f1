/// The settings file of one process (TOML), read and checked as a whole: all faults are found in one go, each with
/// the field, the rule that it breaks and what to write instead. Unknown fields are ignored. A field
/// that is missing keeps its default below unless the process cannot work without it.
///
/// The members' names are those of the file (process_settings_fields.hpp). Read once at the start; values, to be used from any
/// thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"

namespace beechpoint::settings {

inline constexpr const char* kNodeFileVariable = "BEECHPOINT_NODE_FILE";
inline constexpr const char* kDefaultNodeFile = "/etc/beechpoint/boot.toml";

/// Names in `served_roles`.
inline constexpr std::string_view kServesEdge = "edge";
inline constexpr std::string_view kServesControlPlane = "control_plane";
inline constexpr std::string_view kServesDirectory = "directory";

/// Names in `assigned_duties`.
inline constexpr std::string_view kReportsUsage = "usage_reporting";
inline constexpr std::string_view kOrdersHosts = "autoscaling";

struct PortRange {
    int first = 0;
    int last = 0;  ///< included
    bool operator==(const PortRange&) const = default;
};

/// IPv4 addresses with port; empty where the role does not serve that part.
struct ListenAddresses {
    std::string front;
    std::string readiness;
    std::string control;
    std::string directory;
    bool operator==(const ListenAddresses&) const = default;
};

struct ResourceLimits {
    double cpuShare = 1;  ///< of one core
    double cpuCores = 1;
    std::int64_t memoryMb = 256;
    std::int64_t maxOpenFiles = 1024;
    double bandwidthMbps = 1000;
    std::int64_t diskMb = 0;
    bool operator==(const ResourceLimits&) const = default;
};

/// What the system may lose at once and still keep its rules.
struct FaultTolerance {
    int machines = 0;
    int zones = 0;
    int regions = 0;
    bool operator==(const FaultTolerance&) const = default;
};

/// The figures of the rules in force. A bound that is missing has the narrowest value of the known deployments.
struct TimingBounds {
    double seedLagS = 3;
    double addressReuseS = 2;
    double contactMs = 4000;
    double ackMs = 5000;
    double catchUpS = 4;
    double drainMs = 3000;
    double graceS = 8;
    double lossSlackMs = 200;
    double configApplyMs = 2500;
    double rollbackSlackMs = 250;
    double maxStretchMs = 6000;
    double retryBudgetRatio = 0.2;
    double retryWindowS = 10;
    double retryBudgetSlack = 0;
    double warmupOvershoot = 1;
    double warmupSlack = 0;
    double evacuateMs = 5000;
    double recoveryS = 12;
    double passMs = 250;
    double againS = 0;
    double ttlMaxS = 5;
    bool fencing = false;     ///< the platform refuses calls under an older fencing token
    double leaseMs = 3000;    ///< within it two holders of a duty must not act in turns
    double usageWindowS = 0;  ///< of a usage report; 0: none are wanted
    double usageLateS = 10;   ///< a report is due so long after its window's end
    bool operator==(const TimingBounds&) const = default;
};

/// The platform's service that lists the hosts.
struct CloudApi {
    std::string address;
    double ratePerS = 1;  ///< calls that it accepts from all processes together
    std::vector<std::string> assignedDuties;
    double maxLagMs = 1000;  ///< largest age of what it answers
    double dutyPerS = 10;    ///< calls of duties that it accepts from all processes together; 0: none
    bool operator==(const CloudApi&) const = default;
};

struct ProcessSettings {
    std::string nodeName;
    std::string nodeRole;
    std::string machineClass;
    std::vector<std::string> servedRoles;
    std::string ipAddress;            ///< the address on which it listens
    std::string advertisedIpAddress;  ///< where others reach it; empty: at ipAddress
    std::string zone;
    std::string region;
    PortRange internalPortRange;
    std::vector<std::string> seedNodes;  ///< control addresses
    bool bootstrap = false;              ///< the first start of the whole system
    bool countsAsLoss = false;
    std::string dataDirectory;  ///< empty: this machine has no disk
    std::string discoverySource;
    std::string entryPoint;
    double heartbeatMs = 1200;
    std::vector<std::string> guarantees;
    std::map<std::string, std::string> zones;  ///< zone to region; holds the own zone in any case
    ListenAddresses listenAddresses;
    ResourceLimits limits;
    FaultTolerance faultTolerance;
    TimingBounds timingBounds;
    CloudApi cloudApi;

    bool operator==(const ProcessSettings&) const = default;
    /// Whether `served_roles` names the role.
    [[nodiscard]] bool serves(std::string_view role) const;
    /// Whether `guarantees` names the part.
    [[nodiscard]] bool guaranteed(std::string_view part) const;
    /// Whether `cloud_api.assigned_duties` names the duty.
    [[nodiscard]] bool assigned(std::string_view duty) const;
    /// Region of a zone; empty when the settings do not name it.
    [[nodiscard]] std::string_view regionOf(std::string_view zoneName) const;
    /// An own IP:PORT as it is announced to others: with the advertised IP, where one is set.
    [[nodiscard]] std::string advertised(std::string_view endpoint) const;
};

/// A settings file and what is wrong with it.
struct InspectedSettings {
    ProcessSettings settings;   ///< as far as they could be read
    std::vector<Error> faults;  ///< in the order of the fields; empty when the settings hold
};

/// Reads and checks the text of a settings file.
[[nodiscard]] InspectedSettings inspectSettings(std::string_view text);

/// As inspectSettings(), with the faults as an error of kind `invalid`; of several, its message has one a line.
[[nodiscard]] Result<ProcessSettings> parseSettings(std::string_view text);

/// As parseSettings(), from a file; ErrorKind::notFound when it cannot be read.
[[nodiscard]] Result<ProcessSettings> readSettings(const std::string& path);

/// The path in the environment variable kNodeFileVariable, else kDefaultNodeFile.
[[nodiscard]] std::string settingsPath();

}  // namespace beechpoint::settings
