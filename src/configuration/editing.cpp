#include "configuration/editing.hpp"

#include <fmt/format.h>

#include <charconv>
#include <optional>

#include "configuration/applied_operations.hpp"
#include "configuration/body_revision.hpp"
#include "configuration/document.hpp"
#include "configuration/merge_patch.hpp"
#include "configuration/replace_configuration.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::string_view withoutBlanks(std::string_view text) {
    constexpr std::string_view kBlank = " \t";
    const std::size_t begin = text.find_first_not_of(kBlank);
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(kBlank) - begin + 1);
}

// The version in an If-Match header, which may stand in quotes. However it is written, the operation counts as the same one.
std::optional<std::uint64_t> matchedVersion(std::string_view header) {
    std::string_view digits = withoutBlanks(header);
    if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"')
        digits = digits.substr(1, digits.size() - 2);
    std::uint64_t version = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, version);
    if (digits.empty() || error != std::errc{} || stop != end) return std::nullopt;
    return version;
}

Error versionConflict(std::uint64_t current) {
    return {ErrorKind::conflict, "If-Match", fmt::format("version {} is in force", current),
            fmt::format("build on it and send If-Match: {}", current)};
}

Error staleRevision(std::uint64_t revision, std::uint64_t current) {
    return {ErrorKind::invalid, "/revision", fmt::format("{} is not above the current {}", revision, current),
            "give the configuration a higher number"};
}

// The first fault, with the number of the others.
Error combined(const std::vector<Error>& faults) {
    Error error = faults.front();
    if (faults.size() > 1) error.message += fmt::format(" (and {} more faults)", faults.size() - 1);
    return error;
}

Result<Decision> decide(const Table& table, const Operation& operation, DocumentKind kind) {
    const std::optional<std::uint64_t> matched = matchedVersion(operation.ifMatch);
    const std::string ifMatch = matched ? std::to_string(*matched) : std::string{operation.ifMatch};
    std::string digest = operationDigest({operation.method, ifMatch, operation.body});
    const std::optional<std::uint64_t> named = revisionOfBody(operation.body);
    if (named && isApplied(table, *named, digest)) return Decision{AlreadyApplied{*named}};
    const std::uint64_t current = currentRevision(table);
    // Before the body is read: where it is invalid as well, either answer will do.
    if (matched != current) return versionConflict(current);
    Result<Document> read = readDocument(operation.body, kind);
    if (!read) return read.error();
    Document& document = read.value();
    if (document.revision <= current) return staleRevision(document.revision, current);
    if (!document.faults.empty()) return combined(document.faults);
    std::vector<Change> changes = kind == DocumentKind::configuration ? replaceConfiguration(table, document)
                                                                      : mergePatch(table, document);
    if (!document.faults.empty()) return combined(document.faults);
    changes.push_back({std::string{kVersionKey}, std::to_string(document.revision)});
    recordApplied(table, document.revision, std::move(digest), changes);
    return Decision{Accepted{document.revision, std::move(changes)}};
}

std::size_t evacuatedZones(const Table& table) {
    std::size_t count = 0;
    eachWithPrefix(table, kEvacuatedPrefix, [&count](std::string_view, std::string_view) { ++count; });
    return count;
}

}  // namespace

Result<Decision> putConfiguration(const Table& table, std::string_view ifMatch, std::string_view body) {
    return decide(table, Operation{"PUT", ifMatch, body}, DocumentKind::configuration);
}

Result<Decision> patchConfiguration(const Table& table, std::string_view ifMatch, std::string_view body) {
    return decide(table, Operation{"PATCH", ifMatch, body}, DocumentKind::patch);
}

Result<Decision> evacuate(const Table& table, std::string_view zone, bool evacuated) {
    if (zone.empty() || zone.size() > kMaxZoneNameBytes)
        return Error{ErrorKind::invalid, "zone", fmt::format("the name has {} bytes", zone.size()),
                     fmt::format("name a zone by 1 to {} bytes", kMaxZoneNameBytes)};
    const std::uint64_t current = currentRevision(table);
    std::string key = joinedKey(kEvacuatedPrefix, zone);
    if (table.contains(key) == evacuated) return Decision{AlreadyApplied{current}};
    if (!evacuated) return Decision{Accepted{current, {{std::move(key), std::nullopt}}}};
    if (evacuatedZones(table) >= kMaxEvacuatedZones)
        return Error{ErrorKind::invalid, "zone",
                     fmt::format("{} zones are evacuated already", kMaxEvacuatedZones),
                     "take one back first"};
    return Decision{Accepted{current, {{std::move(key), "1"}}}};
}

std::uint64_t currentRevision(const Table& table) {
    const auto found = table.find(std::string{kVersionKey});
    if (found == table.end()) return 0;
    return matchedVersion(found->second).value_or(0);
}

}  // namespace beechpoint::configuration
