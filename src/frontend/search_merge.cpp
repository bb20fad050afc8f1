// Merging the slices' answers to a search, and the error that stands for an answer that is not to be had.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "frontend/search.hpp"
#include "net/json.hpp"

namespace beechpoint::frontend {

namespace {

using Json = nlohmann::json;

struct Hit {
    std::string_view text;
    double score = 0;
    bool scored = false;
    Json sort;
};

// Below 0: a before b.
int compare(const Json& a, const Json& b, const SortKey& key) {
    if (a.is_null() || b.is_null()) {
        if (a.is_null() && b.is_null()) return 0;
        return a.is_null() == key.missingFirst ? -1 : 1;
    }
    const int order = a < b ? -1 : b < a ? 1 : 0;
    return key.descending ? -order : order;
}

bool before(const Hit& a, const Hit& b, const std::vector<SortKey>& keys) {
    if (keys.empty()) return a.scored != b.scored ? a.scored : a.score > b.score;
    for (std::size_t i = 0; i < keys.size(); ++i)
        if (const int order = compare(a.sort[i], b.sort[i], keys[i]); order != 0) return order < 0;
    return false;
}

}  // namespace

std::string mergedBody(const Search& search, const Final& final, Millis took) {
    const auto broken = [](int slice) {
        return SearchError(503, "search_phase_execution_exception",
                           fmt::format("slice [{}] gave no answer that can be used", slice));
    };
    std::vector<Hit> hits;
    std::uint64_t total = 0;
    bool totals = true, atLeast = false, anyScore = false;
    double most = 0;
    for (const int slice : search.slices) {
        const auto part = std::find_if(final.parts.begin(), final.parts.end(),
                                       [&](const PartAnswer& p) { return p.slice == slice; });
        if (part == final.parts.end()) throw broken(slice);
        const Json json = Json::parse(part->value.begin(), part->value.end(), nullptr, false);
        const auto listed = json.is_object() ? json.find("hits") : json.end();
        if (!json.is_object() || listed == json.end() || !listed->is_object() || !listed->contains("hits") ||
            !(*listed)["hits"].is_array())
            throw broken(slice);
        const Json& list = (*listed)["hits"];
        const std::vector<std::string_view> texts =
            net::jsonElements(net::jsonMember(net::jsonMember(part->value, "hits"), "hits"));
        if (texts.size() != list.size()) throw broken(slice);
        for (std::size_t i = 0; i < texts.size(); ++i) {
            Hit hit;
            hit.text = texts[i];
            if (!list[i].is_object()) throw broken(slice);
            if (const auto score = list[i].find("_score"); score != list[i].end() && score->is_number()) {
                hit.score = score->get<double>();
                hit.scored = true;
                most = anyScore ? std::max(most, hit.score) : hit.score;
                anyScore = true;
            }
            if (!search.sort.empty()) {
                const auto sort = list[i].find("sort");
                if (sort == list[i].end() || !sort->is_array() || sort->size() < search.sort.size())
                    throw broken(slice);
                hit.sort = *sort;
            }
            hits.push_back(std::move(hit));
        }
        const auto count = listed->find("total");
        if (count == listed->end() || !count->is_object() || !count->contains("value") ||
            !(*count)["value"].is_number_unsigned()) {
            totals = false;  // not tracked
        } else {
            total += (*count)["value"].get<std::uint64_t>();
            atLeast = atLeast || count->value("relation", "eq") != "eq";
        }
    }
    std::stable_sort(hits.begin(), hits.end(),
                     [&](const Hit& a, const Hit& b) { return before(a, b, search.sort); });
    std::string body = fmt::format(
        R"({{"took":{},"timed_out":false,"_shards":{{"total":{},"successful":{},"skipped":0,"failed":0}},"hits":{{)",
        static_cast<long long>(took), search.slices.size(), search.slices.size());
    if (totals)
        body += fmt::format(R"("total":{{"value":{},"relation":"{}"}},)", total, atLeast ? "gte" : "eq");
    body += fmt::format(R"("max_score":{},"hits":[)", anyScore ? Json(most).dump() : "null");
    for (std::size_t i = search.from; i < std::min(hits.size(), search.from + search.size); ++i) {
        if (i > search.from) body += ',';
        body += hits[i].text;
    }
    return body + "]}}";
}

SearchError errorOf(const Final& final) {
    switch (final.why) {
        case Final::Why::deadline:
            return {504, "timeout_exception", "not all slices answered within the time"};
        case Final::Why::openCap:
            return {429, "rejected_execution_exception", "too many searches are open"};
        default:
            break;
    }
    if (final.kind == Final::Kind::refused)
        return {429, "rejected_execution_exception", "the search would not be answered in time"};
    return {503, "search_phase_execution_exception", "a slice failed"};
}

}  // namespace beechpoint::frontend
