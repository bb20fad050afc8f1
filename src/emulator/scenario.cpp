#include "emulator/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "emulator/schema_check.hpp"

namespace beechpoint::emulator {

namespace {

using Json = nlohmann::json;

constexpr double kSecond = 1000;

const std::map<std::string, Event::Kind> kKinds = {{"deploy", Event::Kind::deploy},
                                                   {"site_cut", Event::Kind::siteCut},
                                                   {"site_lost", Event::Kind::siteLost},
                                                   {"slow", Event::Kind::slow},
                                                   {"pause", Event::Kind::pause},
                                                   {"costly", Event::Kind::costly},
                                                   {"crash", Event::Kind::crash},
                                                   {"gatherer_kill", Event::Kind::gathererKill},
                                                   {"gatherer_restart", Event::Kind::gathererRestart},
                                                   {"gatherer_reload", Event::Kind::gathererReload},
                                                   {"discovery_silent", Event::Kind::discoverySilent},
                                                   {"cancel_policy", Event::Kind::cancelPolicy}};

// One JSON object and its place.
class Place {
public:
    Place(const Json& json, std::string pointer) : json_(json), pointer_(std::move(pointer)) {}
    bool has(const char* key) const { return json_.contains(key); }
    Place at(const char* key) const { return {json_.at(key), pointer_ + "/" + key}; }
    std::vector<Place> each(const char* key) const {
        std::vector<Place> list;
        if (!has(key)) return list;
        for (std::size_t i = 0; i < json_.at(key).size(); ++i)
            list.emplace_back(json_.at(key)[i], fmt::format("{}/{}/{}", pointer_, key, i));
        return list;
    }
    template <class T>
    void read(const char* key, T& into, double scale = 1) const {
        if (!has(key)) return;
        if constexpr (std::is_same_v<T, double>)
            into = json_.at(key).get<double>() * scale;
        else
            into = json_.at(key).get<T>();
    }
    void read(const char* key, Range& into) const {
        if (!has(key)) return;
        into = {json_.at(key)[0].get<double>(), json_.at(key)[1].get<double>()};
        if (into.from > into.to) fail(key, "the first figure is above the second");
    }
    std::string text(const char* key) const { return json_.value(key, std::string()); }
    [[noreturn]] void fail(const std::string& key, const std::string& rule) const {
        throw BadScenario(key.empty() ? pointer_ : pointer_ + "/" + key, rule);
    }
    void need(const char* key) const {
        if (!has(key)) fail("", fmt::format("key {} is missing", key));
    }
    const Json& json() const { return json_; }
    const std::string& pointer() const { return pointer_; }

private:
    const Json& json_;
    std::string pointer_;
};

CancelPolicy readCancel(const Place& place, CancelPolicy policy) {
    place.read("dropsWaiting", policy.dropsWaiting);
    place.read("stopsRunning", policy.stopsRunning);
    place.read("beginsOverdue", policy.beginsOverdue);
    return policy;
}

HostKind readHost(const Place& place) {
    HostKind h;
    place.read("cores", h.cores);
    place.read("slots", h.slots);
    place.read("waitingRoom", h.waitingRoom);
    place.read("crowdingLoss", h.crowdingLoss);
    place.read("connectionCap", h.connectionCap);
    place.read("connectionTax", h.connectionTax);
    place.read("handshakeWorkMs", h.handshakeWork);
    place.read("handshakeMs", h.handshakeTime);
    place.read("probeWorkMs", h.probeWork);
    place.read("speed", h.speed);
    if (h.speed.from <= 0) place.fail("speed", "must be above 0");
    place.read("olderShare", h.olderShare);
    place.read("olderSpeed", h.olderSpeed);
    if (h.olderSpeed.from <= 0) place.fail("olderSpeed", "must be above 0");
    place.read("coldFrom", h.coldFrom);
    place.read("coldS", h.coldTime, kSecond);
    h.warmByWork = place.text("warmBy") == "work";
    place.read("pauseEveryMs", h.pauseEvery);
    place.read("pauseMs", h.pauseLength);
    if (h.pauseLength.to > 0 && h.pauseEvery.from <= h.pauseLength.to)
        place.fail("pauseMs", "a pause must be shorter than the time from one to the next");
    place.read("errorRate", h.errorRate);
    place.read("reportEveryMs", h.reportEvery);
    if (h.reportEvery.from < 1) place.fail("reportEveryMs", "must be 1 or more");
    place.read("reportDelayMs", h.reportDelay);
    place.read("reportNoise", h.reportNoise);
    place.read("overloadFactor", h.overloadFactor);
    place.read("overloadMs", h.overloadTime);
    return h;
}

void readSites(const Place& root, Scenario& s) {
    std::set<std::string> names;
    for (const Place& place : root.each("sites")) {
        Site site;
        place.read("name", site.name);
        place.read("hosts", site.hosts);
        place.read("gatherers", site.gatherers);
        if (!names.insert(site.name).second) place.fail("name", "a site of this name stands above");
        s.sites.push_back(site);
    }
    if (s.hostCount() < 1) root.fail("sites", "there is no host");
    if (s.gathererCount() < 1) root.fail("sites", "there is no gatherer");
}

void readClasses(const Place& root, Scenario& s) {
    std::set<std::string> names;
    for (const Place& place : root.each("classes")) {
        ClassSpec c;
        place.read("name", c.name);
        place.read("share", c.share);
        place.read("worth", c.worth);
        place.read("aimMs", c.aim);
        place.read("giveUpMs", c.giveUp);
        if (c.aim > c.giveUp) place.fail("aimMs", "is above giveUpMs");
        if (place.has("parts")) {
            c.partsFrom = place.json()["parts"][0].get<int>();
            c.partsTo = place.json()["parts"][1].get<int>();
            if (c.partsFrom > c.partsTo) place.fail("parts", "the first figure is above the second");
        }
        place.read("partsShare", c.partsShare);
        if (c.partsTo > s.slices()) place.fail("parts", fmt::format("there are only {} slices", s.slices()));
        place.read("workMs", c.work);
        place.read("repeats", c.repeats);
        place.read("lateWorth", c.lateWorth);
        place.read("leastShare", c.leastShare);
        place.read("shortWorth", c.shortWorth);
        if (!names.insert(c.name).second) place.fail("name", "a class of this name stands above");
        s.classes.push_back(c);
    }
}

void readLoad(const Place& root, Scenario& s) {
    for (const Place& place : root.each("load")) {
        LoadPoint point;
        place.read("atS", point.at, kSecond);
        place.read("perS", point.perSecond);
        if (!s.load.empty() && point.at < s.load.back().at) place.fail("atS", "is before the point above");
        s.load.push_back(point);
    }
    if (s.queriesBetween(0, s.length) > 2e6) root.fail("load", "comes to more than 2,000,000 queries");
}

std::vector<std::string> readHosts(const Place& place, const Scenario& s, const std::string& site) {
    const std::vector<std::string> all = s.places();
    std::vector<std::string> hosts;
    if (!place.has("hosts")) {
        for (std::size_t i = 0; i < all.size(); ++i)
            if (site.empty() ||
                s.sites[static_cast<std::size_t>(s.siteOfPlace(static_cast<int>(i)))].name == site)
                hosts.push_back(all[i]);
        return hosts;
    }
    const Json& names = place.json()["hosts"];
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto name = names[i].get<std::string>();
        if (std::find(all.begin(), all.end(), name) == all.end())
            place.fail(fmt::format("hosts/{}", i), fmt::format("there is no host {}", name));
        hosts.push_back(name);
    }
    return hosts;
}

std::vector<int> readGatherers(const Place& place, const Scenario& s) {
    std::vector<int> gatherers;
    if (!place.has("gatherers")) {
        for (int g = 0; g < s.gathererCount(); ++g) gatherers.push_back(g);
        return gatherers;
    }
    const Json& names = place.json()["gatherers"];
    for (std::size_t i = 0; i < names.size(); ++i) {
        int found = -1;
        for (int g = 0; g < s.gathererCount(); ++g)
            if (names[i] == fmt::format("g{}", g)) found = g;
        if (found < 0)
            place.fail(fmt::format("gatherers/{}", i),
                       fmt::format("there is no gatherer {}", names[i].get<std::string>()));
        gatherers.push_back(found);
    }
    return gatherers;
}

// Which keys an event needs; the rest may be left out.
void needKeys(const Place& place, Event::Kind kind) {
    static const std::map<Event::Kind, std::vector<const char*>> needed = {
        {Event::Kind::deploy, {"batchShare", "everyS", "drainS", "startS"}},
        {Event::Kind::siteCut, {"site", "forS"}},
        {Event::Kind::siteLost, {"site", "forS"}},
        {Event::Kind::slow, {"factor", "forS"}},
        {Event::Kind::pause, {"pauseMs"}},
        {Event::Kind::costly, {"class", "factor", "share", "forS"}},
        {Event::Kind::crash, {"startS"}},
        {Event::Kind::gathererKill, {"startS"}},
        {Event::Kind::gathererRestart, {"startS"}},
        {Event::Kind::discoverySilent, {"forS"}},
        {Event::Kind::cancelPolicy, {}},
        {Event::Kind::gathererReload, {}}};
    for (const char* key : needed.at(kind)) place.need(key);
}

// A deploy of everything takes hosts at a time that stand far apart in the ring: a batch must leave every
// slice a host. Listed hosts are taken in the order of the list.
std::vector<std::string> spread(const std::vector<std::string>& hosts, double batchShare) {
    const auto batch =
        static_cast<std::size_t>(std::max(1.0, std::floor(batchShare * static_cast<double>(hosts.size()))));
    const std::size_t batches = (hosts.size() + batch - 1) / batch;
    std::vector<std::string> order;
    for (std::size_t first = 0; first < batches; ++first)
        for (std::size_t i = first; i < hosts.size(); i += batches) order.push_back(hosts[i]);
    return order;
}

Event readEvent(const Place& place, const Scenario& s, const CancelPolicy& before) {
    Event e;
    e.pointer = place.pointer();
    e.kind = kKinds.at(place.text("event"));
    needKeys(place, e.kind);
    place.read("atS", e.at, kSecond);
    if (e.at >= s.length) place.fail("atS", fmt::format("the run ends at {} s", s.length / kSecond));
    e.site = place.text("site");
    if (!e.site.empty() && s.siteIndex(e.site) < 0)
        place.fail("site", fmt::format("there is no site {}", e.site));
    e.klass = place.text("class");
    if (!e.klass.empty() && std::none_of(s.classes.begin(), s.classes.end(),
                                         [&](const ClassSpec& c) { return c.name == e.klass; }))
        place.fail("class", fmt::format("there is no class {}", e.klass));
    e.hosts = readHosts(place, s, e.site);
    e.gatherers = readGatherers(place, s);
    place.read("forS", e.lasts, kSecond);
    place.read("everyS", e.every, kSecond);
    place.read("drainS", e.drain, kSecond);
    place.read("startS", e.start, kSecond);
    place.read("batchShare", e.batchShare);
    place.read("factor", e.factor);
    place.read("share", e.share);
    place.read("pauseMs", e.pauseLength);
    if (e.kind == Event::Kind::deploy && !place.has("hosts")) e.hosts = spread(e.hosts, e.batchShare);
    if (e.kind == Event::Kind::pause && e.every > 0 && e.every <= e.pauseLength)
        place.fail("everyS", "is not above the pause's length");
    e.answersLost = place.text("answers") == "lost";
    e.policy = readCancel(place, before);
    return e;
}

void readOptional(const Place& root, Scenario& s) {
    if (root.has("network")) {
        root.at("network").read("sameMs", s.sameSite);
        root.at("network").read("crossMs", s.crossSite);
    }
    if (root.has("layout")) {
        root.at("layout").read("slicesPerHost", s.slicesPerHost);
        root.at("layout").read("copies", s.copies);
        if (s.copies > s.hostCount()) root.at("layout").fail("copies", "there are fewer hosts");
        root.at("layout").read("sets", s.sets);
        if (s.sets && s.hostCount() % s.copies != 0)
            root.at("layout").fail("sets", "the hosts don't make up whole sets of so many copies");
    }
    if (root.has("host")) {
        s.host = readHost(root.at("host"));
        s.reportsByProbe = root.at("host").text("reports") == "probes";
    }
    if (root.has("cancel")) s.cancel = readCancel(root.at("cancel"), s.cancel);
    if (root.has("discovery")) root.at("discovery").read("lagMs", s.listLag);
    if (root.has("gatherer")) {
        const Place g = root.at("gatherer");
        g.read("openCapS", s.openCapSeconds);
        g.read("maxAttempts", s.maxAttempts);
        g.read("callsPerConnection", s.callsPerConnection);
        g.read("sockets", s.sockets);
        g.read("retryAfter", s.retryAfter);
    }
    root.read("portBase", s.portBase);
    // A port a listener, a host and a gatherer; successors take more: twice the fleet is kept clear.
    const int ports = 2 * (s.hostCount() + 2) * s.gathererCount();
    if (s.portBase > 0 && s.portBase + ports > 65'535)
        root.fail("portBase", fmt::format("{} ports from here on pass 65535", ports));
    if (root.has("clients")) {
        const Place c = root.at("clients");
        c.read("retryShare", s.clients.retryShare);
        c.read("retryWaitMs", s.clients.retryWait);
        c.read("honourShare", s.clients.honourShare);
        c.read("tryShare", s.clients.tryShare);
        c.read("frontNoticeMs", s.clients.frontNotice);
        c.read("delayMs", s.clients.delay);
        c.read("keys", s.clients.keys);
        c.read("keySkew", s.clients.keySkew);
    }
}

}  // namespace

const char* nameOf(Event::Kind kind) {
    for (const auto& [name, k] : kKinds)
        if (k == kind) return name.c_str();
    return "?";
}

int Scenario::hostCount() const {
    int count = 0;
    for (const Site& site : sites) count += site.hosts;
    return count;
}

int Scenario::gathererCount() const {
    int count = 0;
    for (const Site& site : sites) count += site.gatherers;
    return count;
}

int Scenario::siteOfGatherer(int gatherer) const {
    for (std::size_t i = 0; i < sites.size(); ++i) {
        if (gatherer < sites[i].gatherers) return static_cast<int>(i);
        gatherer -= sites[i].gatherers;
    }
    return 0;
}

bool Scenario::holds(int place, int slice) const {
    if (slice < 0 || slice >= slices()) return false;
    return (cellOf(place) - slice % cells() + cells()) % cells() < span();
}

int Scenario::siteIndex(const std::string& wanted) const {
    for (std::size_t i = 0; i < sites.size(); ++i)
        if (sites[i].name == wanted) return static_cast<int>(i);
    return -1;
}

std::vector<std::string> Scenario::places() const {
    std::vector<std::string> places;
    const int count = hostCount();
    for (int row = 0; static_cast<int>(places.size()) < count; ++row)
        for (const Site& site : sites)
            if (row < site.hosts) places.push_back(fmt::format("{}-{}", site.name, row));
    return places;
}

int Scenario::siteOfPlace(int place) const {
    int seen = 0;
    for (int row = 0; row < hostCount(); ++row)
        for (std::size_t i = 0; i < sites.size(); ++i)
            if (row < sites[i].hosts && seen++ == place) return static_cast<int>(i);
    return 0;
}

double Scenario::rateAt(Millis at) const {
    if (load.empty() || at < load.front().at) return 0;
    for (std::size_t i = load.size() - 1;; --i)
        if (load[i].at <= at) {
            if (i + 1 == load.size()) return load[i].perSecond;
            const LoadPoint &a = load[i], &b = load[i + 1];
            return a.perSecond + (b.perSecond - a.perSecond) * (at - a.at) / (b.at - a.at);
        }
}

double Scenario::queriesBetween(Millis from, Millis to) const {
    double sum = 0;
    const auto add = [&](Millis a, Millis b, double ra, double rb) {  // one straight piece
        const Millis lo = std::max(a, from), hi = std::min(b, to);
        if (lo >= hi) return;
        const auto rate = [&](Millis t) { return b > a ? ra + (rb - ra) * (t - a) / (b - a) : rb; };
        sum += (hi - lo) / kSecond * (rate(lo) + rate(hi)) / 2;
    };
    for (std::size_t i = 0; i + 1 < load.size(); ++i)
        add(load[i].at, load[i + 1].at, load[i].perSecond, load[i + 1].perSecond);
    if (!load.empty() && to > load.back().at)
        add(load.back().at, std::max(to, load.back().at), load.back().perSecond, load.back().perSecond);
    return sum;
}

Scenario readScenario(const std::string& source) {
    Json json;
    try {
        json = Json::parse(source);
    } catch (const Json::parse_error& e) {
        throw BadScenario("", fmt::format("is not JSON (at byte {})", e.byte));
    }
    checkAgainstSchema(json);
    const Place root(json, "");
    Scenario s;
    root.read("name", s.name);
    root.read("about", s.about);
    root.read("lengthS", s.length, kSecond);
    root.read("seed", s.seed);
    readSites(root, s);
    readOptional(root, s);
    readClasses(root, s);
    readLoad(root, s);
    CancelPolicy policy = s.cancel;
    for (const Place& place : root.each("script")) {
        s.script.push_back(readEvent(place, s, policy));
        if (s.script.back().kind == Event::Kind::cancelPolicy) policy = s.script.back().policy;
    }
    return s;
}

Scenario readScenarioFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw BadScenario("", fmt::format("can't open {}", path));
    return readScenario(std::string(std::istreambuf_iterator<char>(file), {}));
}

}  // namespace beechpoint::emulator
