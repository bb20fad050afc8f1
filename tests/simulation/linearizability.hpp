// Whether a history of calls is linearizable: whether each call can be thought to take effect at one moment between its begin and its
// end so that all answers are those of a sequential specification.
//
// The search is that of Wing and Gong (1993) with the cache of (state, set of linearized calls) of Lowe (2017). It goes through the history
// by time and breadth first, with calls linearized only where the end of some call asks for it ("just in time"). What is kept at each moment
// is the set of distinct configurations: a state, and which of the open calls are not yet linearized. So a moment without open calls
// leaves nothing but the states that are possible there, and the work grows with the length of the history, not with its square.
//
// A call without an answer is open to the end: it takes effect once or never.
//
// A specification has the types State (==), Call and Answer, and
//   std::size_t hash(const State&)
//   std::optional<State> step(const State&, const Call&, const std::optional<Answer>&)   the state after the call; nothing where the
//                                                                                       call could not have got that answer there
//   bool cannotTakeEffect(const State&, const Call&)   a call without an answer can change nothing, in this state and in all that may follow
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::simulation {

template <class Specification>
struct Operation {
    typename Specification::Call call;
    std::optional<typename Specification::Answer> answer;  // nothing: the outcome is not known
    Millis invokedAt = 0;
    Millis returnedAt = 0;  // meaningless without an answer
};

enum class Verdict { linearizable, notLinearizable, undecided };

struct LinearizabilityResult {
    Verdict verdict = Verdict::linearizable;
    std::size_t operation = 0;       // by whose end no configuration was left, or the bound was reached
    std::size_t configurations = 0;  // examined, over the complete search
    std::size_t widest = 0;          // kept at one moment, at most
};

inline constexpr std::size_t kMaxConfigurations = 500'000;  // examined in one search

template <class Specification>
class LinearizabilityChecker {
public:
    using State = typename Specification::State;
    using Operations = std::vector<Operation<Specification>>;

    LinearizabilityChecker(const Specification& specification, const Operations& operations,
                           std::size_t bound = kMaxConfigurations)
        : specification_(specification), operations_(operations), bound_(bound) {}

    LinearizabilityResult check(State initial) {
        configurations_ = {Configuration{std::move(initial), {}}};
        for (const Event& event : events()) {
            if (!event.returns) {
                invoke(event.operation);
            } else if (!linearizeByReturn(event.operation)) {
                result_.operation = event.operation;
                return result_;
            }
            result_.widest = std::max(result_.widest, configurations_.size());
        }
        return result_;
    }

private:
    struct Event {
        Millis time = 0;
        bool returns = false;  // at one time, begins come before ends: the calls overlap
        std::size_t operation = 0;
    };
    struct Configuration {
        State state;
        std::vector<std::uint32_t> open;  // invoked and not linearized, by number
        bool operator==(const Configuration&) const = default;
    };
    struct Hash {
        const Specification* specification;
        std::size_t operator()(const Configuration& configuration) const {
            std::size_t hash = specification->hash(configuration.state);
            for (const std::uint32_t operation : configuration.open)
                hash = (hash ^ (operation + 1) * 0x9E3779B97F4A7C15ULL) * 1'099'511'628'211ULL;
            return hash ^ (hash >> 29);
        }
    };
    using Cache = std::unordered_set<Configuration, Hash>;

    std::vector<Event> events() const {
        std::vector<Event> events;
        for (std::size_t index = 0; index < operations_.size(); ++index) {
            events.push_back({operations_[index].invokedAt, false, index});
            if (operations_[index].answer) events.push_back({operations_[index].returnedAt, true, index});
        }
        std::stable_sort(events.begin(), events.end(), [](const Event& one, const Event& other) {
            return one.time != other.time ? one.time < other.time : one.returns < other.returns;
        });
        return events;
    }

    void invoke(std::size_t operation) {
        for (Configuration& configuration : configurations_)
            configuration.open.push_back(static_cast<std::uint32_t>(operation));
    }

    // Keeps the configurations in which the call is linearized, after those calls that had to be linearized before it.
    bool linearizeByReturn(std::size_t operation) {
        Cache seen(configurations_.size(), Hash{&specification_});
        std::vector<Configuration> pending = std::move(configurations_);
        std::vector<Configuration> linearizedConfigurations;
        while (!pending.empty()) {
            const Configuration configuration = std::move(pending.back());
            pending.pop_back();
            if (!seen.insert(configuration).second) continue;
            if (++result_.configurations > bound_) {
                result_.verdict = Verdict::undecided;
                return false;
            }
            if (isOpen(configuration, operation))
                expand(configuration, pending);
            else
                linearizedConfigurations.push_back(configuration);
        }
        configurations_ = std::move(linearizedConfigurations);
        if (configurations_.empty()) result_.verdict = Verdict::notLinearizable;
        return !configurations_.empty();
    }

    void expand(const Configuration& configuration, std::vector<Configuration>& next) const {
        for (const std::uint32_t operation : configuration.open) {
            const auto& linearized = operations_[operation];
            auto state = specification_.step(configuration.state, linearized.call, linearized.answer);
            if (!state) continue;
            Configuration after{std::move(*state), configuration.open};
            std::erase_if(after.open, [&](std::uint32_t other) {
                return other == operation || cannotTakeEffect(after.state, operations_[other]);
            });
            next.push_back(std::move(after));
        }
    }

    bool cannotTakeEffect(const State& state, const Operation<Specification>& operation) const {
        return !operation.answer && specification_.cannotTakeEffect(state, operation.call);
    }

    static bool isOpen(const Configuration& configuration, std::size_t operation) {
        return std::find(configuration.open.begin(), configuration.open.end(), operation) !=
               configuration.open.end();
    }

    const Specification& specification_;
    const Operations& operations_;
    const std::size_t bound_;
    std::vector<Configuration> configurations_;
    LinearizabilityResult result_;
};

}  // namespace beechpoint::simulation
