// Makes an operator's calls to the control members, one at a time, and waits for their end. What is asked of whom next is
// CallPlan's; this part has the sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "operator_client/call_plan.hpp"

namespace beechpoint::operator_client {

inline constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;  // a longer one counts as a failure

struct Call {
    std::string method;
    std::string target;  // path and query
    std::string body;
    std::optional<std::uint64_t> ifMatch;
    bool changes() const { return method != "GET"; }
};

struct Reply {
    Ending ending = Ending::unreachable;
    int status = 0;       // of the last whole answer; 0: none came
    std::string body;     // of that answer
    std::string address;  // of the member that gave it; without any, of the member asked last
};

class Client {
public:
    struct Settings {
        std::vector<std::string> members;  // IP:PORT
        Millis total = 10'000;             // for one perform()
        std::uint64_t seed = 0;            // of the backoffs' jitter
    };
    // A line for the operator on each call made and how it ended, without a line end.
    using Tell = std::function<void(std::string_view line)>;

    // `clock` must outlive it.
    Client(const Clock& clock, Settings settings, Tell tell);

    // Returns within about the total time, whatever the members do.
    Reply perform(const Call& call);

private:
    const Clock& clock_;
    Settings settings_;
    Tell tell_;
};

// The text with all that may not stand in a path or query encoded.
std::string percentEncoded(std::string_view text);

}  // namespace beechpoint::operator_client
