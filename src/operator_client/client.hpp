/// Makes an operator's calls to the control members, one at a time, and waits for their end. CallPlan decides which member is called
/// next, CallRun has the sockets.
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

inline constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;  ///< a longer one counts as a failure

/// A call to whichever member answers it.
struct Call {
    std::string method;
    std::string target;  ///< path and query
    std::string body;
    std::optional<std::uint64_t> ifMatch;
    /// Whether it may change what the members store.
    [[nodiscard]] bool changes() const { return method != "GET"; }
};

struct Reply {
    Ending ending = Ending::unreachable;
    int status = 0;       ///< of the last complete answer; 0: none came
    std::string body;     ///< of that answer
    std::string address;  ///< of the member that gave it; without any, of the member called last
};

class Client {
public:
    struct Settings {
        std::vector<std::string> members;  ///< IP:PORT
        Millis total = 10'000;             ///< for one perform()
        std::uint64_t seed = 0;            ///< of the backoffs' jitter
    };
    /// Called with a line for the operator on each call made and how it ended, without a line end.
    using Report = std::function<void(std::string_view line)>;

    /// `clock` must outlive it.
    Client(const Clock& clock, Settings settings, Report report);

    /// Blocks for about the total time at most, whatever the members do.
    [[nodiscard]] Reply perform(const Call& call);

private:
    const Clock& clock_;
    Settings settings_;
    Report report_;
};

/// The text with all bytes percent-encoded that may not stand in a path or query (RFC 3986, 2.1).
[[nodiscard]] std::string percentEncoded(std::string_view text);

}  // namespace beechpoint::operator_client
