/// The operations of api/control.openapi.yaml and api/hosts.openapi.yaml as the code knows them. A test keeps the
/// files and these lists alike; who serves or calls an operation takes its method and path from here. Constants.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace beechpoint::configuration {

struct ApiOperation {
    std::string_view id;
    std::string_view method;
    std::string_view path;  ///< with {name} for a part that varies

    bool operator==(const ApiOperation&) const = default;
};

inline constexpr ApiOperation kReadConfiguration{"readConfiguration", "GET", "/configuration"};
inline constexpr ApiOperation kPutConfiguration{"putConfiguration", "PUT", "/configuration"};
inline constexpr ApiOperation kPatchConfiguration{"patchConfiguration", "PATCH", "/configuration"};
inline constexpr ApiOperation kEvacuateZone{"evacuateZone", "POST", "/evacuate/{zone}"};
inline constexpr ApiOperation kTakeZoneBack{"takeZoneBack", "DELETE", "/evacuate/{zone}"};
inline constexpr ApiOperation kResolve{"resolve", "GET", "/resolve"};
inline constexpr ApiOperation kReadiness{"readiness", "GET", "/readiness"};
inline constexpr ApiOperation kReadStatus{"readStatus", "GET", "/status"};
inline constexpr ApiOperation kReadMetrics{"readMetrics", "GET", "/metrics"};

/// Served by control members and gateways.
inline constexpr std::array kServedOperations = {
    kReadConfiguration, kPutConfiguration, kPatchConfiguration, kEvacuateZone, kTakeZoneBack,
    kResolve,           kReadiness,        kReadStatus,         kReadMetrics,
};

inline constexpr ApiOperation kListInstances{"listInstances", "GET", "/instances"};
inline constexpr ApiOperation kReadReport{"readReport", "GET", "/report"};
inline constexpr ApiOperation kCheckHealth{"checkHealth", "GET", "/health"};

/// Called at the platform and at hosts.
inline constexpr std::array kCalledOperations = {kListInstances, kReadReport, kCheckHealth};

/// A served operation, found for a request.
struct ServedCall {
    ApiOperation operation;
    std::string_view parameter;  ///< the part in place of {name}, not decoded; empty when the path has none
};

/// The operation for a method and a path without query; nothing when there is none.
[[nodiscard]] constexpr std::optional<ServedCall> findServedOperation(std::string_view method,
                                                                      std::string_view path) {
    for (const ApiOperation& operation : kServedOperations) {
        if (operation.method != method) continue;
        if (operation.path == path) return ServedCall{operation, {}};
        const std::string_view before = operation.path.substr(0, operation.path.find('{'));
        if (before.size() == operation.path.size() || !path.starts_with(before)) continue;
        const std::string_view parameter = path.substr(before.size());
        if (!parameter.empty() && parameter.find('/') == std::string_view::npos)
            return ServedCall{operation, parameter};
    }
    return std::nullopt;
}

}  // namespace beechpoint::configuration
