// Reading a search: its clauses, parameters and the slices that it is for.
#include "frontend/search.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>

#include "net/json.hpp"

namespace beechpoint::frontend {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostResults = 10'000;  // from + size, OpenSearch's own limit
constexpr std::size_t kMostSearches = 64;     // in one _msearch
constexpr const char* kIllegal = "illegal_argument_exception";
constexpr const char* kParsing = "parsing_exception";

// Clauses that each slice can answer by itself and that only shape its hits: handed on as they are.
constexpr std::string_view kHandedOn[] = {
    "query",         "post_filter", "_source",  "stored_fields",       "fields",           "docvalue_fields",
    "script_fields", "explain",     "version",  "seq_no_primary_term", "track_total_hits", "track_scores",
    "sort",          "min_score",   "highlight"};
constexpr std::string_view kRead[] = {"from", "size", "timeout"};
constexpr std::string_view kParameters[] = {"preference", "routing",     "timeout",
                                            "from",       "size",        "allow_partial_search_results",
                                            "pretty",     "search_type", "track_total_hits"};

[[noreturn]] void illegal(const std::string& reason) { throw SearchError(400, kIllegal, reason); }
[[noreturn]] void unreadable(const std::string& reason) { throw SearchError(400, kParsing, reason); }

template <class List, class Value>
bool among(const List& list, const Value& word) {
    return std::find(std::begin(list), std::end(list), word) != std::end(list);
}

std::optional<std::int64_t> wholeNumber(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::size_t readCount(const std::string& name, std::optional<std::int64_t> value) {
    if (!value || *value < 0) illegal(fmt::format("[{}] must be a whole number, 0 or more", name));
    return static_cast<std::size_t>(std::min<std::int64_t>(*value, kMostResults + 1));
}

// A time with its unit, as 500ms or 2s; -1 is none.
Millis readTimeout(const std::string& text) {
    if (text == "-1") return 0;
    const auto unit = text.find_first_not_of("0123456789");
    const auto value = wholeNumber(std::string_view(text).substr(0, unit));
    const std::string name = unit == std::string::npos ? "" : text.substr(unit);
    const std::map<std::string, double> units = {{"nanos", 1e-6}, {"micros", 1e-3}, {"ms", 1},    {"s", 1e3},
                                                 {"m", 6e4},      {"h", 3.6e6},     {"d", 8.64e7}};
    const auto found = units.find(name);
    if (!value || found == units.end())
        illegal(fmt::format("failed to parse setting [timeout] with value [{}]", text));
    return std::max(1.0, static_cast<double>(*value) * found->second);
}

std::vector<SortKey> readSort(const Json& sort) {
    std::vector<SortKey> keys;
    const auto one = [&](const Json& item) {
        SortKey key;
        if (item.is_string()) {
            key.field = item.get<std::string>();
            key.descending = key.field == "_score";
        } else if (item.is_object() && item.size() == 1) {
            const Json& how = item.begin().value();
            key.field = item.begin().key();
            key.descending = key.field == "_score";
            const auto order = [&](const Json& word) {
                if (word != "asc" && word != "desc") illegal("[sort] order must be asc or desc");
                key.descending = word == "desc";
            };
            if (how.is_string()) {
                order(how);
            } else if (how.is_object()) {
                for (const auto& [name, value] : how.items()) {
                    if (name == "order")
                        order(value);
                    else if (name == "missing" && (value == "_first" || value == "_last"))
                        key.missingFirst = value == "_first";
                    else if (name != "unmapped_type")
                        illegal(fmt::format("[sort] does not support [{}]", name));
                }
            } else {
                illegal("[sort] must name fields");
            }
        } else {
            illegal("[sort] must name fields");
        }
        // Their order means nothing across slices, or can't be told from the hits.
        if (key.field == "_doc" || key.field == "_shard_doc" || key.field == "_script" ||
            key.field == "_geo_distance")
            illegal(fmt::format("[sort] does not support [{}]", key.field));
        keys.push_back(std::move(key));
    };
    if (sort.is_array())
        for (const Json& item : sort) one(item);
    else
        one(sort);
    return keys;
}

std::vector<std::string> split(std::string_view text, char at) {
    std::vector<std::string> words;
    for (;;) {
        const auto end = text.find(at);
        words.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) return words;
        text.remove_prefix(end + 1);
    }
}

std::vector<int> readSlices(const Parameters& parameters, int slices) {
    std::vector<int> chosen;
    constexpr std::string_view kShards = "_shards:";
    const auto preference = parameters.find("preference");
    if (preference != parameters.end() && preference->second.starts_with(kShards)) {
        for (const std::string& word : split(preference->second.substr(kShards.size()), ',')) {
            const auto slice = wholeNumber(word);
            if (!slice || *slice < 0 || *slice >= slices)
                illegal(fmt::format("[preference] names no slice: [{}]", word));
            if (among(chosen, static_cast<int>(*slice)))
                illegal(fmt::format("[preference] names slice [{}] twice", word));
            chosen.push_back(static_cast<int>(*slice));
        }
        return chosen;
    }
    if (preference != parameters.end() && preference->second.starts_with('_'))
        illegal(fmt::format("[preference] does not support [{}]", preference->second));
    if (const auto routing = parameters.find("routing"); routing != parameters.end()) {
        for (const std::string& word : split(routing->second, ','))
            if (const int slice = sliceOf(word, slices); !among(chosen, slice)) chosen.push_back(slice);
        return chosen;
    }
    for (int slice = 0; slice < slices; ++slice) chosen.push_back(slice);
    return chosen;
}

void checkParameters(const Parameters& parameters) {
    for (const auto& [name, value] : parameters)
        if (!among(kParameters, name))
            illegal(fmt::format("request contains unsupported parameter: [{}]", name));
    const auto type = parameters.find("search_type");
    if (type != parameters.end() && type->second != "query_then_fetch")
        illegal(fmt::format("[search_type] does not support [{}]", type->second));
}

}  // namespace

std::string searchErrorBody(const SearchError& error) {
    const Json cause = {{"type", error.type}, {"reason", error.what()}};
    Json body = {{"error", cause}, {"status", error.status}};
    body["error"]["root_cause"] = Json::array({cause});
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Parameters readParameters(std::string_view query) {
    Parameters parameters;
    const auto decode = [](std::string_view text) {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned byte = 0;
            if (text[i] != '%') {
                plain += text[i] == '+' ? ' ' : text[i];
                continue;
            }
            const char* const digits = text.data() + i + 1;
            if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, byte, 16).ptr != digits + 2)
                illegal("the URL has a bad escape");
            plain += static_cast<char>(byte);
            i += 2;
        }
        return plain;
    };
    if (query.empty()) return parameters;
    for (const std::string& pair : split(query, '&')) {
        if (pair.empty()) continue;
        const auto equals = pair.find('=');
        const std::string value = equals == std::string::npos ? "" : decode(pair.substr(equals + 1));
        if (!parameters.emplace(decode(pair.substr(0, equals)), value).second)
            illegal(fmt::format("parameter [{}] is given twice", pair.substr(0, equals)));
    }
    return parameters;
}

Search readSearch(const std::string& index, std::string_view body, const Parameters& parameters,
                  const SearchSettings& settings) {
    Search s;
    s.index = index;
    const auto klass = settings.classOfIndex.find(index);
    if (klass == settings.classOfIndex.end())
        throw SearchError(404, "index_not_found_exception", fmt::format("no such index [{}]", index));
    s.klass = klass->second;
    checkParameters(parameters);

    std::vector<std::pair<std::string_view, std::string_view>> members;
    std::string timeout;
    if (body.find_first_not_of(" \t\r\n") != std::string_view::npos) {
        const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
        if (json.is_discarded()) unreadable("the body is not valid JSON");
        if (!json.is_object()) unreadable("the body must be a JSON object");
        for (const auto& [name, value] : json.items()) {
            if (!among(kHandedOn, name) && !among(kRead, name))
                unreadable(fmt::format("the search does not support the clause [{}]", name));
            if ((name == "query" || name == "post_filter") && (!value.is_object() || value.size() != 1))
                unreadable(fmt::format("[{}] must be an object with one kind of query", name));
            if (name == "from" || name == "size")
                (name == "from" ? s.from : s.size) =
                    readCount(name, value.is_number_integer() ? std::optional(value.get<std::int64_t>())
                                                              : std::nullopt);
            if (name == "timeout") {
                if (!value.is_string()) illegal("[timeout] must be text with a unit");
                timeout = value.get<std::string>();
            }
            if (name == "sort") s.sort = readSort(value);
        }
        members = net::jsonMembers(body);
        // A name written with escapes would pass the check above and be lost below.
        const bool plain = std::all_of(members.begin(), members.end(),
                                       [&](const auto& m) { return json.contains(std::string(m.first)); });
        if (members.size() != json.size() || !plain)
            unreadable("the body names a clause twice or with escapes");
    }
    for (const char* name : {"from", "size"})
        if (const auto given = parameters.find(name); given != parameters.end())
            (std::string_view(name) == "from" ? s.from : s.size) =
                readCount(name, wholeNumber(given->second));
    if (const auto given = parameters.find("timeout"); given != parameters.end()) timeout = given->second;
    if (!timeout.empty()) s.timeout = readTimeout(timeout);
    if (s.from + s.size > kMostResults)
        illegal(fmt::format("result window is too large, from + size must be {} or less", kMostResults));
    s.slices = readSlices(parameters, settings.slices);
    if (const auto routing = parameters.find("routing"); routing != parameters.end()) s.key = routing->second;

    // Any of the wanted hits may come from any one slice: each is asked for all of them.
    s.text = fmt::format(R"({{"from":0,"size":{})", s.from + s.size);
    bool totals = false;
    for (const auto& [name, value] : members) {
        totals = totals || name == "track_total_hits";
        if (among(kHandedOn, name)) s.text += fmt::format(R"(,"{}":{})", name, value);
    }
    if (const auto given = parameters.find("track_total_hits"); given != parameters.end() && !totals) {
        if (given->second != "true" && given->second != "false" && !wholeNumber(given->second))
            illegal("[track_total_hits] must be true, false or a whole number");
        s.text += fmt::format(R"(,"track_total_hits":{})", given->second);
    }
    s.text += '}';
    return s;
}

std::vector<Search> readMultiSearch(const std::string& index, std::string_view body,
                                    const Parameters& parameters, const SearchSettings& settings) {
    for (const auto& [name, value] : parameters)
        if (name != "pretty") illegal(fmt::format("request contains unsupported parameter: [{}]", name));
    if (body.empty() || body.back() != '\n')
        illegal("the msearch request must be terminated by a newline [\\n]");
    std::vector<std::string> lines = split(body, '\n');
    lines.pop_back();
    std::vector<Search> searches;
    if (lines.size() % 2 != 0) illegal("each search needs a line of header and a line of body");
    if (lines.empty() || lines.size() / 2 > kMostSearches)
        illegal(fmt::format("from 1 to {} searches may come in one request", kMostSearches));
    for (std::size_t i = 0; i < lines.size(); i += 2) {
        std::string named = index;
        Parameters own;
        if (lines[i].find_first_not_of(" \t\r") != std::string::npos) {
            const Json header = Json::parse(lines[i], nullptr, false);
            if (!header.is_object()) unreadable("the header of a search must be a JSON object");
            for (const auto& [name, value] : header.items()) {
                if (!value.is_string()) illegal(fmt::format("header [{}] must be text", name));
                if (name == "index")
                    named = value.get<std::string>();
                else if (name == "preference" || name == "routing" || name == "search_type")
                    own.emplace(name, value.get<std::string>());
                else
                    illegal(fmt::format("header [{}] is not supported", name));
            }
        }
        searches.push_back(readSearch(named, lines[i + 1], own, settings));
    }
    return searches;
}

}  // namespace beechpoint::frontend
