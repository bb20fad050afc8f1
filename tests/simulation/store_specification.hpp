/// What an operator may expect of the configuration, as a sequential machine: a register of (revision, document) with changes by If-Match,
/// calls that are recognized when they are sent again unchanged, and the set of evacuated zones. It is written from the rules of the API and
/// shares no code with src/configuration.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "linearizability.hpp"

namespace beechpoint::simulation {

inline constexpr std::size_t kDocumentItems = 6;

// The configuration as far as the runs change it: one number for each of a few routes.
using Document = std::array<std::uint32_t, kDocumentItems>;

enum class StoreCallKind { read, put, patch, evacuate, cancelEvacuation };

struct StoreCall {
    StoreCallKind kind = StoreCallKind::read;
    std::uint64_t ifMatch = 0;
    std::uint64_t revision = 0;  // that the change is to get
    Document document{};         // of put; of patch the value at `item`
    std::size_t item = 0;
    std::size_t zone = 0;
    std::uint64_t identity = 0;  // equal for calls that are equal byte by byte; 0: there is no second one
    bool changes() const { return kind != StoreCallKind::read; }
    bool versioned() const { return kind == StoreCallKind::put || kind == StoreCallKind::patch; }
};

enum class StoreAnswerKind {
    done,      // 200
    conflict,  // 412
    invalid,   // 400: the revision is not above the one in force
};

struct StoreAnswer {
    StoreAnswerKind kind = StoreAnswerKind::done;
    std::uint64_t revision = 0;              // of done
    std::optional<Document> document;        // of a read
    std::optional<std::uint32_t> evacuated;  // of a read that shows the zones, one bit each
};

// A change that may be sent again.
struct AppliedCall {
    std::uint64_t identity = 0;
    std::uint64_t revision = 0;
    bool operator==(const AppliedCall&) const = default;
};

struct StoreState {
    std::uint64_t revision = 0;
    Document document{};
    std::uint32_t evacuated = 0;
    std::vector<AppliedCall> applied;  // of calls that are made more than once
    bool operator==(const StoreState&) const = default;
};

class StoreSpecification {
public:
    using State = StoreState;
    using Call = StoreCall;
    using Answer = StoreAnswer;

    std::size_t hash(const State& state) const;
    std::optional<State> step(const State& state, const Call& call,
                              const std::optional<Answer>& answer) const;
    bool cannotTakeEffect(const State& state, const Call& call) const;

private:
    std::optional<State> change(const State& state, const Call& call,
                                const std::optional<Answer>& answer) const;
    std::optional<State> evacuate(const State& state, const Call& call,
                                  const std::optional<Answer>& answer) const;
};

using StoreOperation = Operation<StoreSpecification>;

}  // namespace beechpoint::simulation
