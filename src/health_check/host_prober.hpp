// One prober for track hosts that all avoid: the holder of a duty looks at a dead host, the others take its word for a
// while in place of looking themselves, each anew. A state machine: (now, event) in, messages out; no I/O, clock, socket.
// It decides about looks alone. Whether a host is used is the module's to judge (coordinator::Coordinator), by each look's end
// as ever; here the end of some looks is another's word, which is never more than `word` old.
//
// | a look is wanted, and       | done                                                                          |
// | nobody else has the duty    | one looks oneself, as without it                                              |
// | no word, or an old one      | one looks oneself, and asks the holder                                        |
// | the word is: it is there    | one looks oneself, at once: the own look decides                              |
// | the word is: it is away     | taken for the look's end; asked anew once half its time is over; but one look |
// |                             | in each `own` is one's own, whatever the word                                 |
//
// What a holder that lies or errs can do: keep others from seeing that a host is back for `own` at the most, and it can
// make no host that answers look dead, since only hosts that one avoids already are looked at. A holder that is stopped,
// killed or cut off: its last word ends after `word`, and all look themselves.
//
// A holder says only what it saw itself, by looks that its own module wanted; it looks at nothing for others.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::health_check {

inline constexpr std::size_t kMostHost = 64;    // bytes of a track host's id in a message
inline constexpr std::size_t kMostHosts = 512;  // remembered; the one not wanted for longest goes first

struct Ask {
    std::string host;
    std::uint64_t number = 0;
};
struct Word {
    std::string host;
    std::uint64_t number = 0;  // as asked
    bool there = false;
    std::uint32_t ageMs = 0;
};
using Body = std::variant<Ask, Word>;
struct Message {
    std::string from, to;
    Body body;
};

struct HostProberOptions {
    Millis word = 2000;  // that a word holds, from the look it tells of
    Millis own = 5000;   // in each of these one look is one's own
    Millis again = 400;  // between askings about one host
};

enum class Advice { look, away };

class HostProber {
public:
    HostProber(HostProberOptions options, std::string self) : options_(options), self_(std::move(self)) {}

    // A look at the host is wanted. `holder`: who has the duty as far as this member knows; empty: nobody, or itself.
    Advice wanted(Millis now, const std::string& host, const std::string& holder, std::vector<Message>& out);
    // An own look ended.
    void saw(Millis now, const std::string& host, bool there);
    // `holds`: this member may act on the duty at this moment; only then does it answer.
    void receive(Millis now, const Message& message, bool holds, std::vector<Message>& out);

    std::uint64_t spared() const { return spared_; }
    std::uint64_t evicted() const { return evicted_; }
    std::size_t hosts() const { return hosts_.size(); }

private:
    struct Host {
        Millis wantedAt = 0;
        Millis sawAt = -1e300;  // oneself
        bool there = false;
        Millis wordAt = -1e300;  // the look's moment that the word tells of, at the latest
        bool wordThere = false;
        Millis askedAt = -1e300;
        std::uint64_t asked = 0;
        std::string by;  // whom
    };
    Host& at(Millis now, const std::string& host);
    HostProberOptions options_;
    std::string self_;
    std::map<std::string, Host> hosts_;
    std::uint64_t number_ = 0, spared_ = 0, evicted_ = 0;
};

}  // namespace beechpoint::health_check
