#include "coordinator/settings_json.hpp"

#include <nlohmann/json.hpp>

namespace beechpoint::coordinator {

namespace {

using Json = nlohmann::json;

[[noreturn]] void bad(const std::string& key, const std::string& expected) {
    throw BadSettings("message PROVISION, field settings, key " + key + ": expected " + expected);
}

// A JSON object that knows its path, for plain messages.
class Node {
public:
    Node(const Json& json, std::string path) : json_(json), path_(std::move(path)) {
        if (!json_.is_object()) bad(path_, "an object");
    }
    Node at(const char* key) const { return Node(need(key), name(key)); }
    bool has(const char* key) const { return json_.contains(key) && !json_.at(key).is_null(); }
    const Json& list(const char* key) const {
        const Json& value = need(key);
        if (!value.is_array()) bad(name(key), "a list");
        return value;
    }
    template <class T>
    T get(const char* key) const {
        return as<T>(need(key), name(key));
    }
    template <class T>
    T get(const char* key, T absent) const {
        return has(key) ? as<T>(json_.at(key), name(key)) : absent;
    }
    // Entry `index` of a list that may be absent.
    template <class T>
    T each(const char* key, std::size_t index, T absent) const {
        if (!has(key)) return absent;
        const Json& values = list(key);
        if (index >= values.size()) bad(name(key), "an entry for each class");
        return as<T>(values[index], name(key));
    }
    std::string name(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

private:
    const Json& need(const char* key) const {
        if (!has(key)) bad(name(key), "a value, but it is missing");
        return json_.at(key);
    }
    template <class T>
    static T as(const Json& value, const std::string& key) {
        if constexpr (std::is_same_v<T, bool>) {
            if (!value.is_boolean()) bad(key, "true or false");
        } else if constexpr (std::is_same_v<T, std::string>) {
            if (!value.is_string()) bad(key, "text");
        } else {
            if (!value.is_number()) bad(key, "a number");
        }
        return value.get<T>();
    }
    const Json& json_;
    std::string path_;
};

Json parse(const std::string& text) {
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) throw BadSettings("message PROVISION, field settings: expected a JSON object");
    return json;
}

Effect readEffect(const Node& node) {
    const std::string word = node.get<std::string>("effect", "unsafe");
    if (word == "safe") return Effect::safe;
    if (word == "keyed") return Effect::keyed;
    if (word == "unsafe") return Effect::unsafe;
    bad(node.name("effect"), "safe, keyed or unsafe");
}

}  // namespace

ConnectionSettings readConnectionSettings(const std::string& text) {
    const Json json = parse(text);
    const Node root(json, "");
    const Node allowed = root.at("permissions");
    ConnectionSettings c;
    c.idle = allowed.get<Nanos>("connIdle", 0);
    c.callsAtOnce = allowed.get<int>("streamsPerConn", 1);
    c.partsInCall = root.at("familyInfo").get<int>("bundleMax", 1);
    if (c.idle < 0) bad("permissions.connIdle", "0 or more");
    if (c.callsAtOnce < 1) bad("permissions.streamsPerConn", "1 or more");
    if (c.partsInCall < 1) bad("familyInfo.bundleMax", "1 or more");
    return c;
}

Settings readSettings(const std::string& text) {
    const Json json = parse(text);
    const Node root(json, "");
    Settings s;
    const Node family = root.at("familyInfo");
    const Json& classes = root.list("classes");
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const Node node(classes[i], "classes[" + std::to_string(i) + "]");
        ClassSettings c;
        c.name = node.get<std::string>("name");
        c.aim = node.get<Nanos>("promise");
        c.deadline = node.get<Nanos>("deadline");
        c.worth = node.get<double>("points", 1.0);
        c.lateWorth = node.get<double>("lateWorth", 0.0);
        c.effect = readEffect(node);
        c.repeatWindow = node.get<Nanos>("window", 0);
        c.completeFrom = family.each<double>("completeFrom", i, 1.0);
        c.leastShare = family.each<double>("leastShare", i, c.completeFrom);
        c.shortWorth = family.each<double>("shortWorth", i, 0.0);
        c.secondStep = family.each<int>("secondStep", i, 0);
        s.classes.push_back(c);
    }
    if (root.has("tenants")) {
        const Json& tenants = root.list("tenants");
        for (std::size_t i = 0; i < tenants.size(); ++i) {
            const Node node(tenants[i], "tenants[" + std::to_string(i) + "]");
            s.tenants.push_back({node.get<std::string>("name"), node.get<double>("share", 0.0),
                                 node.get<double>("allowancePerS", 0.0)});
        }
    }
    s.coordinators = root.get<int>("balancers", 1);
    s.me = root.get<int>("me", 0);
    s.zone = root.get<std::string>("zone", "");
    s.shards = family.get<int>("shards");
    s.cells = family.get<int>("cells");
    s.span = family.get<int>("span");
    s.overShareWorth = root.get<double>("overShareWorth", 1.0);
    if (root.has("costs")) s.crossZoneCost = root.at("costs").get<double>("crossZone", 0.0);
    s.tick = root.get<Nanos>("tick", s.tick);
    const Node allowed = root.at("permissions");
    s.dialTimeout = allowed.get<Nanos>("dialTimeout", 0);
    s.maxAttempts = allowed.get<int>("maxAttempts", 1);
    s.openCap = allowed.get<int>("openCap", 0);
    s.parallelTries = allowed.get<bool>("parallelTries", false);
    s.cancelling = allowed.get<bool>("cancelling", false);
    s.probing = allowed.get<bool>("probing", false);
    s.retryAfter = allowed.get<bool>("retryAfter", false);
    s.maxRetryAfter = allowed.get<Nanos>("maxRetryAfter", 0);
    s.mustSubscribe = root.get<std::string>("discovery", "automatic") == "subscribe";
    const Node rules = root.at("rules");
    s.answerSlack = rules.get<Nanos>("answerSlack", 0);
    s.coldTime = rules.get<Nanos>("cold", 0);
    s.coldFrom = rules.get<double>("coldFrom", 1.0);
    s.overloadFactor = rules.get<double>("overloadFactor", 0.0);
    s.overloadTime = rules.get<Nanos>("fall", 0);
    s.hasResendBudget = rules.has("resendRatio") || rules.has("freeResends");
    s.freeResends = rules.get<double>("freeResends", 0.0);
    s.resendRatio = rules.get<double>("resendRatio", 0.0);
    s.lookBack = rules.get<Nanos>("lookBack", 0);
    if (root.has("report")) {
        const std::string how = root.at("report").get<std::string>("how", "silent");
        s.reports = how == "piggyback" ? Reports::withAnswers
                    : how == "pull"    ? Reports::withProbes
                                       : Reports::none;
    }
    return s;
}

}  // namespace beechpoint::coordinator
