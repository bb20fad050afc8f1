#include "replica/chain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

Chain::Chain(const Membership& membership, Outbox& outbox, DurableState state)
    : membership_(membership),
      outbox_(outbox),
      table_(std::move(state)),
      startingState_(membership, outbox, table_, [this](Millis now) { passOpening(now); }) {}

void Chain::enterView(Millis now) {
    installed_ = false;
    openingReceived_ = false;
    storedItems_ = 0;
    itemStartedAt_ = now;
    resendAt_ = now;
    if (write_ && write_->position != membership_.view.start) finishWrite(WriteOutcome::unavailable);
    startingState_.enterView(now);
}

void Chain::tick(Millis now) {
    if (write_ && now >= write_->deadline) finishWrite(WriteOutcome::unavailable);
    startingState_.advance(now);
    if (membership_.isActive() && membership_.isHead() && now >= resendAt_) resend(now);
}

void Chain::resend(Millis now) {
    if (!installed_)
        passOpening(now);
    else if (table_.hasStoredPending())
        passPending(now);
    else if (table_.pending() && pendingPersists_ == 0 && now >= pendingRetryAt_)
        storePending(now);
}

// ---- Starting state

// A learner receives the committed state: in an installed view, the table without the pending batch.
void Chain::onSyncRequest(const Message& message, const SyncRequest& request) {
    const View& view = membership_.view;
    if (message.epoch != view.epoch || !isSynced()) return;
    std::optional<SyncReply> reply;
    if (view.findDisk(message.from))
        reply = table_.startingState(view, request, membership_.settings.syncChunkBytes);
    else if (membership_.isActive() && installed_)
        reply = table_.appliedState(request, membership_.settings.syncChunkBytes);
    if (reply) outbox_.send(message.from.internalAddress, std::move(*reply));
}

void Chain::onSyncReply(Millis now, const Message& message, const SyncReply& reply) {
    startingState_.onSyncReply(now, message, reply);
}

// ---- Opening

// Forwards the opening as soon as this member holds the starting state and has received the opening.
void Chain::passOpening(Millis now) {
    if (!membership_.isActive() || !isSynced() || installed_) return;
    if (!membership_.isHead() && !openingReceived_) return;
    if (storedItems_ == 0) itemStartedAt_ = now;
    storedItems_ = std::max<std::uint64_t>(storedItems_, 1);
    if (membership_.isTail()) {
        installView(now);
        sendToPredecessor(membership_.view.start);
        return;
    }
    resendAt_ = now + kChainRetryInterval;
    sendToSuccessor(Propose{true, {}, Batch{membership_.view.start, {}}});
}

void Chain::installView(Millis now) {
    installed_ = true;
    storedItems_ = std::max<std::uint64_t>(storedItems_, 1);
    const Position before = table_.committedPosition();
    const bool followsCommitted = table_.appliedPosition() == before;
    std::optional<Batch> applied;
    if (table_.pending() && table_.pending()->position == membership_.view.start) {
        applied = table_.pending();
        applyPending();
    }
    table_.commitApplied();
    const Position committed = table_.committedPosition();
    if (committed != before) {
        if (followsCommitted)
            outbox_.emit(Committed{*applied});
        else
            outbox_.emit(TableReplaced{committed});
    }
    outbox_.log(fmt::format("epoch {} installed at {}.{}", membership_.view.epoch, committed.epoch,
                            committed.sequence));
    answerWriteAtInstallation();
    itemStartedAt_ = now;
}

// A write of the previous epoch that is part of the starting state is committed. It is acknowledged only if the view has
// enough copies.
void Chain::answerWriteAtInstallation() {
    if (!write_ || write_->position != table_.committedPosition()) return;
    const bool tolerated = membership_.settings.tolerance.covers(membership_.view);
    finishWrite(tolerated ? WriteOutcome::committed : WriteOutcome::unavailable);
}

// ---- Batches

bool Chain::isWritable() const {
    return membership_.isActive() && membership_.isHead() && installed_ && !table_.pending() && !write_ &&
           !membership_.diskFailing && membership_.settings.tolerance.covers(membership_.view);
}

bool Chain::isUpToDate(Millis now) const {
    return installed_ && (!table_.pending() || now - pendingSince_ <= kFreshDuration);
}

bool Chain::isBusy() const {
    return write_ || table_.pending() || startingState_.isPersisting() || (membership_.index && !installed_);
}

void Chain::write(Millis now, const ClientWrite& write) {
    if (!isWritable()) {
        outbox_.emit(WriteDone{write.token, WriteOutcome::unavailable});
        return;
    }
    const Position position{membership_.view.epoch, table_.appliedPosition().sequence + 1};
    write_ = Write{write.token, position, now + kWriteTimeout};
    itemStartedAt_ = now;
    setPending(now, Batch{position, write.changes});
}

void Chain::setPending(Millis now, Batch batch) {
    table_.setPending(std::move(batch));
    pendingSince_ = now;
    storePending(now);
}

void Chain::storePending(Millis now) {
    if (outbox_.isCongested()) return;
    const Position position = table_.pending()->position;
    DurableUpdate update = table_.pendingUpdate();
    pendingRetryAt_ = now + kChainRetryInterval;
    ++pendingPersists_;
    outbox_.persist(std::move(update), [this, position](Millis at, bool stored) {
        --pendingPersists_;
        if (!stored || !table_.pending() || table_.pending()->position != position) return;
        table_.confirmApplied();  // contained in this update: no batch is applied while one is pending
        table_.markPendingStored();
        passPending(at);
    });
}

bool Chain::hasStoredBatchOfEpoch() const {
    return table_.hasStoredPending() && table_.pending()->position.epoch == membership_.view.epoch;
}

// Forwards the stored batch to the successor, or commits it at the tail.
void Chain::passPending(Millis now) {
    if (!membership_.isActive() || !installed_ || !hasStoredBatchOfEpoch()) return;
    const Batch& batch = *table_.pending();
    const std::uint64_t item = 1 + batch.position.sequence - membership_.view.start.sequence;
    storedItems_ = std::max(storedItems_, item);
    if (membership_.isTail()) {
        commitPending(now);
        return;
    }
    resendAt_ = now + kChainRetryInterval;
    sendToSuccessor(Propose{false, table_.appliedPosition(), batch});
}

void Chain::onPropose(Millis now, const Message& message, const Propose& propose) {
    const Member* from = predecessor();
    if (message.epoch != membership_.view.epoch || !membership_.isActive() || !from) return;
    if (!sameProcess(*from, message.from)) return;
    if (propose.opening)
        onOpening(now);
    else if (isSynced() && !membership_.diskFailing)
        onBatch(now, propose);
}

void Chain::onOpening(Millis now) {
    openingReceived_ = true;
    if (installed_)
        sendToPredecessor(table_.committedPosition());
    else
        passOpening(now);
}

void Chain::onBatch(Millis now, const Propose& propose) {
    // The head proposes a batch only in an installed view, and only after the previous batch is committed.
    if (!installed_) installView(now);
    if (table_.hasStoredPending() && propose.previous == table_.pending()->position) commitPending(now);
    if (propose.batch.position <= table_.appliedPosition()) {
        sendToPredecessor(table_.appliedPosition());
        return;
    }
    if (propose.previous != table_.appliedPosition()) return;
    const bool repeated = table_.pending() && table_.pending()->position == propose.batch.position;
    if (!repeated)
        setPending(now, propose.batch);
    else if (table_.hasStoredPending())
        passPending(now);
    else if (pendingPersists_ == 0)
        storePending(now);
}

void Chain::onCommit(Millis now, const Message& message, const Commit& commit) {
    const Member* from = successor();
    if (message.epoch != membership_.view.epoch || !membership_.isActive() || !from) return;
    if (!sameProcess(*from, message.from) || !isSynced()) return;
    if (!installed_) {
        installView(now);
        sendToPredecessor(table_.committedPosition());
    }
    if (hasStoredBatchOfEpoch() && commit.position >= table_.pending()->position) commitPending(now);
}

void Chain::onStatus(Millis now, const Message& message, const Status& status) {
    if (message.epoch != membership_.view.epoch || !membership_.isActive()) return;
    if (!isSynced() || !status.installed) return;
    if (!installed_) installView(now);
    if (hasStoredBatchOfEpoch() && status.committed >= table_.pending()->position) commitPending(now);
}

void Chain::commitPending(Millis now) {
    const Batch batch = *table_.pending();
    applyPending();
    table_.commitApplied();
    itemStartedAt_ = now;
    outbox_.emit(Committed{batch});
    sendToPredecessor(table_.committedPosition());
    if (write_ && write_->position == batch.position) finishWrite(WriteOutcome::committed);
}

void Chain::applyPending() {
    const Position position = table_.pending()->position;
    outbox_.persist(table_.applyPending(), [this, position](Millis, bool stored) {
        if (stored) table_.confirmApplied(position);
    });
}

void Chain::finishWrite(WriteOutcome outcome) {
    outbox_.emit(WriteDone{write_->token, outcome});
    write_.reset();
}

// ---- Progress of the chain and of other processes

std::string Chain::stalledMember(Millis now, const FailureDetector& detector) const {
    if (!membership_.isActive() || !membership_.isHead() || storedItems_ == 0) return {};
    if (installed_ && !table_.hasStoredPending()) return {};
    const Millis limit = installed_ ? kStallTimeout : kOpeningStallTimeout;
    if (now - itemStartedAt_ < limit) return {};
    const Member* previous = nullptr;
    for (const Member& member : membership_.view.members) {
        const bool isSelf = sameProcess(member, membership_.self);
        if (!isSelf && !hasStored(member, detector)) {
            const bool isBlamed = forwardsTo(now, *previous, member, detector) && runs(now, member, detector);
            return isBlamed ? member.internalAddress : std::string{};
        }
        previous = &member;
    }
    return {};
}

// Whether this member of the chain is known to be able to forward items to its successor. Otherwise a missing item is no evidence
// against the successor, and the failure is that of the member or of the link.
bool Chain::forwardsTo(Millis now, const Member& member, const Member& successor,
                       const FailureDetector& detector) const {
    if (sameProcess(member, membership_.self)) return true;
    if (!runs(now, member, detector)) return false;
    const Status& status = detector.find(member.internalAddress)->status;
    return !status.diskFailing && std::ranges::find(status.unresponsivePeers, successor.internalAddress) ==
                                      status.unresponsivePeers.end();
}

// Whether the process that the view lists still replies. A process that was restarted takes no part in the chain before the next view.
bool Chain::runs(Millis now, const Member& member, const FailureDetector& detector) const {
    const Peer* peer = detector.findReachable(member.internalAddress, now);
    return peer && sameProcess(peer->member, member);
}

// Whether the member has reported storing as many items of this epoch as the head.
bool Chain::hasStored(const Member& member, const FailureDetector& detector) const {
    const Peer* peer = detector.find(member.internalAddress);
    if (!peer || peer->epoch != membership_.view.epoch) return false;
    return sameProcess(peer->member, member) && peer->status.storedItems >= storedItems_;
}

bool Chain::isNearlyCaughtUp(Position position) const {
    if (!installed_) return false;
    const std::optional<std::size_t> bytes = table_.history().bytesSince(position);
    return bytes && *bytes <= kMaxCatchUpBytes;
}

std::optional<TableUpdate> Chain::updateSince(Position position) const {
    if (!installed_ || position > table_.committedPosition()) return std::nullopt;
    return table_.history().updateSince(position);
}

// ---- Neighbours

const Member* Chain::predecessor() const {
    if (!membership_.index || *membership_.index == 0) return nullptr;
    return &membership_.view.members[*membership_.index - 1];
}

const Member* Chain::successor() const {
    if (!membership_.index || membership_.isTail()) return nullptr;
    return &membership_.view.members[*membership_.index + 1];
}

void Chain::sendToPredecessor(Position position) {
    if (const Member* member = predecessor()) outbox_.send(member->internalAddress, Commit{position});
}

void Chain::sendToSuccessor(Propose propose) {
    if (const Member* member = successor()) outbox_.send(member->internalAddress, std::move(propose));
}

}  // namespace beechpoint::replica
