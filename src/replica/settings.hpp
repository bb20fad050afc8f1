/// Settings and constants of a replica. Times are in ms.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

inline constexpr Millis kHeartbeatInterval = 250;
inline constexpr Millis kSuspectTimeout = 1'000;   // a member that has not replied is removed from the view
inline constexpr Millis kReachableDuration = 600;  // validity of a reply as proof of reachability
inline constexpr Millis kFreshDuration =
    600;  // polls may be answered this long after contact with a majority
inline constexpr Millis kSuspensionGap = 500;          // without events for longer: the process was suspended
inline constexpr Millis kAssessmentInterval = 20;      // between assessments of the view
inline constexpr Millis kProposalRankDelay = 300;      // per rank of the members that may propose a view
inline constexpr Millis kMinViewChangeInterval = 300;  // minimum time between view changes
inline constexpr Millis kPromiseGracePeriod = 400;     // wait for members beyond the majority
inline constexpr Millis kFoundingGracePeriod = 1'000;  // wait for seeds beyond the majority
inline constexpr Millis kFoundingRankDelay = 700;
inline constexpr Millis kProposalTimeout = 1'000;  // of each of the two phases
inline constexpr Millis kMinRetryDelay = 200;      // messages are resent after 200 to 400
inline constexpr Millis kMaxRetryDelay = 400;
inline constexpr Millis kChainRetryInterval = 250;
/// Maximum number of doublings of kChainRetryInterval, one per round of requests for the starting state.
inline constexpr std::size_t kSyncRetryDoublings = 2;
inline constexpr Millis kStallTimeout = 1'000;  // a member that has not stored a batch within it is removed
inline constexpr Millis kOpeningStallTimeout =
    1'600;  // the same for the opening, which may wait for a full table transfer
inline constexpr Millis kProbation = 500;  // a removed process must have replied for this long
inline constexpr Millis kMaxProbation =
    2'000;  // probation doubles with each removal of the process within kFlapWindow
inline constexpr Millis kFlapWindow = 20'000;
inline constexpr Millis kDiskWriteTimeout = 700;  // a slower write is considered failing
inline constexpr Millis kDiskProbeInterval = 500;
inline constexpr Millis kLearnerRetryInterval = 500;  // then a learner tries another source
inline constexpr Millis kMaxLearningTime = 2'000;     // then a learner is added without a complete copy
inline constexpr Millis kMaxRepeatedLearningTime =
    16'000;  // the same for a process that was removed repeatedly
inline constexpr std::size_t kMaxCatchUpBytes =
    64 << 10;  // of changes that a learner may still lack when it is added
inline constexpr std::size_t kSyncChunkBytes = 512 << 10;  // of keys and values in one chunk of a full table
inline constexpr Millis kJoinInterval = 250;
inline constexpr Millis kJoinerExpiry = 2'000;
inline constexpr Millis kWriteTimeout = 4'000;
inline constexpr Millis kReadTimeout = 1'500;
inline constexpr Millis kReadRoundInterval = 10;  // minimum time between heartbeat rounds for reads
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
    std::size_t syncChunkBytes = kSyncChunkBytes;  // smaller in tests
};

}  // namespace beechpoint::replica
