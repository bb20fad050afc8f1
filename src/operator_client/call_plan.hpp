/// Decides which control member an operator's call goes to next, and when the call is over. A state machine free of I/O; every event
/// brings the time (monotonic, milliseconds).
///
///   state     event                                        next
///   calling   2xx                                          over: done
///             307 to an address, two followed at most      calling there
///             4xx but 408 and 429                          over: refused
///             5xx, 408, 429, other answers, failure        calling the next member; after the last of them: waiting
///   waiting   backoff over                                 calling the first member again
///   any       too little time is left                      over: unreachable, or unknown where a change was sent
///
/// A change that got no clear answer is sent again unchanged: a member that applied it before answers 200.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::operator_client {

inline constexpr std::size_t kMaxMembers = 64;       ///< addresses to call
inline constexpr int kMaxRedirects = 2;              ///< followed in a row
inline constexpr Millis kShortestCall = 50;          ///< with less time left no call is made
inline constexpr Millis kCallTimeout = 2000;         ///< of one call, without its body
inline constexpr double kBodyBytesPerMillis = 1000;  ///< a body may take as long as this speed asks for
inline constexpr Millis kFirstBackoff = 100;  ///< after no member gave a clear answer; doubles each time
inline constexpr Millis kMaxBackoff = 1000;   ///< before jitter

enum class Ending {
    done,         ///< 2xx
    refused,      ///< a clear answer that the same call will get again
    unreachable,  ///< no clear answer, and nothing has changed
    unknown,      ///< no clear answer; the change may have been applied
};

/// Make the call there.
struct Send {
    std::string address;  ///< IP:PORT
    std::string target;   ///< path and query
    Millis timeout = 0;   ///< to the end of the answer
};

/// Call onBackoffOver() after so long.
struct Backoff {
    Millis length = 0;
};

struct Over {
    Ending ending = Ending::done;
};

using Step = std::variant<Send, Backoff, Over>;

class CallPlan {
public:
    struct Settings {
        std::vector<std::string> members;  ///< IP:PORT, in the order in which they are called
        std::string target;                ///< path and query
        bool changes = false;              ///< the call may change what the members store
        std::size_t bodyBytes = 0;
        Millis total = 10'000;  ///< for all calls and backoffs together
        std::uint64_t seed = 0;
    };

    CallPlan(Settings settings, Millis now);

    Step begin(Millis now);
    /// `location`: the header of that name; empty where there is none.
    Step onAnswer(Millis now, int status, std::string_view location);
    /// No answer. `sent`: some of the request may have reached the member.
    Step onFailure(Millis now, bool sent);
    Step onBackoffOver(Millis now);

private:
    Step call(Millis now, std::string address, std::string target);
    Step callMember(Millis now);
    Step callNext(Millis now);
    Step giveUp() const;
    Step follow(Millis now, std::string_view location);

    Settings settings_;
    SplitMix random_;
    Millis deadline_;
    Millis callTimeout_;
    Millis backoff_ = kFirstBackoff;
    std::size_t member_ = 0;
    int redirects_ = 0;
    bool maybeApplied_ = false;
};

/// "http://10.0.0.4:8080/path" apart; both empty where it is no such address.
struct Location {
    std::string address;
    std::string target;
};
[[nodiscard]] Location parseLocation(std::string_view location);

}  // namespace beechpoint::operator_client
