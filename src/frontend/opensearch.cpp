#include "frontend/opensearch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace beechpoint::frontend {

namespace {

constexpr std::string_view kJson = "application/json; charset=UTF-8";

// Whole seconds, as clients of this API read them; at least one.
std::string retryAfter(Millis ms) {
    return fmt::format("Retry-After: {}\r\n", std::max(1LL, static_cast<long long>(std::ceil(ms / 1000))));
}

SearchError methodError(std::string_view method) {
    return {405, "method_not_allowed_exception", fmt::format("method [{}] is not allowed here", method)};
}

}  // namespace

// An _msearch on its way: answered once its last search has ended.
struct OpenSearch::Multi {
    std::vector<std::string> bodies;
    std::vector<Ticket> tickets;
    std::vector<std::function<void()>> handedOver;  // of each search
    std::size_t left = 0;
    Millis began = 0;
};

OpenSearch::OpenSearch(Exchange& exchange, const Clock& clock, Counters& counters, SearchSettings settings,
                       std::uint64_t seed)
    : exchange_(exchange),
      clock_(clock),
      counters_(counters),
      settings_(std::move(settings)),
      random_(seed) {}

void OpenSearch::handle(const net::HttpMessage& m, const Connection& connection) {
    const std::string_view path = m.path().substr(m.path().starts_with('/') ? 1 : 0);
    const auto slash = path.find('/');
    const std::string_view what = slash == std::string_view::npos ? path : path.substr(slash + 1);
    const std::string index(slash == std::string_view::npos ? std::string_view{} : path.substr(0, slash));
    try {
        const bool search = what == "_search" && !index.empty(), multi = what == "_msearch";
        if (!search && !multi)
            throw SearchError(404, "resource_not_found_exception", fmt::format("no handler for [{}]", path));
        if (m.method != "GET" && m.method != "POST") throw methodError(m.method);
        const Parameters parameters = readParameters(m.query());
        // All is read before anything is sent: a malformed request is refused, not half answered.
        if (multi) return many(readMultiSearch(index, m.body, parameters, settings_), connection);
        one(readSearch(index, m.body, parameters, settings_), connection);
    } catch (const SearchError& e) {
        counters_.add(Counter::badRequests);
        connection->respond(e.status, kJson, searchErrorBody(e),
                            e.status == 405 ? "Allow: GET, POST\r\n" : "");
    }
}

Ticket OpenSearch::begin(const Search& s, const Connection& connection, Done done) {
    const auto klass = std::find_if(exchange_.settings().classes.begin(), exchange_.settings().classes.end(),
                                    [&](const auto& c) { return c.name == s.klass; });
    const Millis deadline = fromNanos(klass->deadline);
    Request r;
    r.id = fmt::format("{:016x}", random_());
    r.klass = s.klass;
    r.key = s.key;
    // A client's time-out may shorten the class's deadline, never lengthen it.
    r.expires = clock_.now() + (s.timeout > 0 ? std::min(s.timeout, deadline) : deadline);
    for (const int slice : s.slices) r.parts.push_back({slice, 1.0 / static_cast<double>(s.slices.size())});
    r.text = s.text;
    return exchange_.take(std::move(r), std::move(done), [connection] { return connection->left(); });
}

// By the figures a search that was not answered whole has failed, unless it was refused.
void OpenSearch::refuse(const Connection& connection, const SearchError& error, const Final& final) {
    const bool refused = final.kind == Final::Kind::refused;
    connection->respond(error.status, kJson, searchErrorBody(error),
                        error.status == 429 ? retryAfter(final.retryAfter) : std::string(),
                        Figures::ending(final.place, refused ? Figures::End::refused : Figures::End::failed));
}

void OpenSearch::one(Search search, const Connection& connection) {
    const Millis began = clock_.now();
    const Ticket ticket = begin(search, connection, [this, search, connection, began](const Final& final) {
        if (final.kind != Final::Kind::answered || !final.whole)
            return refuse(connection, errorOf(final), final);
        try {
            connection->respond(200, kJson, mergedBody(search, final, clock_.now() - began), {},
                                final.handedOver());
        } catch (const SearchError& e) {
            refuse(connection, e, final);
        }
    });
    if (ticket != 0) connection->whenGone([this, ticket] { exchange_.gone(ticket); });
}

void OpenSearch::many(std::vector<Search> searches, const Connection& connection) {
    const auto multi = std::make_shared<Multi>();
    multi->bodies.resize(searches.size());
    multi->left = searches.size();
    multi->began = clock_.now();
    for (std::size_t i = 0; i < searches.size(); ++i) {
        const Search search = searches[i];
        multi->tickets.push_back(
            begin(search, connection, [this, search, multi, connection, i](const Final& final) {
                multi->handedOver.push_back(final.handedOver());
                try {
                    if (final.kind != Final::Kind::answered || !final.whole) throw errorOf(final);
                    std::string body = mergedBody(search, final, clock_.now() - multi->began);
                    multi->bodies[i] = body.substr(0, body.size() - 1) + R"(,"status":200})";
                } catch (const SearchError& e) {
                    multi->bodies[i] = searchErrorBody(e);
                }
                if (--multi->left > 0) return;
                std::string all = fmt::format(R"({{"took":{},"responses":[)",
                                              static_cast<long long>(clock_.now() - multi->began));
                for (std::size_t k = 0; k < multi->bodies.size(); ++k)
                    all.append(k > 0 ? "," : "").append(multi->bodies[k]);
                connection->respond(200, kJson, all + "]}", {}, [multi] {
                    for (const auto& handedOver : multi->handedOver)
                        if (handedOver) handedOver();
                });
            }));
    }
    connection->whenGone([this, multi] {
        for (const Ticket ticket : multi->tickets) exchange_.gone(ticket);
    });
}

}  // namespace beechpoint::frontend
