#include "configuration/document.hpp"

#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "configuration/items.hpp"

namespace beechpoint::configuration {
namespace {

using settings::Place;

constexpr std::string_view kRoutes = "routes";
constexpr std::string_view kServices = "services";
constexpr std::string_view kLimits = "limits";
constexpr std::string_view kRevision = "revision";
constexpr std::string_view kUpsert = "upsert";
constexpr std::string_view kRemove = "remove";

// Takes the items out of a body while it is parsed.
class DocumentReader {
public:
    explicit DocumentReader(DocumentKind kind) : kind_(kind) {}

    Result<Document> read(std::string_view body) {
        Json rest;
        try {
            rest = Json::parse(body, [this](int depth, Json::parse_event_t event, Json& parsed) {
                return onEvent(depth, event, parsed);
            });
        } catch (const Json::parse_error& error) {
            return Error{ErrorKind::invalid, "", fmt::format("the body is not JSON, at byte {}", error.byte),
                         "send one JSON object"};
        }
        if (tooDeep_)
            return Error{ErrorKind::invalid, "", fmt::format("the body nests deeper than {}", kMaxNesting),
                         "send a configuration"};
        if (!rest.is_object())
            return Error{ErrorKind::invalid, "", "the body is no object", "send one JSON object"};
        const Result<std::uint64_t> revision = readRevision(rest);
        if (!revision) return revision.error();
        document_.revision = revision.value();
        if (kind_ == DocumentKind::whole)
            finishWhole(rest);
        else
            finishChanges(rest);
        return std::move(document_);
    }

private:
    // Depth of an item: in a whole configuration below its list, in changes below upsert and its list.
    int itemDepth() const { return kind_ == DocumentKind::whole ? 2 : 3; }

    // False takes the value out of what parse() returns.
    bool onEvent(int depth, Json::parse_event_t event, Json& parsed) {
        using Event = Json::parse_event_t;
        if ((event == Event::object_start || event == Event::array_start) && depth >= kMaxNesting) {
            tooDeep_ = true;
            return false;
        }
        if (event == Event::key && depth <= 2) noteKey(depth, parsed.get_ref<const std::string&>());
        if (event != Event::object_end || depth != itemDepth() || !inItems()) return true;
        takeItem(parsed);
        return false;
    }

    void noteKey(int depth, const std::string& key) {
        (depth == 1 ? outerKey_ : innerKey_) = key;
        if (depth == 1) innerKey_.clear();
        taken_ = 0;
    }

    const std::string& listName() const { return kind_ == DocumentKind::whole ? outerKey_ : innerKey_; }

    bool inItems() const {
        if (kind_ == DocumentKind::changes && outerKey_ != kUpsert) return false;
        return listName() == kRoutes || listName() == kServices;
    }

    void takeItem(const Json& parsed) {
        const Place top;
        const Place upsert{&top, kUpsert, {}};
        const Place list{kind_ == DocumentKind::whole ? &top : &upsert, listName(), {}};
        const Place place{&list, {}, taken_++};
        if (document_.faults.size() >= kMaxFaults) return;
        if (listName() == kRoutes)
            take(parsed, place, readRoute, document_.items.routes);
        else
            take(parsed, place, readService, document_.items.services);
    }

    template <class Value, class Read>
    void take(const Json& parsed, const Place& place, Read readItem, std::vector<Item<Value>>& items) {
        Item<Value> item;
        readItem(parsed, place, document_.faults, item.value);
        item.json = parsed.dump();
        item.place = place.text<JsonSource>();
        items.push_back(std::move(item));
    }

    static Result<std::uint64_t> readRevision(const Json& body) {
        const Error unreadable{ErrorKind::invalid, "/revision", "is not a whole number above 0",
                               "give the configuration a number above the current one"};
        const auto found = body.find(std::string{kRevision});
        if (found == body.end() || !found->is_number()) return unreadable;
        if (found->is_number_unsigned()) return found->get<std::uint64_t>();
        // A larger float may not be a whole number that was meant.
        constexpr double kExactlyWhole = 9007199254740992.0;
        const double value = found->get<double>();
        if (value < 0 || value > kExactlyWhole || value != std::floor(value)) return unreadable;
        return static_cast<std::uint64_t>(value);
    }

    void fault(std::string place, std::string message, std::string remedy) {
        document_.faults.push_back(
            {ErrorKind::invalid, std::move(place), std::move(message), std::move(remedy)});
    }

    void finishWhole(Json& rest) {
        for (const std::string_view name : {kRoutes, kServices})
            if (!rest.contains(std::string{name}))
                fault(fmt::format("/{}", name), "is missing", "send the whole configuration");
        takeMembers(rest, "");
    }

    void finishChanges(Json& rest) {
        for (const auto& [name, member] : rest.items()) {
            if (name == kUpsert && takesObject(name, member)) takeMembers(member, "/upsert");
            if (name == kRemove && takesObject(name, member)) takeRemovals(member);
            if (name == kLimits) takeLimits(member, "/limits");
        }
    }

    bool takesObject(const std::string& name, const Json& member) {
        if (member.is_object()) return true;
        if (!member.is_null()) fault("/" + name, "is no object", "send lists by name");
        return false;
    }

    // What the pass has left of the object that holds the lists.
    void takeMembers(Json& holder, const std::string& place) {
        for (const auto& [name, member] : holder.items()) {
            const std::string here = place + "/" + name;
            if (name == kRoutes || name == kServices)
                expectEmptyList(member, here);
            else if (name == kLimits)
                takeLimits(member, here);
            else if (name != kRevision || kind_ == DocumentKind::changes)
                takeOther(name, member, here);
        }
    }

    // Items that are objects were taken out; anything left is none.
    void expectEmptyList(const Json& member, const std::string& place) {
        const bool absent = member.is_null() && kind_ == DocumentKind::changes;
        if (absent || (member.is_array() && member.empty())) return;
        fault(place, "is not a list of objects", "send a list of objects with names");
    }

    void takeLimits(const Json& member, const std::string& place) {
        if (member.is_null()) return;
        Limits limits;
        const Place top;
        readLimits(member, Place{&top, std::string_view{place}.substr(1), {}}, document_.faults, limits);
        document_.items.limits = member.dump();
    }

    void takeOther(const std::string& name, Json& member, const std::string& place) {
        if (!nameFits(name, place)) return;
        document_.items.others.push_back({name, std::move(member)});
    }

    bool nameFits(const std::string& name, const std::string& place) {
        if (!name.empty() && name.size() <= kMaxMemberNameBytes) return true;
        fault(place, fmt::format("has a name of {} bytes", name.size()),
              fmt::format("use 1 to {}", kMaxMemberNameBytes));
        return false;
    }

    void takeRemovals(Json& holder) {
        for (const auto& [name, member] : holder.items()) {
            const std::string here = "/remove/" + name;
            if (member.is_null() || !isListOfNames(member, here)) continue;
            if (name == kRoutes)
                document_.removedRoutes = member.get<std::vector<std::string>>();
            else if (name == kServices)
                document_.removedServices = member.get<std::vector<std::string>>();
            else if (nameFits(name, here))
                document_.removedOthers.push_back({name, std::move(member)});
        }
    }

    bool isListOfNames(const Json& member, const std::string& place) {
        bool names = member.is_array();
        if (names)
            for (const Json& name : member) names = names && name.is_string();
        if (!names) fault(place, "is not a list of names", "send a list of texts");
        return names;
    }

    static constexpr std::size_t kMaxMemberNameBytes = 256;

    DocumentKind kind_;
    Document document_;
    std::string outerKey_;
    std::string innerKey_;
    std::size_t taken_ = 0;
    bool tooDeep_ = false;
};

}  // namespace

Result<Document> readDocument(std::string_view body, DocumentKind kind) {
    return DocumentReader{kind}.read(body);
}

}  // namespace beechpoint::configuration
