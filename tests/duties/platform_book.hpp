/// Model of the platform for the duty simulation: compares fencing tokens, keeps each accepted body, and records violations of rule ONE.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::duties {

class PlatformModel {
public:
    explicit PlatformModel(Millis leaseMs) : leaseMs_(leaseMs) {}

    /// Handles a call that arrives. Returns the HTTP status.
    int onCall(Millis now, const std::string& holder, std::uint64_t token, std::uint64_t number,
               const std::string& body);
    /// Records that a token was used, whether or not the call arrives.
    void onSent(const std::string& holder, std::uint64_t token);

    [[nodiscard]] const std::map<std::uint64_t, std::string>& accepted() const { return accepted_; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t duplicates() const { return duplicates_; }
    [[nodiscard]] std::size_t conflicts() const { return conflicts_; }
    [[nodiscard]] std::size_t holderChanges() const { return holderChanges_; }
    void addViolation(const std::string& what) { violations_.push_back(what); }

private:
    struct AcceptedCall {
        Millis at = 0;
        std::string holder;
    };
    void checkAlternation(Millis now, const std::string& holder);

    Millis leaseMs_;
    std::uint64_t highestToken_ = 0;
    std::map<std::uint64_t, std::string> holderByToken_;
    std::map<std::uint64_t, std::string> accepted_;
    std::vector<AcceptedCall> acceptedCalls_;
    std::vector<std::string> violations_;
    std::size_t duplicates_ = 0;
    std::size_t conflicts_ = 0;
    std::size_t holderChanges_ = 0;
};

}  // namespace beechpoint::duties
