/// Collects the actions of one event and stores the completions of outstanding Persist actions.
///
/// All components of a replica append their actions here, in order. `begin` sets the output list for the current event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "replica/events.hpp"
#include "replica/membership.hpp"

namespace beechpoint::replica {

class Outbox {
public:
    using Completion = std::function<void(Millis now, bool stored)>;

    explicit Outbox(const Membership& membership) : membership_(membership) {}

    void begin(Millis now, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
    }

    /// A message to this process's own address is returned by takeLocalMessage().
    void send(const std::string& address, Body body) {
        Message message{membership_.self, membership_.view.epoch, std::move(body)};
        if (address == membership_.self.internalAddress)
            local_.push_back(std::move(message));
        else
            emit(Send{address, std::move(message)});
    }

    /// The completion runs once the driver has answered, in call order.
    void persist(DurableUpdate update, Completion completion) {
        const std::uint64_t token = ++lastToken_;
        outstanding_.push_back({token, now_, std::move(completion)});
        emit(Persist{token, std::move(update)});
    }

    void emit(Action action) {
        if (actions_) actions_->push_back(std::move(action));
    }

    void log(std::string text) { emit(Log{std::move(text)}); }

    /// Runs the completion of this token; unknown tokens are ignored.
    void complete(Millis now, std::uint64_t token, bool stored) {
        for (auto entry = outstanding_.begin(); entry != outstanding_.end(); ++entry) {
            if (entry->token != token) continue;
            const Completion completion = std::move(entry->completion);
            outstanding_.erase(entry);
            completion(now, stored);
            return;
        }
    }

    std::optional<Message> takeLocalMessage() {
        if (local_.empty()) return std::nullopt;
        Message message = std::move(local_.front());
        local_.pop_front();
        return message;
    }

    /// Number of updates that the disk has not answered.
    std::size_t outstanding() const { return outstanding_.size(); }
    bool isCongested() const { return outstanding_.size() >= kMaxPendingPersists; }
    /// Whether the oldest update has been outstanding for longer than kDiskWriteTimeout.
    bool isStuck(Millis now) const {
        return !outstanding_.empty() && now - outstanding_.front().issuedAt > kDiskWriteTimeout;
    }

private:
    struct Outstanding {
        std::uint64_t token;
        Millis issuedAt;
        Completion completion;
    };

    const Membership& membership_;
    std::vector<Action>* actions_ = nullptr;
    Millis now_ = 0;
    std::uint64_t lastToken_ = 0;
    std::deque<Outstanding> outstanding_;
    std::deque<Message> local_;
};

}  // namespace beechpoint::replica
