#include "replica/view_composer.hpp"

#include <algorithm>
#include <vector>

namespace beechpoint::replica {

namespace {

using Promises = ViewComposer::Promises;

// Criterion for choosing the source of the next view.
struct Stored {
    std::uint64_t epoch;  // newest epoch whose starting state it holds
    Position position;
    auto operator<=>(const Stored&) const = default;
};

// State from which this acceptor could start the next view; nullopt if it may lack committed changes. An acceptor synced into
// the epoch of `base` has everything. The promise of one that is not synced proves that nothing was or will be committed in that
// epoch. Then everything committed is in the epoch's starting state, which the acceptor may hold without having recorded it, and
// in the state of any acceptor synced into the previous epoch.
std::optional<Stored> storedBy(const ReceivedPromise& received, const View& base) {
    const Promise& promise = received.promise;
    const bool holdsStart = promise.position == base.start || promise.appliedPosition == base.start;
    if (promise.syncedEpoch == base.epoch) return Stored{base.epoch, promise.position};
    if (holdsStart) return Stored{base.epoch, base.start};
    if (promise.syncedEpoch + 1 == base.epoch) return Stored{promise.syncedEpoch, promise.position};
    return std::nullopt;
}

// Result of the promises by members of the chain. At least one of them is required for the next view: the majority of the
// voters makes the next view unique, but only a sealed member of the chain stops acknowledgements in `base`, since each
// acknowledgement needs every member. A synced member holds everything acknowledged; one that is not synced proves that nothing
// was or will be acknowledged.
enum class ChainSeal { none, allHeld, nothingCommitted };

ChainSeal chainSealOf(const Promises& promises, const View& base) {
    ChainSeal seal = ChainSeal::none;
    for (const auto& [acceptor, received] : promises) {
        if (!base.findDisk(received.from)) continue;
        if (received.promise.syncedEpoch != base.epoch) return ChainSeal::nothingCommitted;
        seal = ChainSeal::allHeld;
    }
    return seal;
}

const ReceivedPromise* promiseOf(const Member& member, const Promises& promises) {
    const auto found = std::ranges::find_if(
        promises, [&](const auto& entry) { return sameDisk(entry.second.from, member); });
    return found == promises.end() ? nullptr : &found->second;
}

struct Source {
    const ReceivedPromise* promise;
    Stored stored;
};

// Among equals the first one is kept, so that the head keeps its role.
void updateBestSource(std::optional<Source>& best, const ReceivedPromise& received, const View& base) {
    const std::optional<Stored> stored = storedBy(received, base);
    if (stored && (!best || best->stored < *stored)) best = Source{&received, *stored};
}

// The chain members that remain, and the state that they start from.
struct ChainPromises {
    std::vector<const ReceivedPromise*> members;
    std::optional<Source> source;
};

ChainPromises chainPromisesOf(const View& base, const Assessment& assessment, const Promises& promises) {
    ChainPromises chain;
    std::optional<Source> excludedSource;  // usable as source, although it should be excluded
    for (const Member& member : base.members) {
        const ReceivedPromise* received = promiseOf(member, promises);
        if (!received) continue;
        const bool isContinuing =
            !assessment.excluded.contains(member.internalAddress) && !received->promise.diskFailing;
        updateBestSource(isContinuing ? chain.source : excludedSource, *received, base);
        if (isContinuing) chain.members.push_back(received);
    }
    if (!chain.source) chain.source = excludedSource;
    return chain;
}

// A voter outside the chain may be the source only if nothing was committed in the epoch.
std::optional<Source> sourceAmongAll(const View& base, const Promises& promises) {
    std::optional<Source> source;
    for (const auto& [voter, received] : promises) updateBestSource(source, received, base);
    return source;
}

}  // namespace

std::optional<View> ViewComposer::compose(Millis now, const Assessment& assessment,
                                          const Promises& promises) const {
    const View& base = membership_.view;
    const ChainSeal seal = chainSealOf(promises, base);
    if (seal == ChainSeal::none) return std::nullopt;
    ChainPromises chain = chainPromisesOf(base, assessment, promises);
    if (!chain.source && seal == ChainSeal::nothingCommitted) chain.source = sourceAmongAll(base, promises);
    if (!chain.source) return std::nullopt;
    const ReceivedPromise* head = chain.source->promise;
    View view;
    view.epoch = base.epoch + 1;
    view.start = chain.source->stored.position;
    view.members.push_back(head->from);
    for (const ReceivedPromise* received : chain.members)
        if (received != head) view.members.push_back(received->from);
    for (const Member& joiner : assessment.joiners)
        if (view.members.size() < kMaxMembers && !view.find(joiner.name)) view.members.push_back(joiner);
    if (!requirements_.isSufficient(view.members)) return std::nullopt;
    view.voters = nextVoters(voters_.present(now, assessment), view.members, requirements_.tolerance());
    return view;
}

View ViewComposer::composeFounding(const Promises& promises) const {
    View view;
    view.epoch = 1;
    for (const auto& [voter, received] : promises)
        if (view.members.size() < kMaxMembers && !view.find(received.from.name))
            view.members.push_back(received.from);
    requirements_.dropSurplusUncounted(view.members);
    view.voters = view.members;
    return view;
}

}  // namespace beechpoint::replica
