/// The platform as the duty simulation plays it: compares fencing tokens, keeps each accepted body, and notes what breaks rule ONE.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::duties {

class PlatformBook {
public:
    explicit PlatformBook(Millis leaseMs) : leaseMs_(leaseMs) {}

    /// A call arrives. Returns the status.
    int onCall(Millis now, const std::string& holder, std::uint64_t token, std::uint64_t number,
               const std::string& body);
    /// Whether or not a call arrives, its token has been used.
    void onSent(const std::string& holder, std::uint64_t token);

    [[nodiscard]] const std::map<std::uint64_t, std::string>& accepted() const { return accepted_; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t repeats() const { return repeats_; }
    [[nodiscard]] std::size_t conflicts() const { return conflicts_; }
    [[nodiscard]] std::size_t holderChanges() const { return holderChanges_; }
    void violate(const std::string& what) { violations_.push_back(what); }

private:
    struct Act {
        Millis at = 0;
        std::string holder;
    };
    void checkTurns(Millis now, const std::string& holder);

    Millis leaseMs_;
    std::uint64_t highestToken_ = 0;
    std::map<std::uint64_t, std::string> holderOfToken_;
    std::map<std::uint64_t, std::string> accepted_;
    std::vector<Act> acts_;
    std::vector<std::string> violations_;
    std::size_t repeats_ = 0;
    std::size_t conflicts_ = 0;
    std::size_t holderChanges_ = 0;
};

}  // namespace beechpoint::duties
