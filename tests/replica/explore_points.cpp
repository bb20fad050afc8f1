// Names of deviations and steps, and the step that a message or disk update belongs to.
#include <array>
#include <variant>

#include "explore_world.hpp"

namespace beechpoint::replica::exploration {

namespace {

template <class... Kinds>
bool isAny(const Body& body) {
    return (std::holds_alternative<Kinds>(body) || ...);
}

}  // namespace

Step stepOf(const Body& body) {
    if (isAny<Heartbeat, HeartbeatReply>(body)) return Step::heartbeat;
    if (isAny<Join>(body)) return Step::joining;
    if (isAny<Prepare, Promise, Reject, Accept, Accepted>(body)) return Step::vote;
    if (isAny<Decided>(body)) return Step::decision;
    if (isAny<SyncRequest, SyncReply>(body)) return Step::stateTransfer;
    if (const auto* propose = std::get_if<Propose>(&body))
        return propose->opening ? Step::opening : Step::batch;
    return Step::commit;
}

Step stepOf(const DurableUpdate& update) {
    if (update.control && update.control->vote.promised.round > 0) return Step::voteRecord;
    if (update.control) return Step::decision;
    if (update.syncedEpoch)
        return update.table && !update.table->changes.empty() ? Step::stateTransfer : Step::opening;
    if (update.pending) return Step::batch;
    return update.clearPending ? Step::commit : Step::otherRecord;
}

const char* nameOf(Deviation deviation) {
    static constexpr std::array<const char*, kDeviations> kNames{"lost",
                                                                 "lost for a while",
                                                                 "repeated",
                                                                 "late",
                                                                 "sender cut off",
                                                                 "sender frozen",
                                                                 "power before",
                                                                 "power after",
                                                                 "power of all before",
                                                                 "power of all after",
                                                                 "wiped",
                                                                 "failed",
                                                                 "failed, there",
                                                                 "slow"};
    return kNames.at(static_cast<std::size_t>(deviation));
}

const char* nameOf(Step step) {
    static constexpr std::array<const char*, kSteps> kNames{
        "heartbeat", "joining", "vote",   "vote record", "decision",
        "opening",   "batch",   "commit", "hand-over",   "other record"};
    return kNames.at(static_cast<std::size_t>(step));
}

bool ofMessage(Deviation deviation) { return deviation <= Deviation::senderFrozen; }

}  // namespace beechpoint::replica::exploration
