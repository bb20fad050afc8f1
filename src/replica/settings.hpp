/// Settings of a replica, and the constants it works with. Times are in ms.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

inline constexpr Millis kHeartbeatInterval = 250;
inline constexpr Millis kSuspectTimeout = 1'000;   // a member that has not answered is left out
inline constexpr Millis kReachableDuration = 600;  // an answer proves that a peer is reachable for so long
inline constexpr Millis kFreshDuration = 600;  // an answer of a majority lets polls be answered for so long
inline constexpr Millis kSuspensionGap = 500;  // no event for so long: the process was frozen
inline constexpr Millis kAssessmentInterval = 20;      // whether the view must change
inline constexpr Millis kProposalRankDelay = 300;      // between the members that may propose a view
inline constexpr Millis kMinViewChangeInterval = 300;  // at most one view change in so long
inline constexpr Millis kPromiseGracePeriod = 400;     // for the members beyond the majority
inline constexpr Millis kFoundingGracePeriod = 1'000;  // for the seeds beyond the majority
inline constexpr Millis kFoundingRankDelay = 700;
inline constexpr Millis kProposalTimeout = 1'000;  // of each of the two rounds
inline constexpr Millis kMinRetryDelay = 200;      // messages are sent again after 200 to 400
inline constexpr Millis kMaxRetryDelay = 400;
inline constexpr Millis kChainRetryInterval = 250;
/// Doublings of kChainRetryInterval, with each round of requests for the starting state.
inline constexpr std::size_t kSyncRetryDoublings = 2;
inline constexpr Millis kStallTimeout =
    1'000;  // a member that has not stored a batch for so long is left out
inline constexpr Millis kOpeningStallTimeout =
    1'600;                                 // the same for the opening, which may wait for a full table
inline constexpr Millis kProbation = 500;  // a removed process must have answered for so long
inline constexpr Millis kMaxProbation =
    2'000;  // it doubles with each removal of the process within the window
inline constexpr Millis kFlapWindow = 20'000;
inline constexpr Millis kDiskWriteTimeout = 700;  // a persist that takes longer counts as failing
inline constexpr Millis kDiskProbeInterval = 500;
inline constexpr Millis kLearnerRetryInterval = 500;  // a learner asks another source
inline constexpr Millis kMaxLearningTime = 2'000;     // then it is taken in as it is
inline constexpr Millis kMaxRepeatedLearningTime =
    16'000;  // the same for one that was left out again and again
inline constexpr std::size_t kMaxCatchUpBytes =
    64 << 10;  // of changes that a learner lacks at most when it is taken in
inline constexpr std::size_t kSyncChunkBytes = 512
                                               << 10;  // of keys and values in one message of a full table
inline constexpr Millis kJoinInterval = 250;
inline constexpr Millis kJoinerExpiry = 2'000;
inline constexpr Millis kWriteTimeout = 4'000;
inline constexpr Millis kReadTimeout = 1'500;
inline constexpr Millis kReadRoundInterval = 10;  // heartbeat rounds for reads
inline constexpr Millis kBusyTickInterval = 50;

inline constexpr std::size_t kMaxHistoryBatches = 256;
inline constexpr std::size_t kMaxHistoryBytes = 1 << 20;
inline constexpr std::size_t kMaxPeers = 24;
inline constexpr std::size_t kMaxReads = 256;
inline constexpr std::size_t kMaxPendingPersists = 64;

struct Settings {
    Member self;                     // incarnation and session are drawn by the replica
    std::vector<std::string> seeds;  // control addresses; their internal port is that of `self`
    bool bootstrap = false;
    Tolerance tolerance;
    std::size_t syncChunkBytes = kSyncChunkBytes;  // tests have smaller ones
};

}  // namespace beechpoint::replica
