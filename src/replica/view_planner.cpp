#include "replica/view_planner.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace beechpoint::replica {

namespace {

constexpr std::size_t kRemovedKept = 2 * kMaxMembers;

bool contains(const std::vector<std::string>& list, const std::string& text) {
    return std::ranges::find(list, text) != list.end();
}

// What the source of the next view is chosen by.
struct Stored {
    std::uint64_t epoch;  // the newest one whose starting state it holds
    Position position;
    auto operator<=>(const Stored&) const = default;
};

// What this promiser could start the next view from; nothing if it may lack something that was committed. One that is
// synced into the epoch of `base` has all. One that is not proves by its promise that nothing was committed in that epoch,
// nor will be. Then all that was committed is in the epoch's starting state, which it may hold without having recorded
// so, and in the state of whoever is synced into the epoch before.
std::optional<Stored> storedBy(const ReceivedPromise& received, const View& base) {
    const Promise& promise = received.promise;
    if (promise.syncedEpoch == base.epoch) return Stored{base.epoch, promise.position};
    if (promise.position == base.start || promise.appliedPosition == base.start)
        return Stored{base.epoch, base.start};
    if (promise.syncedEpoch + 1 == base.epoch) return Stored{promise.syncedEpoch, promise.position};
    return std::nullopt;
}

// What the promises of the links of the chain of `base` prove. No view follows without one of them: the majority of the voters
// makes the next view the only one, but it is a sealed link that ends all acknowledgement in `base`, since each needs every
// link. A link that is synced holds all that was acknowledged; one that is not proves that nothing was, nor will be.
enum class Seal { none, allHeld, nothingCommitted };

Seal sealOf(const std::map<std::string, ReceivedPromise>& promises, const View& base) {
    Seal seal = Seal::none;
    for (const auto& [acceptor, received] : promises) {
        if (!base.findDisk(received.from)) continue;
        if (received.promise.syncedEpoch != base.epoch) return Seal::nothingCommitted;
        seal = Seal::allHeld;
    }
    return seal;
}

}  // namespace

void ViewPlanner::enterView(Millis now, const View& before) {
    enteredAt_ = now;
    stalled_.clear();
    for (const Member& member : before.members)
        if (!membership_.view.indexOfProcess(member)) removed_.push_back({member, now});
    if (removed_.size() > kRemovedKept)
        removed_.erase(removed_.begin(), removed_.end() - static_cast<std::ptrdiff_t>(kRemovedKept));
}

Assessment ViewPlanner::assess(Millis now) const {
    Assessment assessment;
    if (!membership_.inChain()) return assessment;
    assessMembers(now, assessment);
    assessLinks(now, assessment);
    assessStalls(now, assessment);
    assessUncounted(assessment);
    assessLeavers(now, assessment);
    assessJoiners(now, assessment, Joiners::ready);
    if (!enough(planned(assessment))) assessJoiners(now, assessment, Joiners::any);
    assessVoters(now, assessment);
    assessment.possible = enough(planned(assessment));
    return assessment;
}

std::vector<Member> ViewPlanner::planned(const Assessment& assessment) const {
    std::vector<Member> members = assessment.joiners;
    for (const Member& member : membership_.view.members)
        if (!assessment.excluded.contains(member.internalAddress)) members.push_back(member);
    return members;
}

void ViewPlanner::assessMembers(Millis now, Assessment& assessment) const {
    const View& view = membership_.view;
    if (membership_.sealed) assessment.unfinished = true;
    if (!chain_.installed() && now - enteredAt_ > 2 * kOpeningStallAfter) assessment.unfinished = true;
    for (const Member& member : view.members) {
        if (sameDisk(member, membership_.self)) {
            const bool restarted = !sameProcess(member, membership_.self);
            assessment.restarted |= restarted;
            assessment.observed |= restarted;
            continue;
        }
        const Peer* peer = detector_.find(member.internalAddress);
        if (!peer || !detector_.reachable(member.internalAddress, now)) continue;
        if (!sameDisk(peer->member, member)) {
            assessment.excluded.insert(member.internalAddress);  // its disk is gone
            assessment.observed = true;
            continue;
        }
        if (!sameProcess(peer->member, member)) assessment.restarted = assessment.observed = true;
        if (peer->status.diskFailing) {
            assessment.excluded.insert(member.internalAddress);
            assessment.observed = true;
        }
        if (peer->epoch == view.epoch && peer->status.sealed) assessment.unfinished = true;
    }
    for (const Member& voter : view.electorate()) {
        const Peer* peer = detector_.find(voter.internalAddress);
        if (view.findDisk(voter) || !peer || !detector_.reachable(voter.internalAddress, now)) continue;
        if (!sameDisk(peer->member, voter)) continue;
        if (peer->epoch == view.epoch && peer->status.sealed) assessment.unfinished = true;
    }
}

// Leaves out the silent, then the fewest that end all broken links, the later in order first.
void ViewPlanner::assessLinks(Millis now, Assessment& assessment) const {
    std::vector<Pair> broken;
    const auto addBroken = [&](const std::string& from, const std::string& to) {
        if (!listed(to) || assessment.excluded.contains(from) || assessment.excluded.contains(to)) return;
        broken.emplace_back(from, to);
    };
    for (const std::string& address : detector_.unheard(now)) {
        if (!listed(address) || assessment.excluded.contains(address)) continue;
        assessment.observed = true;
        if (!heardByAny(address, now)) assessment.excluded.insert(address);
    }
    for (const std::string& address : detector_.unheard(now))
        addBroken(membership_.self.internalAddress, address);
    for (const Member& member : membership_.view.members) {
        const Peer* peer = detector_.find(member.internalAddress);
        if (!peer || !detector_.reachable(member.internalAddress, now)) continue;
        if (peer->epoch != membership_.view.epoch) continue;
        for (const std::string& address : peer->status.unresponsivePeers)
            addBroken(member.internalAddress, address);
    }
    while (!broken.empty()) {
        std::map<std::string, std::size_t> count;
        for (const auto& [from, to] : broken) {
            ++count[from];
            ++count[to];
        }
        std::string worst;
        for (const Member& member : membership_.view.members) {
            const auto entry = count.find(member.internalAddress);
            if (entry == count.end()) continue;
            if (worst.empty() || entry->second >= count[worst]) worst = member.internalAddress;
        }
        if (worst.empty()) return;
        assessment.excluded.insert(worst);
        std::erase_if(broken, [&](const Pair& pair) { return pair.first == worst || pair.second == worst; });
    }
}

void ViewPlanner::assessStalls(Millis now, Assessment& assessment) const {
    for (const std::string& address : stalled_) excludeStalled(address, assessment);
    const std::string own = chain_.stalledAt(now, detector_);
    if (!own.empty()) {
        excludeStalled(own, assessment);
        assessment.observed = true;
    }
    const View& view = membership_.view;
    if (view.members.empty() || sameDisk(view.members.front(), membership_.self)) return;
    const Member& head = view.members.front();
    const Peer* peer = detector_.find(head.internalAddress);
    if (!peer || !detector_.reachable(head.internalAddress, now) || peer->epoch != view.epoch) return;
    if (!sameProcess(peer->member, head) || !listed(peer->status.stalledMember)) return;
    excludeStalled(peer->status.stalledMember, assessment);
}

void ViewPlanner::excludeStalled(const std::string& address, Assessment& assessment) const {
    assessment.excluded.insert(address);
    assessment.stalled.insert(address);
}

// Uncounted members whose going could take the majority with them, since counted ones were lost.
void ViewPlanner::assessUncounted(Assessment& assessment) const {
    if (!chain_.installed()) return;
    std::vector<Member> kept = planned(assessment);
    const std::vector<Member> before = kept;
    dropUncounted(kept);
    if (kept.size() == before.size() || !maySpare(kept)) return;
    for (const Member& member : before) {
        if (std::ranges::find(kept, member) != kept.end()) continue;
        assessment.excluded.insert(member.internalAddress);
        assessment.observed = true;
    }
}

// Leaves out as many of the leaving as can be spared, the later in order first, with a joiner in the place of each where one
// waits. Only from a settled view: all its members hold the state then, so the next one does not hang on a copy of a leaving
// member, and one view change does not chase another.
void ViewPlanner::assessLeavers(Millis now, Assessment& assessment) const {
    if (!chain_.installed()) return;
    for (const Member& member : membership_.view.members | std::views::reverse) {
        const std::string& address = member.internalAddress;
        if (assessment.excluded.contains(address) || !leaves(member, now)) continue;
        Assessment without = assessment;
        without.excluded.insert(address);
        assessJoiners(now, without, Joiners::ready);
        if (!maySpare(planned(without))) continue;
        assessment.excluded.insert(address);
        assessment.observed = true;
    }
}

// Only from a settled view, as with leavers: one view change does not chase another.
void ViewPlanner::assessVoters(Millis now, Assessment& assessment) const {
    if (!chain_.installed()) return;
    const std::vector<Member> next =
        nextVoters(presentVoters(now, assessment), planned(assessment), membership_.settings.tolerance);
    if (std::ranges::equal(next, membership_.view.electorate(), sameDisk)) return;
    assessment.voters = true;
    assessment.observed = true;
}

std::vector<Voter> ViewPlanner::presentVoters(Millis now, const Assessment& assessment) const {
    std::vector<Voter> voters;
    for (const Member& voter : membership_.view.electorate())
        voters.push_back(presentVoter(now, voter, assessment));
    return voters;
}

Voter ViewPlanner::presentVoter(Millis now, const Member& voter, const Assessment& assessment) const {
    if (sameDisk(voter, membership_.self))
        return {membership_.self, membership_.leaving ? Presence::leaving : Presence::here};
    const auto hasNewDisk = [&](const Member& member) {
        return member.name == voter.name && member.incarnation != 0 && !sameDisk(member, voter);
    };
    if (hasNewDisk(membership_.self)) return {voter, Presence::lost};
    for (const auto& [address, peer] : detector_.peers())
        if (detector_.reachable(address, now) && hasNewDisk(peer.member)) return {voter, Presence::lost};
    const Peer* peer = detector_.find(voter.internalAddress);
    if (!peer || !sameDisk(peer->member, voter)) return {voter, Presence::away};
    if (peer->status.leaving) return {peer->member, Presence::leaving};
    const bool silent =
        detector_.suspected(voter.internalAddress, now) && !heardByAny(voter.internalAddress, now);
    const bool away = silent || assessment.excluded.contains(voter.internalAddress);
    return {peer->member, away ? Presence::away : Presence::here};
}

bool ViewPlanner::leaves(const Member& member, Millis now) const {
    if (sameDisk(member, membership_.self)) return membership_.leaving;
    const Peer* peer = detector_.find(member.internalAddress);
    return peer && detector_.reachable(member.internalAddress, now) && sameDisk(peer->member, member) &&
           peer->status.leaving;
}

// A process is taken in once it is near, so that the chain does not wait for its copy of the table; or after a time, so that
// no availability rests on that copy. Without it the view would not bear enough: then at once.
void ViewPlanner::assessJoiners(Millis now, Assessment& assessment, Joiners which) const {
    std::size_t room = kMaxMembers - std::min(kMaxMembers, membership_.view.members.size());
    room += assessment.excluded.size();
    for (const bool counted : {true, false}) {
        for (const auto& [address, peer] : detector_.peers()) {
            if (assessment.joiners.size() >= room) return;
            if (peer.member.counted != counted) continue;
            if (which == Joiners::ready && !isReady(peer, now)) continue;
            if (!mayJoin(peer, now, assessment)) continue;
            std::vector<Member> with = planned(assessment);
            with.push_back(peer.member);
            if (!counted && !majoritySurvivesWithoutUncounted(with, membership_.settings.tolerance)) continue;
            assessment.joiners.push_back(peer.member);
            assessment.observed = true;
        }
    }
}

// The later in order go first. The first one may go as well: its successor holds the same state, in a settled view and at the
// founding.
void ViewPlanner::dropUncounted(std::vector<Member>& members) const {
    while (!majoritySurvivesWithoutUncounted(members, membership_.settings.tolerance)) {
        const auto last = std::ranges::find(members.rbegin(), members.rend(), false, &Member::counted);
        if (last == members.rend()) return;
        members.erase(std::next(last).base());
    }
}

bool ViewPlanner::isReady(const Peer& peer, Millis now) const {
    return chain_.isNear(peer.status.stored) || now >= learnsUntil(peer);
}

// One that was left out, perhaps since its copy took too long inside, gets twice the time with each removal.
Millis ViewPlanner::learnsUntil(const Peer& peer) const {
    Millis since = peer.heardSince;
    Millis span = kLearnMost;
    for (const Removal& removal : removed_) {
        if (!sameProcess(removal.process, peer.member)) continue;
        since = std::max(since, removal.at);
        span = std::min(2 * span, kLearnAgainMost);
    }
    return since + span;
}

bool ViewPlanner::mayJoin(const Peer& peer, Millis now, const Assessment& assessment) const {
    const View& view = membership_.view;
    const Member& member = peer.member;
    if (member.incarnation == 0 || !detector_.reachable(member.internalAddress, now)) return false;
    if (peer.status.diskFailing || peer.status.leaving || view.findDisk(member)) return false;
    const Member* namesake = view.find(member.name);
    if (namesake && !assessment.excluded.contains(namesake->internalAddress)) return false;
    const bool namedTwice = std::ranges::any_of(
        assessment.joiners, [&](const Member& joiner) { return joiner.name == member.name; });
    if (namedTwice || !reachedByAll(member.internalAddress, now, assessment)) return false;
    return now - peer.answeringSince >= probationOf(member, now);
}

// How long a process that was left out must have answered before it is taken in again. One that comes and goes, as with a slow
// disk or link, costs a view change and a catch-up each time: the pause grows, up to a bound well below the time that a loss
// counts for after the return.
Millis ViewPlanner::probationOf(const Member& process, Millis now) const {
    Millis probation = 0;
    for (const Removal& removal : removed_) {
        if (!sameProcess(removal.process, process) || now - removal.at > kFlapWindow) continue;
        probation = probation == 0 ? kProbation : std::min(2 * probation, kProbationMost);
    }
    return probation;
}

bool ViewPlanner::reachedByAll(const std::string& address, Millis now, const Assessment& assessment) const {
    return std::ranges::all_of(membership_.view.members, [&](const Member& member) {
        if (sameDisk(member, membership_.self)) return true;
        if (assessment.excluded.contains(member.internalAddress)) return true;
        const Peer* peer = detector_.find(member.internalAddress);
        return peer && detector_.reachable(member.internalAddress, now) &&
               contains(peer->status.reachablePeers, address);
    });
}

bool ViewPlanner::heardByAny(const std::string& address, Millis now) const {
    return std::ranges::any_of(detector_.peers(), [&](const auto& entry) {
        return detector_.reachable(entry.first, now) && contains(entry.second.status.reachablePeers, address);
    });
}

// A view that is smaller than the one before must still bear what is to be tolerated.
bool ViewPlanner::enough(const std::vector<Member>& members) const {
    if (members.empty()) return false;
    if (members.size() >= membership_.view.members.size()) return true;
    View view;
    view.members = members;
    return membership_.settings.tolerance.covers(view);
}

// Whether members that still serve may be left out for these: what the view bears now it must bear then.
bool ViewPlanner::maySpare(const std::vector<Member>& members) const {
    View view;
    view.members = members;
    const Tolerance& tolerance = membership_.settings.tolerance;
    return enough(members) && (tolerance.covers(view) || !tolerance.covers(membership_.view));
}

const Member* ViewPlanner::listed(const std::string& address) const {
    const auto& members = membership_.view.members;
    const auto found = std::ranges::find(members, address, &Member::internalAddress);
    return found == members.end() ? nullptr : &*found;
}

bool ViewPlanner::hearsMajority(Millis now) const {
    std::size_t count = 0;
    for (const Member& member : membership_.view.electorate()) {
        if (sameDisk(member, membership_.self)) {
            ++count;
            continue;
        }
        const Peer* peer = detector_.find(member.internalAddress);
        if (peer && sameDisk(peer->member, member) && detector_.reachable(member.internalAddress, now))
            ++count;
    }
    return count > 0 && count >= membership_.view.majority();
}

std::size_t ViewPlanner::rank(Millis now, const Assessment& assessment) const {
    std::size_t rank = 0;
    for (const Member& member : membership_.view.members) {
        const bool excluded = assessment.excluded.contains(member.internalAddress);
        if (sameDisk(member, membership_.self)) return excluded ? membership_.view.members.size() : rank;
        if (!excluded && detector_.reachable(member.internalAddress, now)) ++rank;
    }
    return rank;
}

std::optional<View> ViewPlanner::compose(Millis now,
                                         const std::map<std::string, ReceivedPromise>& promises) const {
    const Assessment assessment = assess(now);
    const View& base = membership_.view;
    std::vector<const ReceivedPromise*> candidates;
    using Choice = std::pair<const ReceivedPromise*, Stored>;
    std::optional<Choice> source;
    std::optional<Choice> spare;  // would do as source, though it should be left out
    for (const Member& member : base.members) {
        const auto found = std::ranges::find_if(
            promises, [&](const auto& entry) { return sameDisk(entry.second.from, member); });
        if (found == promises.end()) continue;
        const ReceivedPromise& received = found->second;
        const std::optional<Stored> stored = storedBy(received, base);
        const bool wanted =
            !assessment.excluded.contains(member.internalAddress) && !received.promise.diskFailing;
        std::optional<Choice>& best = wanted ? source : spare;
        if (stored && (!best || best->second < *stored)) best = Choice{&received, *stored};
        if (wanted) candidates.push_back(&received);
    }
    if (!source) source = spare;
    const Seal seal = sealOf(promises, base);
    if (seal == Seal::none) return std::nullopt;
    if (!source && seal == Seal::nothingCommitted) {
        for (const auto& [voter, received] : promises) {
            const std::optional<Stored> stored = storedBy(received, base);
            if (stored && (!source || source->second < *stored)) source = Choice{&received, *stored};
        }
    }
    if (!source) return std::nullopt;
    const ReceivedPromise* head = source->first;
    View view;
    view.epoch = base.epoch + 1;
    view.start = source->second.position;
    view.members.push_back(head->from);
    for (const ReceivedPromise* candidate : candidates)
        if (candidate != head) view.members.push_back(candidate->from);
    for (const Member& joiner : assessment.joiners)
        if (view.members.size() < kMaxMembers && !view.find(joiner.name)) view.members.push_back(joiner);
    if (!enough(view.members)) return std::nullopt;
    view.voters = nextVoters(presentVoters(now, assessment), view.members, membership_.settings.tolerance);
    return view;
}

View ViewPlanner::composeFounding(const std::map<std::string, ReceivedPromise>& promises) const {
    View view;
    view.epoch = 1;
    for (const auto& [voter, received] : promises)
        if (view.members.size() < kMaxMembers && !view.find(received.from.name))
            view.members.push_back(received.from);
    dropUncounted(view.members);
    view.voters = view.members;
    return view;
}

}  // namespace beechpoint::replica
