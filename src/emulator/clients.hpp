// The clients and the front before the gatherers, free of I/O: an open-loop load (arrivals do not wait for
// answers), classes and keys, tries that are given up, and clients that try once more. It decides nothing
// about hosts. Times must not go back.
//
// | try      | answered | refused, failed       | its time is up            | its gatherer died   |
// | out      | over     | over; perhaps again   | given up; perhaps again   | over; perhaps again |
// | over     | counted: a second answer is the rules checker's business                           |
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/random.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

struct TryPart {
    int slice = 0;
    double share = 0;
};

// One request, as a gatherer gets it. Numbers start at 1 and are never used twice.
struct Try {
    std::uint64_t number = 0;
    std::uint64_t query = 0;  // its index among the run's queries
    int gatherer = 0;
    int klass = 0;
    bool repeat = false;
    std::string key;
    Millis sentAt = 0;
    Millis expires = 0;
    std::vector<TryPart> parts;
    std::string id() const;  // on the wire
};
using TryPtr = std::shared_ptr<const Try>;
// The number in an id; 0: none of ours.
std::uint64_t tryNumber(std::string_view id);

enum class Result { open, inAim, late, refused, failed };  // what became of a query

struct QueryRecord {
    Millis at = 0;
    int klass = 0;
    int site = 0;
    std::uint64_t key = 0;
    int tries = 0;
    Result result = Result::open;
    Millis took = 0;    // to its last outcome
    double earned = 0;  // share of its worth
};

enum class TryEnd { answered, refused, failed };

struct ClientActions {
    std::vector<TryPtr> sent;  // to a gatherer now
    std::vector<TryPtr> left;  // their clients have gone
};

class ClientDesk {
public:
    ClientDesk(const Scenario& scenario, std::uint64_t seed);

    Millis next() const;  // 1e300: none
    void advance(Millis now, ClientActions& out);
    // A try's final answer has come. False: it was over already.
    // `share`: of its weight that the answer held.
    bool ended(Millis now, std::uint64_t number, TryEnd end, Millis retryAfter, double share = 1);
    // Its gatherer's process died, or took no connection.
    void lost(Millis now, std::uint64_t number);
    void lostAt(Millis now, int gatherer);  // all that are out there
    // The front hears that a gatherer runs at once, that it died some seconds late.
    void gathererUp(int gatherer);
    void gathererDown(Millis now, int gatherer);
    void gathererLeaves(int gatherer);  // it told the front itself that it stops

    TryPtr find(std::uint64_t number) const;  // while it is out
    std::size_t out() const { return out_.size(); }
    const std::vector<QueryRecord>& queries() const { return queries_; }
    std::vector<TryPart> partsOf(std::uint64_t query) const;
    // The work of a part, before what makes a query costly.
    Millis work(std::uint64_t query, int slice) const;
    double unitOf(std::uint64_t query, Purpose purpose) const;

private:
    void planArrivals();
    void send(Millis now, std::uint64_t query, bool repeat, ClientActions& out);
    void over(Millis now, const Try& t, Result result, Millis earliest);
    int pick(int site);

    const Scenario& scenario_;
    std::uint64_t seed_;
    std::vector<QueryRecord> queries_;  // in the order of their arrival
    std::size_t nextQuery_ = 0;
    std::uint64_t lastTry_ = 0;
    std::map<std::uint64_t, TryPtr> out_;
    std::set<std::pair<Millis, std::uint64_t>> expiries_;  // of tries
    std::set<std::pair<Millis, std::uint64_t>> retries_;   // of queries
    std::set<std::pair<Millis, int>> notices_;             // of gatherers that died
    std::vector<bool> known_;                              // up, for all the front knows
    std::vector<int> turn_;                                // by site
    std::uint64_t deaths_ = 0;
};

}  // namespace beechpoint::emulator
