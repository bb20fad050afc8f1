// An operator of the tests: sends numbered configurations as the program's own client does, and keeps how each call ended.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "operator_client/client.hpp"
#include "system.hpp"

namespace beechpoint::system_test {

struct Outcome {
    operator_client::Reply reply;
    Millis took = 0;
    bool taken() const { return reply.ending == operator_client::Ending::done; }
    bool refused() const { return reply.ending == operator_client::Ending::refused; }
    std::string text() const;
};

class Operator {
public:
    explicit Operator(const System& system, std::string author = "first", std::uint64_t seed = 1);

    // The whole configuration of that revision, built on the one before, offered to these members in turn until the answer is clear.
    Outcome put(std::uint64_t revision, const Members& members, Millis most = kConditionMost);
    // Any call, with the same client.
    Outcome send(operator_client::Call call, const Members& members, Millis most = kConditionMost) {
        return perform(std::move(call), members, most);
    }
    Outcome read(const Members& members, Millis most = kConditionMost);
    Outcome evacuate(const std::string& zone, bool back, const Members& members,
                     Millis most = kConditionMost);

private:
    Outcome perform(operator_client::Call call, const Members& members, Millis most);

    const System& system_;
    std::string author_;
    std::uint64_t seed_;
};

// The revision in an answer's body; 0: none.
std::uint64_t revisionOf(const std::string& body);

}  // namespace beechpoint::system_test
