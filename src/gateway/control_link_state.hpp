/// Decides for a gateway's link to the control members: which member to poll, when, how long to wait for the reply, when to go
/// elsewhere. A state machine free of I/O and clock: events come with the time, a poll to send comes back, wakeAt() says when the
/// next timer is due. Not thread-safe.
///
///   order of the members   those of the gateway's own region, then the others, then seeds that are no members; within each by
///                          rendezvous hashing of the gateway's name, so that gateways spread evenly
///   member that answers    polled again after kSpacing, as a long poll of up to kWait; where it has more than it sends now it says
///                          after how long the gateway is to poll again (PollReply::retryAfterMs), which is spread by jitter
///   no answer, or refused  the next member, after a backoff with jitter that doubles with each round of all members
///   nothing but time-outs  the time-out for a member that has not answered yet doubles with each round of unresponsive members, up
///                          to kFirstTimeoutMost: an answer that is slow because all gateways ask at once is not given up and begun
///                          again for ever. A refusal shows that members have time to answer, and ends the growth: members that are
///                          lost for good must not be waited for longer and longer
///   no failure for long    back to the first of the order
///   refused                the members that the refusal names are asked too, as long as no member with a fresh table has named any:
///                          seeds that are all cut off from the majority may know members that are not
///   another cluster        a reply of a cluster other than that of the gateway's table counts as no reply
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control_messages/messages.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::gateway {

/// A poll to be sent now; those before it are given up.
struct LinkCall {
    std::uint64_t number = 0;
    std::string address;
    Millis waitMs = 0;   ///< long poll: the member may answer up to so much later; 0: at once
    Millis timeout = 0;  ///< from now
};

enum class ReplyVerdict {
    accepted,
    refused,       ///< the member's table isn't fresh, or it has no room
    otherCluster,  ///< the member is one of another cluster
};

class ControlLinkState {
public:
    static constexpr Millis kWait = 1000;        ///< a member that has nothing new answers after so long
    static constexpr Millis kAnswerSlack = 500;  ///< beyond kWait, before another member is asked
    static constexpr Millis kFirstTimeout =
        600;  ///< for a member that has not answered before: it is asked not to wait
    static constexpr Millis kFirstTimeoutMost = 2400;
    static constexpr Millis kSpacing =
        20;  ///< between reply and poll: changes that come together travel together
    static constexpr Millis kRetryFirst =
        60;  ///< backoff after a failure; doubles with each further round of all members
    static constexpr Millis kRetryMost = 800;
    static constexpr Millis kMaxRetryAfter = 1500;  ///< a member's retryAfterMs counts up to this
    static constexpr Millis kReturnAfter = 5000;    ///< without a failure: to the first member of the order

    /// `name`: of this gateway. `seed`: of the jitter.
    ControlLinkState(std::string name, std::uint64_t seed);

    /// This gateway's region; empty: not known, all members are alike.
    void region(std::string region);
    /// Internal addresses (IP:PORT) of the seed nodes; may change at any time.
    void seeds(std::vector<std::string> addresses);

    std::optional<LinkCall> start(Millis now);
    /// Polls again at once, giving up the poll that is out.
    std::optional<LinkCall> pollNow(Millis now);
    std::optional<LinkCall> onTimer(Millis now);
    void stop();

    /// Cluster of the gateway's table; 0: not known, any is accepted.
    void clusterId(std::uint64_t id) { clusterId_ = id; }

    /// A reply. Of one to a poll that was given up only the members are taken. Its state may be used only where it is accepted.
    ReplyVerdict onReply(Millis now, std::uint64_t number, const control::PollReply& reply);
    /// No reply, or one that can't be read.
    void onFailure(Millis now, std::uint64_t number);

    [[nodiscard]] bool running() const { return running_; }
    /// When onTimer() is to be called; nothing: a poll is out, or it is stopped.
    [[nodiscard]] std::optional<Millis> wakeAt() const { return wakeAt_; }
    /// When the last reply of a member whose table is fresh came; 0: never.
    [[nodiscard]] Millis heardAt() const { return heardAt_; }

private:
    std::optional<LinkCall> poll(Millis now);
    void onAnswer(Millis now, std::uint64_t number, const control::PollReply& reply);
    void onRefusal(Millis now, std::uint64_t number, const control::PollReply& reply);
    void learnMembers(const control::PollReply& reply);
    void orderMembers();
    int distanceOf(const std::string& address) const;
    std::string nextAddress() const;
    std::size_t roundsOf(std::size_t failures) const;  // of all members

    struct Member {
        std::string address;
        std::string region;  // empty: not known
        bool operator==(const Member&) const = default;
    };

    SplitMix random_;
    std::string name_, region_;
    std::vector<std::string> seeds_;
    std::vector<Member> members_;
    bool membersAreFresh_ = false;  // a member with a fresh table has named them
    std::uint64_t clusterId_ = 0;
    std::vector<std::string> order_;  // of all of them
    std::size_t turn_ = 0;            // index in the order, modulo its size
    std::string polled_;              // the member whose answer is awaited
    Millis answerDueAt_ = 0;          // when its time-out ends
    std::string current_;             // the member that answered last
    Millis failedAt_ = 0;             // when a member last failed to answer
    std::size_t failures_ = 0;        // in a row
    std::size_t timeouts_ = 0;        // time-outs in a row, without a refusal between them
    std::uint64_t asked_ = 0;         // number of the last poll; earlier ones are given up
    std::optional<Millis> wakeAt_;
    bool running_ = false;
    Millis heardAt_ = 0;
};

}  // namespace beechpoint::gateway
