#include "configuration/document.hpp"

#include <fmt/format.h>

#include <utility>

#include "configuration/body_revision.hpp"
#include "configuration/configuration_fields.hpp"
#include "configuration/items.hpp"
#include "configuration/json_source.hpp"
#include "configuration/tenant_checks.hpp"

namespace beechpoint::configuration {
namespace {

using settings::FieldPath;

constexpr std::string_view kRoutes = "routes";
constexpr std::string_view kServices = "services";
constexpr std::string_view kLimits = "limits";
constexpr std::string_view kRevision = "revision";
constexpr std::string_view kUpsert = "upsert";
constexpr std::string_view kRemove = "remove";

Result<std::uint64_t> readRevision(const Json& body) {
    const Error unreadable{ErrorKind::invalid, "/revision", "is not a whole number above 0",
                           "give the configuration a number above the current one"};
    const Json* const revision = memberOf(body, kRevision);
    if (!revision || !revision->IsNumber()) return unreadable;
    if (revision->IsUint64()) return revision->GetUint64();
    const std::optional<std::uint64_t> integer = integerRevision(revision->GetDouble());
    if (!integer) return unreadable;
    return *integer;
}

// Reads a parsed body into a document; a fault does not end it.
class DocumentReader {
public:
    explicit DocumentReader(Document& document) : document_(document) {}

    void readConfiguration(const Json& body) {
        const FieldPath top;
        for (const std::string_view name : {kRoutes, kServices})
            if (!memberOf(body, name))
                fault(FieldPath{&top, name, {}}, "is missing", "send the whole configuration");
        readItems(body, top, DocumentKind::configuration);
    }

    void readPatch(const Json& body) {
        const FieldPath top;
        if (const Json* const upsert = objectMember(body, kUpsert, top))
            readItems(*upsert, FieldPath{&top, kUpsert, {}}, DocumentKind::patch);
        if (const Json* const remove = objectMember(body, kRemove, top))
            readRemovals(*remove, FieldPath{&top, kRemove, {}});
        if (const Json* const limits = memberOf(body, kLimits))
            readLimitsAt(*limits, FieldPath{&top, kLimits, {}});
    }

private:
    bool hasMaxFaults() const { return document_.faults.size() >= kMaxFaults; }

    void fault(const FieldPath& path, std::string message, std::string remedy) {
        document_.faults.push_back(
            {ErrorKind::invalid, path.text<JsonSource>(), std::move(message), std::move(remedy)});
    }

    // nullptr when the member is missing or null, and after the fault when it is something else.
    const Json* objectMember(const Json& body, std::string_view name, const FieldPath& top) {
        const Json* const member = memberOf(body, name);
        if (!member || member->IsNull()) return nullptr;
        if (member->IsObject()) return member;
        fault(FieldPath{&top, name, {}}, "is no object", "send lists by name");
        return nullptr;
    }

    void readItems(const Json& object, const FieldPath& path, DocumentKind kind) {
        for (const auto& member : object.GetObject()) {
            const std::string_view name = textOf(member.name);
            const FieldPath here{&path, name, {}};
            if (name == kRoutes)
                readList(member.value, here, kind, readRoute, document_.items.routes);
            else if (name == kServices)
                readList(member.value, here, kind, readService, document_.items.services);
            else if (name == kLimits)
                readLimitsAt(member.value, here);
            else if (name == kTenantsMember && member.value.IsNull())
                continue;
            else if (!isRevision(name, kind) && nameFits(name, here))
                document_.items.others.push_back({std::string{name}, compactJson(member.value)});
        }
    }

    // The revision stands beside the items of a configuration; a patch has it outside its `upsert`.
    static bool isRevision(std::string_view name, DocumentKind kind) {
        return kind == DocumentKind::configuration && name == kRevision;
    }

    // A list of a configuration is required; of a patch it may be null.
    template <class Value, class Read>
    void readList(const Json& list, const FieldPath& path, DocumentKind kind, Read readItem,
                  std::vector<Item<Value>>& items) {
        if (list.IsNull() && kind == DocumentKind::patch) return;
        if (!list.IsArray()) {
            fault(path, "is not a list of objects", "send a list of objects with names");
            return;
        }
        items.reserve(list.Size());
        for (std::size_t index = 0; index < list.Size() && !hasMaxFaults(); ++index) {
            const Json& json = list[static_cast<rapidjson::SizeType>(index)];
            const FieldPath here{&path, {}, index};
            Item<Value>& item = items.emplace_back();
            readItem(json, here, document_.faults, item.value);
            item.json = compactJson(json);
            item.path = here.text<JsonSource>();
        }
    }

    void readLimitsAt(const Json& limits, const FieldPath& path) {
        if (limits.IsNull()) return;
        Limits read;
        readLimits(limits, path, document_.faults, read);
        document_.items.limits = compactJson(limits);
    }

    bool nameFits(std::string_view name, const FieldPath& path) {
        if (!name.empty() && name.size() <= kMaxNameBytes) return true;
        fault(path, fmt::format("has a name of {} bytes", name.size()),
              fmt::format("use 1 to {}", kMaxNameBytes));
        return false;
    }

    void readRemovals(const Json& object, const FieldPath& path) {
        for (const auto& member : object.GetObject()) {
            const std::string_view name = textOf(member.name);
            const FieldPath here{&path, name, {}};
            if (member.value.IsNull()) continue;
            std::vector<std::string> names = readNames(member.value, here);
            if (name == kRoutes)
                document_.removedRoutes = std::move(names);
            else if (name == kServices)
                document_.removedServices = std::move(names);
            else if (nameFits(name, here))
                document_.removedOthers.push_back({std::string{name}, std::move(names)});
        }
    }

    std::vector<std::string> readNames(const Json& list, const FieldPath& path) {
        std::vector<std::string> names;
        settings::DescribedReader<JsonSource>{document_.faults}.read(JsonSource{list}, path,
                                                                     settings::kNoRule, names);
        return names;
    }

    Document& document_;
};

}  // namespace

Result<Document> readDocument(std::string_view body, DocumentKind kind) {
    JsonDocument json;
    std::string copy{body};
    if (const std::optional<JsonFault> fault = parseJsonInSitu(copy, json))
        return Error{ErrorKind::invalid, "",
                     fmt::format("the body is not JSON, at byte {}: {}", fault->byte, fault->message),
                     "send one JSON object"};
    if (!json.IsObject())
        return Error{ErrorKind::invalid, "", "the body is no object", "send one JSON object"};
    const Result<std::uint64_t> revision = readRevision(json);
    if (!revision) return revision.error();
    Document document;
    document.revision = revision.value();
    DocumentReader reader{document};
    if (kind == DocumentKind::configuration)
        reader.readConfiguration(json);
    else
        reader.readPatch(json);
    return document;
}

}  // namespace beechpoint::configuration
