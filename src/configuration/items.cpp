#include "configuration/items.hpp"

#include <cstddef>

#include "configuration/configuration_fields.hpp"

namespace beechpoint::configuration {
namespace {

using settings::FieldPath;
using settings::kNoRule;
using Reader = settings::DescribedReader<JsonSource>;

// A split needs a weight above 0; a route without a split needs its one service.
void checkBackends(const Route& route, const FieldPath& path, Reader& reader) {
    if (route.trafficSplit.empty()) {
        if (route.backend.empty())
            reader.fault(FieldPath{&path, "backend", {}}, "is missing, and there is no traffic_split",
                         "name a service");
        return;
    }
    double sum = 0;
    for (const WeightedBackend& part : route.trafficSplit) sum += part.weight;
    if (!(sum > 0))
        reader.fault(FieldPath{&path, "traffic_split", {}}, "has weights that add up to 0",
                     "give one service a weight above 0");
}

// Enough for a common item; a larger one gets memory from the heap.
constexpr std::size_t kItemBufferBytes = 8192;

template <class Item, class Read>
Result<Item> parseItem(std::string_view text, Read read) {
    alignas(std::max_align_t) char buffer[kItemBufferBytes];
    JsonDocument::AllocatorType allocator{buffer, sizeof buffer};
    JsonDocument json{&allocator};
    std::string copy{text};
    if (const std::optional<JsonFault> fault = parseJsonInSitu(copy, json))
        return Error{ErrorKind::invalid, "", fmt::format("is not JSON: {}", fault->message),
                     "send one JSON object"};
    std::vector<Error> faults;
    Item item;
    read(json, FieldPath{}, faults, item);
    if (!faults.empty()) return faults.front();
    return item;
}

}  // namespace

void parseName(std::string_view name, RouteType& out) {
    if (name == "idempotent")
        out = RouteType::idempotent;
    else if (name == "streaming")
        out = RouteType::streaming;
    else
        out = RouteType::nonIdempotent;
}

void readRoute(const Json& json, const FieldPath& path, std::vector<Error>& faults, Route& out) {
    Reader reader{faults};
    const std::size_t before = faults.size();
    reader.read(JsonSource{json}, path, kNoRule, out);
    if (faults.size() == before) checkBackends(out, path, reader);
}

void readService(const Json& json, const FieldPath& path, std::vector<Error>& faults, Service& out) {
    Reader{faults}.read(JsonSource{json}, path, kNoRule, out);
}

void readLimits(const Json& json, const FieldPath& path, std::vector<Error>& faults, Limits& out) {
    Reader{faults}.read(JsonSource{json}, path, kNoRule, out);
}

void readTenant(const Json& json, const FieldPath& path, std::vector<Error>& faults, Tenant& out) {
    Reader reader{faults};
    const std::size_t before = faults.size();
    reader.read(JsonSource{json}, path, kNoRule, out);
    if (faults.size() != before) return;
    // Not by a field's rule: its fault would quote the key.
    const FieldPath keys{&path, "api_keys", {}};
    for (std::size_t index = 0; index < out.apiKeys.size(); ++index)
        if (!settings::hasForm(out.apiKeys[index], settings::Form::headerValue))
            reader.fault(FieldPath{&keys, {}, index}, "can't stand in a header field",
                         "use printable characters");
}

std::optional<TenantList> parseTenants(std::string_view text) {
    JsonDocument json;
    if (parseJson(text, json) || !json.IsArray()) return std::nullopt;
    TenantList list;
    for (const Json& item : json.GetArray()) {
        std::vector<Error> faults;
        Tenant tenant;
        readTenant(item, FieldPath{}, faults, tenant);
        if (faults.empty())
            list.tenants.push_back(std::move(tenant));
        else
            ++list.unreadable;
    }
    return list;
}

Result<Route> parseRoute(std::string_view json) { return parseItem<Route>(json, readRoute); }
Result<Service> parseService(std::string_view json) { return parseItem<Service>(json, readService); }
Result<Limits> parseLimits(std::string_view json) { return parseItem<Limits>(json, readLimits); }

}  // namespace beechpoint::configuration
