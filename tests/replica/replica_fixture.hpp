// Fixture with one replica; the test controls the other members, the disk and the clock.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "replica/replica.hpp"

namespace beechpoint::replica {

inline constexpr Millis kBegin = 1'000'000;

inline Member memberOf(const std::string& name) {
    const std::string address = "10.0.0." + std::to_string(name.front() - 'a' + 1);
    return {name,          static_cast<std::uint64_t>(name.front()), 1, address + ":7660", address + ":8146",
            "zone-" + name};
}

// The replica "b"; the test controls the other members and the disk.
class ReplicaTest : public ::testing::Test {
protected:
    void startWith(DurableState state, bool bootstrap = false,
                   std::vector<std::string> seeds = {memberOf("a").controlAddress,
                                                     memberOf("b").controlAddress,
                                                     memberOf("c").controlAddress}) {
        Settings settings;
        settings.self = memberOf("b");
        settings.seeds = std::move(seeds);
        settings.bootstrap = bootstrap;
        settings.tolerance = tolerance_;
        replica_ = std::make_unique<Replica>(settings, std::move(state), ++seed_, now_);
        handle(Tick{});
    }

    // A disk that was used in epoch 1.
    static DurableState usedDisk() {
        DurableState state;
        state.control.incarnation = memberOf("b").incarnation;
        state.syncedEpoch = 1;
        state.table = {{"k", "0"}};
        state.position = {1, 3};
        return state;
    }

    // A replica in the view of epoch 2 at this index of the chain, with the starting state stored.
    void enterView(std::size_t index, Position start = {1, 3}, bool store = true) {
        View view{2, {memberOf("a"), memberOf("c")}, start};
        view.members.insert(view.members.begin() + static_cast<std::ptrdiff_t>(index), replica_->self());
        receive("a", Decided{view}, 2);
        if (store) storeAllPersists();
    }

    void enterInstalled(std::size_t index) {
        startWith(usedDisk());
        enterView(index);
        if (index > 0) receive(predecessorOf(index), Propose{true, {}, {{1, 3}, {}}});
        if (index < 2) receive(successorOf(index), Commit{{1, 3}});
    }
    static std::string predecessorOf(std::size_t index) { return index == 1 ? "a" : "c"; }
    static std::string successorOf(std::size_t index) { return index == 0 ? "a" : "c"; }

    void handle(const Event& event) {
        std::vector<Action> actions;
        replica_->handle(now_, event, actions);
        for (Action& action : actions) {
            if (const auto* persist = std::get_if<Persist>(&action)) persists_.push_back(*persist);
            actions_.push_back(std::move(action));
        }
    }
    void receive(const std::string& from, Body body, std::uint64_t epoch = 2) {
        handle(MessageReceived{Message{memberOf(from), epoch, std::move(body)}});
    }
    void storeNextPersist(bool works = true) {
        ASSERT_FALSE(persists_.empty());
        const std::uint64_t token = persists_.front().token;
        persists_.erase(persists_.begin());
        if (works)
            handle(Persisted{token});
        else
            handle(PersistFailed{token, "full"});
    }
    void storeAllPersists(bool works = true) {
        for (int count = 0; count < 20 && !persists_.empty(); ++count) storeNextPersist(works);
    }
    void failAllPersists() { storeAllPersists(false); }
    // Answers all unanswered heartbeats on behalf of these members, then clears the actions.
    void answerHeartbeats(const std::vector<std::string>& members, Status status = {},
                          std::uint64_t epoch = 2) {
        const std::vector<Action> sent = std::exchange(actions_, {});
        for (const Action& action : sent) {
            const auto* send = std::get_if<Send>(&action);
            if (!send) continue;
            const auto* heartbeat = std::get_if<Heartbeat>(&send->message.body);
            if (!heartbeat) continue;
            for (const std::string& name : members)
                if (memberOf(name).internalAddress == send->address)
                    receive(name,
                            HeartbeatReply{heartbeat->sequence, heartbeat->sentAt, send->message.from.session,
                                           status},
                            epoch);
        }
    }
    void advanceTime(Millis span) {
        const Millis end = now_ + span;
        while (now_ < end) {
            now_ = std::min(end, now_ + 50);
            handle(Tick{});
        }
    }

    template <class Kind>
    std::size_t countSent(const std::string& to = {}) const {
        return static_cast<std::size_t>(std::ranges::count_if(actions_, [&](const Action& action) {
            const auto* send = std::get_if<Send>(&action);
            return send && std::holds_alternative<Kind>(send->message.body) &&
                   (to.empty() || send->address == memberOf(to).internalAddress);
        }));
    }
    template <class Kind>
    const Kind* last() const {
        const Kind* found = nullptr;
        for (const Action& action : actions_) {
            if constexpr (std::is_constructible_v<Body, Kind>) {
                const auto* send = std::get_if<Send>(&action);
                if (send && std::holds_alternative<Kind>(send->message.body))
                    found = &std::get<Kind>(send->message.body);
            } else if (const auto* one = std::get_if<Kind>(&action)) {
                found = one;
            }
        }
        return found;
    }
    void clearActions() { actions_.clear(); }

    Prepare prepareFor(std::uint64_t round, bool observedDirectly = true) const {
        return Prepare{ProposalNumber{round, "a", 1}, replica_->view(), {}, observedDirectly};
    }

    Tolerance tolerance_{1, 1};
    Millis now_ = kBegin;
    std::uint64_t seed_ = 0;
    std::unique_ptr<Replica> replica_;
    std::vector<Action> actions_;
    std::vector<Persist> persists_;
};

inline const Batch kBatch{{2, 4}, {{"k", "1"}}};
inline const Propose kPropose{false, {1, 3}, kBatch};

}  // namespace beechpoint::replica
