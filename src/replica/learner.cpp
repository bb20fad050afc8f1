#include "replica/learner.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace beechpoint::replica {

bool Learner::isLearning() const {
    const bool outside = membership_.view.epoch > 0 && !membership_.isInChain();
    return outside && !membership_.leaving && !membership_.diskFailing && !outbox_.isCongested();
}

void Learner::tick(Millis now) {
    if (!isLearning() || now < requestAt_) return;
    const std::optional<SyncRequest> request = chain_.learnerRequest();
    if (!request) return;
    requestAt_ = now + kLearnerRetryInterval;
    outbox_.send(nextSource().internalAddress, *request);
}

const Member& Learner::nextSource() {
    std::vector<const Member*> sources;
    for (const Member& member : membership_.view.members) sources.push_back(&member);
    std::ranges::stable_partition(
        sources, [&](const Member* member) { return member->zone == membership_.self.zone; });
    return *sources[requests_++ % sources.size()];
}

}  // namespace beechpoint::replica
