#include "emulator/results.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace beechpoint::emulator {

namespace {

namespace bh = boost::histogram;
using Json = nlohmann::ordered_json;

constexpr Millis kSecond = 1000;
constexpr Millis kWindow = 5000;
constexpr double kEnough = 20;  // queries: below this one query more or less is over 5%

// Latencies on a logarithmic axis: 400 bins over 1 ms to 100 s make a step of 3%.
auto latencies() {
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(400, 1.0, 1e5));
}
using Latencies = decltype(latencies());

Millis quantile(const Latencies& h, double share) {
    double all = 0;
    for (auto&& bin : bh::indexed(h, bh::coverage::all)) all += *bin;
    if (all <= 0) return 0;
    double sum = 0;
    for (auto&& bin : bh::indexed(h, bh::coverage::all)) {
        sum += *bin;
        if (sum >= share * all) return std::isfinite(bin.bin().upper()) ? bin.bin().center() : 1e5;
    }
    return 0;
}

struct Tally {
    std::size_t offered = 0, inAim = 0, late = 0, refused = 0, failed = 0;
    Latencies took = latencies();
    void add(const QueryRecord& q) {
        ++offered;
        if (q.result == Result::inAim) ++inAim;
        if (q.result == Result::late) ++late;
        if (q.result == Result::refused) ++refused;
        if (q.result == Result::failed || q.result == Result::open) ++failed;
        if (q.result == Result::inAim || q.result == Result::late) took(std::max(q.took, 1.0));
    }
};

std::string windowsOf(const World& world) {
    const Scenario& s = world.scenario();
    const auto seconds = static_cast<std::size_t>(std::ceil(s.length / kSecond));
    std::vector<std::vector<Tally>> table(seconds, std::vector<Tally>(s.classes.size()));
    for (const QueryRecord& q : world.desk().queries())
        table[std::min(seconds - 1, static_cast<std::size_t>(q.at / kSecond))]
             [static_cast<std::size_t>(q.klass)]
                 .add(q);
    std::string out = "second,class,offered,in_aim,late,refused,failed,p50_ms,p90_ms,p99_ms\n";
    for (std::size_t second = 0; second < seconds; ++second)
        for (std::size_t c = 0; c < s.classes.size(); ++c) {
            const Tally& t = table[second][c];
            fmt::format_to(std::back_inserter(out), "{},{},{},{},{},{},{},{:.1f},{:.1f},{:.1f}\n", second,
                           s.classes[c].name, t.offered, t.inAim, t.late, t.refused, t.failed,
                           quantile(t.took, 0.5), quantile(t.took, 0.9), quantile(t.took, 0.99));
        }
    return out;
}

std::string hostsOf(const World& world) {
    std::string out =
        "second,place,host,offered_parts,offered_work_ms,capacity_ms_per_s,in_work,waiting,connections,"
        "reported_inflight,reported_queue,reported_qps\n";
    for (const HostSample& h : world.samples()) {
        fmt::format_to(std::back_inserter(out), "{:.0f},{},{},{},{:.1f},{:.1f},{},{},{},", h.at / kSecond,
                       world.placeOf(h.host), world.hostName(h.host), h.offered, h.offeredWork,
                       h.capacity * kSecond, h.inWork, h.waiting, h.connections);
        if (h.report)
            fmt::format_to(std::back_inserter(out), "{:.0f},{:.0f},{:.1f}\n", h.report->inflight,
                           h.report->queue, h.report->qps);
        else
            out += ",,\n";
    }
    return out;
}

std::string eventsOf(const World& world) {
    std::string out;
    for (const Note& note : world.notes())
        out += Json{{"scriptMs", std::round(note.scripted * 1000) / 1000},
                    {"atMs", std::round(note.at * 1000) / 1000},
                    {"event", note.event},
                    {"detail", note.detail}}
                   .dump() +
               "\n";
    return out;
}

std::string rulesOf(const RulesChecker& rules, const Results& r) {
    Json json;
    json["broken"] = rules.allBroken();
    json["void"] = r.lateness.isVoid;
    json["lateness"] = {{"steps", r.lateness.steps},
                        {"p50Ms", r.lateness.p50},
                        {"p99Ms", r.lateness.p99},
                        {"mostMs", r.lateness.most}};
    json["service"] = r.service;
    json["load"] = {
        {"worstWindow", r.load.all}, {"worstClassWindow", r.load.byClass}, {"worstPlace", r.load.byPlace}};
    for (std::size_t i = 0; i < static_cast<std::size_t>(Rule::count); ++i) {
        const auto rule = static_cast<Rule>(i);
        json["rules"][nameOf(rule)] = {{"checked", rules.checked(rule)}, {"broken", rules.broken(rule)}};
    }
    json["violations"] = Json::array();
    for (const Violation& v : rules.violations())
        json["violations"].push_back({{"rule", nameOf(v.rule)},
                                      {"atMs", std::round(v.at * 1000) / 1000},
                                      {"query", v.query},
                                      {"host", v.host},
                                      {"what", v.text}});
    return json.dump(2) + "\n";
}

void worst(double& into, double is, double stated) {
    if (stated > 0) into = std::max(into, std::abs(is - stated) / stated);
}

LoadCheck loadOf(const World& world) {
    const Scenario& s = world.scenario();
    LoadCheck check;
    double shares = 0;
    for (const ClassSpec& c : s.classes) shares += c.share;
    const auto& queries = world.desk().queries();
    for (Millis from = 0; from + kWindow <= s.length; from += kSecond) {
        std::vector<double> seen(s.classes.size(), 0);
        for (const QueryRecord& q : queries)
            if (q.tries > 0 && q.at >= from && q.at < from + kWindow)
                ++seen[static_cast<std::size_t>(q.klass)];
        const double stated = s.queriesBetween(from, from + kWindow);
        double all = 0;
        for (std::size_t c = 0; c < seen.size(); ++c) {
            all += seen[c];
            const double ofClass = stated * s.classes[c].share / shares;
            if (ofClass >= kEnough) worst(check.byClass, seen[c], ofClass);
        }
        if (stated >= kEnough) worst(check.all, all, stated);
    }
    // Each slice's work counts for the places that hold it, in even parts.
    const auto places = static_cast<std::size_t>(s.hostCount());
    std::vector<double> work(places, 0);
    double sum = 0;
    for (std::size_t n = 0; n < queries.size(); ++n)
        for (const TryPart& part : world.desk().partsOf(n))
            for (std::size_t place = 0; place < places; ++place) {
                if (!s.holds(static_cast<int>(place), part.slice)) continue;
                const double w = world.desk().work(n, part.slice) / s.copies;
                work[place] += w;
                sum += w;
            }
    for (const double w : work) worst(check.byPlace, w, sum / static_cast<double>(places));
    return check;
}

}  // namespace

Results collect(const World& world, const RulesChecker& rules, const Lateness& lateness) {
    Results r;
    r.lateness = lateness;
    const Scenario& s = world.scenario();
    std::vector<Tally> tallies(s.classes.size());
    for (const QueryRecord& q : world.desk().queries()) tallies[static_cast<std::size_t>(q.klass)].add(q);
    double asked = 0, served = 0;
    for (const QueryRecord& q : world.desk().queries())
        served += q.earned * s.classes[static_cast<std::size_t>(q.klass)].worth;
    for (std::size_t c = 0; c < tallies.size(); ++c) {
        const Tally& t = tallies[c];
        r.classes.push_back({s.classes[c].name, t.offered, t.inAim, t.late, t.refused, t.failed,
                             quantile(t.took, 0.5), quantile(t.took, 0.9), quantile(t.took, 0.99)});
        asked += static_cast<double>(t.offered) * s.classes[c].worth;
    }
    r.service = asked > 0 ? served / asked : 1;
    r.load = loadOf(world);
    r.broken = rules.allBroken();
    r.events = eventsOf(world);
    r.windows = windowsOf(world);
    r.hosts = hostsOf(world);
    r.rules = rulesOf(rules, r);
    return r;
}

std::uint64_t hashOf(const Results& r) {
    const std::string all = r.events + '\0' + r.windows + '\0' + r.hosts + '\0' + r.rules;
    return XXH3_64bits(all.data(), all.size());
}

void write(const Results& r, const std::string& folder) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const auto put = [&](const char* name, const std::string& text) {
        const std::string path = (std::filesystem::path(folder) / name).string();
        std::ofstream file(path, std::ios::binary | std::ios::trunc);
        file << text;
        file.flush();
        if (!file) throw std::runtime_error("can't write " + path);
    };
    put("events.jsonl", r.events);
    put("windows.csv", r.windows);
    put("hosts.csv", r.hosts);
    put("rules.json", r.rules);
}

std::string summary(const Results& r) {
    std::string out;
    for (const ClassSummary& c : r.classes)
        fmt::format_to(
            std::back_inserter(out),
            "class {}: {} offered, {:.3f} in aim, {} late, {} refused, {} failed; p50 {:.0f} ms, p90 "
            "{:.0f} ms, p99 {:.0f} ms\n",
            c.name, c.offered, c.service(), c.late, c.refused, c.failed, c.p50, c.p90, c.p99);
    fmt::format_to(std::back_inserter(out),
                   "service {:.3f}; load off the script by {:.1f}% at worst in 5 s ({:.1f}% a class)\n",
                   r.service, r.load.all * 100, r.load.byClass * 100);
    if (r.lateness.steps > 0)
        fmt::format_to(
            std::back_inserter(out), "behind its own clock: p50 {:.2f} ms, p99 {:.2f} ms, most {:.2f} ms{}\n",
            r.lateness.p50, r.lateness.p99, r.lateness.most, r.lateness.isVoid ? ": the run is void" : "");
    fmt::format_to(std::back_inserter(out), "rules broken: {}\n", r.broken);
    return out;
}

}  // namespace beechpoint::emulator
