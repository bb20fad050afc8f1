// What was done to a system during a soak, as far as the checks need it: who held which key, and which process was disrupted. Values
// without I/O. Times are in milliseconds since 1970; an end that has not come is kNever.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::system_test {

inline constexpr Millis kNever = std::numeric_limits<double>::infinity();

struct Period {
    Millis from = 0;
    Millis to = kNever;
    bool overlaps(Millis otherFrom, Millis otherTo) const { return from <= otherTo && otherFrom <= to; }
};

// Who holds each key. Between the first call of a change and its acknowledgement both the old and the new holder count.
class KeyHistory {
public:
    // `tenant` empty: nobody holds it from then on.
    void begin(const std::string& key, const std::string& tenant, Millis at);
    void acknowledge(const std::string& key, Millis at);

    // Whether the tenant held the key at some time of the period. Empty tenant: whether nobody did.
    bool held(const std::string& key, const std::string& tenant, const Period& period) const;

private:
    struct Holding {
        std::string tenant;
        Period period;
    };
    std::map<std::string, std::vector<Holding>> holdings_;
};

enum class Disruption { stopped, killed, terminated };

// When processes were disrupted, by name of the process.
class DisruptionHistory {
public:
    void begin(const std::string& process, Disruption kind, Millis at);
    // Of the newest disruption of the process that has not ended.
    void end(const std::string& process, Millis at);

    bool any(const std::string& process, const Period& period) const;
    bool any(const std::string& process, Disruption kind, const Period& period) const;
    // How many of the processes whose names begin so were disrupted within the period.
    std::size_t count(const std::string& prefix, const Period& period) const;

private:
    struct Entry {
        Disruption kind;
        Period period;
    };
    std::map<std::string, std::vector<Entry>> entries_;
};

}  // namespace beechpoint::system_test
