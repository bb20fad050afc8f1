#include "settings/process_settings.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "settings/process_settings_fields.hpp"
#include "settings/toml_source.hpp"

namespace beechpoint::settings {
namespace {

void addFault(std::vector<Error>& faults, std::string location, std::string message, std::string remedy) {
    faults.push_back({ErrorKind::invalid, std::move(location), std::move(message), std::move(remedy)});
}

// Whether the field was read without a fault; with one, a check between fields would only repeat it.
bool isValid(const std::vector<Error>& faults, std::string_view field) {
    return std::none_of(faults.begin(), faults.end(),
                        [field](const Error& fault) { return fault.location.starts_with(field); });
}

void requireForRole(const ProcessSettings& settings, std::string_view role, const std::string& value,
                    std::string_view field, std::vector<Error>& faults) {
    if (!settings.serves(role) || !value.empty() || !isValid(faults, field)) return;
    addFault(faults, std::string{field}, fmt::format("is missing, though served_roles has \"{}\"", role),
             "add it, or take the role out");
}

void checkRoles(const ProcessSettings& settings, std::vector<Error>& faults) {
    const ListenAddresses& addresses = settings.listenAddresses;
    requireForRole(settings, kServesEdge, addresses.front, "listen_addresses.front", faults);
    requireForRole(settings, kServesEdge, addresses.readiness, "listen_addresses.readiness", faults);
    requireForRole(settings, kServesControlPlane, addresses.control, "listen_addresses.control", faults);
    requireForRole(settings, kServesControlPlane, settings.dataDirectory, "data_directory", faults);
    requireForRole(settings, kServesDirectory, addresses.directory, "listen_addresses.directory", faults);
}

void checkPorts(const PortRange& range, std::vector<Error>& faults) {
    if (!isValid(faults, "internal_port_range") || range.first <= range.last) return;
    addFault(faults, "internal_port_range",
             fmt::format("begins at {}, above its end {}", range.first, range.last),
             "write [FIRST, LAST] with FIRST not above LAST");
}

void checkSeeds(const ProcessSettings& settings, std::vector<Error>& faults) {
    if (!isValid(faults, "seed_nodes") || !settings.seedNodes.empty()) return;
    addFault(faults, "seed_nodes", "is empty", "name the control address of at least one machine");
}

// The own zone is in the table even where the file leaves it out; where the file has it, its region must be the own one.
void addOwnZone(ProcessSettings& settings, std::vector<Error>& faults) {
    if (!isValid(faults, "zone") || !isValid(faults, "region")) return;
    const auto [own, added] = settings.zones.try_emplace(settings.zone, settings.region);
    if (added || own->second == settings.region) return;
    addFault(faults, "zones." + settings.zone,
             fmt::format("is \"{}\", but region is \"{}\"", own->second, settings.region),
             "write the same region in both");
}

Error combined(const std::vector<Error>& faults) {
    if (faults.size() == 1) return faults.front();
    std::string message = fmt::format("{} faults:", faults.size());
    for (const Error& fault : faults) message += "\n  " + fault.text();
    return {ErrorKind::invalid, "settings", std::move(message), ""};
}

}  // namespace

bool ProcessSettings::serves(std::string_view role) const {
    return std::find(servedRoles.begin(), servedRoles.end(), role) != servedRoles.end();
}

bool ProcessSettings::guaranteed(std::string_view part) const {
    return std::find(guarantees.begin(), guarantees.end(), part) != guarantees.end();
}

bool ProcessSettings::assigned(std::string_view duty) const {
    const auto& duties = cloudApi.assignedDuties;
    return std::find(duties.begin(), duties.end(), duty) != duties.end();
}

std::string_view ProcessSettings::regionOf(std::string_view zoneName) const {
    const auto found = zones.find(std::string{zoneName});
    return found == zones.end() ? std::string_view{} : std::string_view{found->second};
}

std::string ProcessSettings::advertised(std::string_view endpoint) const {
    const auto colon = endpoint.rfind(':');
    if (advertisedIpAddress.empty() || colon == std::string_view::npos) return std::string{endpoint};
    return advertisedIpAddress + std::string{endpoint.substr(colon)};
}

InspectedSettings inspectSettings(std::string_view text) {
    InspectedSettings result;
    const toml::parse_result parsed = toml::parse(text);
    if (!parsed) {
        const toml::parse_error& error = parsed.error();
        addFault(result.faults, fmt::format("line {}", error.source().begin.line),
                 fmt::format("is not TOML: {}", error.description()), "correct the file from that line on");
        return result;
    }
    DescribedReader<TomlSource> reader{result.faults};
    reader.read(TomlSource{parsed.table()}, FieldPath{}, kNoRule, result.settings);
    checkPorts(result.settings.internalPortRange, result.faults);
    checkRoles(result.settings, result.faults);
    checkSeeds(result.settings, result.faults);
    addOwnZone(result.settings, result.faults);
    return result;
}

Result<ProcessSettings> parseSettings(std::string_view text) {
    InspectedSettings inspected = inspectSettings(text);
    if (!inspected.faults.empty()) return combined(inspected.faults);
    return std::move(inspected.settings);
}

Result<ProcessSettings> readSettings(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    if (!file)
        return Error{ErrorKind::notFound, path, "the settings file cannot be read",
                     fmt::format("set {} to a readable file", kNodeFileVariable)};
    return parseSettings(text);
}

std::string settingsPath() {
    const char* const named = std::getenv(kNodeFileVariable);
    return named && *named ? named : kDefaultNodeFile;
}

}  // namespace beechpoint::settings
