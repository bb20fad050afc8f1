// The OpenSearch-style query API for clients.
#pragma once

#include <memory>
#include <random>

#include "core/exchange.hpp"
#include "frontend/search.hpp"
#include "net/server.hpp"

namespace beechpoint::frontend {

class OpenSearch {
public:
    OpenSearch(Exchange& exchange, const Clock& clock, Counters& counters, SearchSettings settings,
               std::uint64_t seed);
    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);

private:
    using Connection = std::shared_ptr<net::HttpConnection>;
    struct Multi;
    Ticket begin(const Search& search, const Connection& connection, Done done);
    void one(Search search, const Connection& connection);
    void many(std::vector<Search> searches, const Connection& connection);
    void refuse(const Connection& connection, const SearchError& error, const Final& final);

    Exchange& exchange_;
    const Clock& clock_;
    Counters& counters_;
    SearchSettings settings_;
    std::mt19937_64 random_;
};

}  // namespace beechpoint::frontend
