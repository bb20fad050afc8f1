#include "replica/chain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

Chain::Chain(const Membership& membership, Outbox& outbox, DurableState state)
    : membership_(membership),
      outbox_(outbox),
      table_(std::move(state.table), state.position),
      pending_(std::move(state.pending)),
      pendingStored_(pending_.has_value()),
      syncedEpoch_(state.syncedEpoch) {}

// ---- Starting state

void Chain::enterView(Millis now) {
    installed_ = false;
    openingSeen_ = false;
    chained_ = 0;
    enteredAt_ = itemSince_ = now;
    resendAt_ = startRetryAt_ = now;
    syncAttempts_ = 0;
    if (write_ && write_->position != membership_.view.start) finishWrite(WriteOutcome::unavailable);
    resolveStart(now);
}

bool Chain::synced() const { return membership_.view.epoch > 0 && syncedEpoch_ == membership_.view.epoch; }

// Sees to it that this disk holds the starting state of the epoch. Not while sealed: a promise has reported what the
// disk holds, and the next view may build on it.
void Chain::resolveStart(Millis now) {
    if (!membership_.inChain() || membership_.sealed || synced() || startPersisting_ || now < startRetryAt_)
        return;
    const Position start = membership_.view.start;
    startRetryAt_ = now + kChainRetry;
    DurableUpdate update;
    update.table = rewriteTable_ ? table_.whole() : unconfirmedFold_;
    if (pending_ && pending_->position == start) {
        update.pending = pending_;
        claimStart(std::move(update));
    } else if (table_.position() == start) {
        pending_.reset();
        pendingStored_ = false;
        update.clearPending = true;
        claimStart(std::move(update));
    } else {
        requestSync(now);
    }
}

void Chain::claimStart(DurableUpdate update) {
    const std::uint64_t epoch = membership_.view.epoch;
    const Position start = membership_.view.start;
    update.syncedEpoch = epoch;
    startPersisting_ = true;
    outbox_.persist(std::move(update), [this, epoch, start](Millis now, bool stored) {
        startPersisting_ = false;
        if (!stored) return;
        rewriteTable_ = false;
        unconfirmedFold_.reset();
        if (pending_ && pending_->position == start) pendingStored_ = true;
        syncedEpoch_ = epoch;
        startRetryAt_ = now;
        resolveStart(now);
        open(now);
    });
}

// Asks the source first, then the others in turn.
void Chain::requestSync(Millis now) {
    if (!membership_.active()) return;
    const auto& members = membership_.view.members;
    std::size_t choice = syncAttempts_++ % members.size();
    if (choice == *membership_.index) choice = (choice + 1) % members.size();
    if (choice == *membership_.index) return;
    outbox_.send(members[choice].internalAddress, SyncRequest{table_.position(), rewriteTable_});
    // Once all were asked it is the copy that takes its time: asked for again and again it would take longer still.
    const std::size_t rounds = (syncAttempts_ - 1) / members.size();
    const std::size_t doublings = std::min(rounds, kSyncRetryDoublings);
    startRetryAt_ = now + kChainRetry * static_cast<Millis>(std::size_t{1} << doublings);
}

// To a learner goes what is committed: in a settled epoch that is the folded table.
void Chain::onSyncRequest(const Message& message, const SyncRequest& request) {
    const View& view = membership_.view;
    if (message.epoch != view.epoch || !synced()) return;
    std::optional<TableUpdate> update;
    if (view.findDisk(message.from))
        update = startFor(request);
    else if (membership_.active() && installed_)
        update = request.full ? table_.whole() : table_.updateSince(request.position);
    if (update) outbox_.send(message.from.internalAddress, SyncReply{request.position, std::move(*update)});
}

std::optional<TableUpdate> Chain::startFor(const SyncRequest& request) const {
    TableUpdate update = request.full ? table_.whole() : table_.updateSince(request.position);
    const bool withPending = pending_ && pendingStored_ && pending_->position == membership_.view.start;
    if (withPending) {
        update.changes.insert(update.changes.end(), pending_->changes.begin(), pending_->changes.end());
        update.position = pending_->position;
    }
    if (update.position != membership_.view.start) return std::nullopt;
    return update;
}

void Chain::onSyncReply(const Message& message, const SyncReply& reply) {
    const View& view = membership_.view;
    if (startPersisting_) return;
    if (!membership_.inChain()) return learn(reply);
    if (message.epoch != view.epoch || !view.findDisk(message.from) || !membership_.active() || synced() ||
        reply.update.position != view.start)
        return;
    if (fits(reply)) bring(reply.update, view.epoch);
}

bool Chain::fits(const SyncReply& reply) const {
    return reply.update.whole || (!rewriteTable_ && reply.since == table_.position());
}

std::optional<SyncRequest> Chain::lacks() const {
    if (startPersisting_) return std::nullopt;
    return SyncRequest{table_.position(), rewriteTable_};
}

// A copy for later, by a process that no view it knows lists: `syncedEpoch` stays, so it counts for nothing until a view that
// lists this process has brought it to its starting state. What is committed once stays so, whichever view is in force now, and
// only grows, so an older answer is dropped.
void Chain::learn(const SyncReply& reply) {
    const bool newer = reply.update.position > table_.position() ||
                       (rewriteTable_ && reply.update.position == table_.position());
    if (newer && fits(reply)) bring(reply.update, std::nullopt);
}

// With an epoch: it is the epoch's starting state, and this disk is synced into the epoch then.
void Chain::bring(TableUpdate update, std::optional<std::uint64_t> epoch) {
    DurableUpdate change;
    change.table = update;
    if (!update.whole && unconfirmedFold_) {
        change.table->changes = unconfirmedFold_->changes;
        change.table->changes.insert(change.table->changes.end(), update.changes.begin(),
                                     update.changes.end());
    }
    change.clearPending = true;
    change.syncedEpoch = epoch;
    startPersisting_ = true;
    outbox_.persist(std::move(change), [this, epoch, update = std::move(update)](Millis now, bool stored) {
        startPersisting_ = false;
        rewriteTable_ = !stored;
        if (!stored) return;
        table_.bring(update);
        pending_.reset();
        pendingStored_ = false;
        unconfirmedFold_.reset();
        syncedEpoch_ = epoch.value_or(syncedEpoch_);
        startRetryAt_ = now;
        resolveStart(now);
        open(now);
    });
}

Position Chain::storedPosition() const {
    return pending_ && pendingStored_ ? pending_->position : table_.position();
}

// ---- Opening

// Passes the opening on as soon as this member holds the starting state and was told of the opening.
void Chain::open(Millis now) {
    if (!membership_.active() || !synced() || installed_) return;
    if (!membership_.isHead() && !openingSeen_) return;
    if (chained_ == 0) itemSince_ = now;
    chained_ = std::max<std::uint64_t>(chained_, 1);
    if (membership_.isTail()) {
        installView(now);
        sendUp(membership_.view.start);
        return;
    }
    resendAt_ = now + kChainRetry;
    sendDown(Propose{true, {}, Batch{membership_.view.start, {}}});
}

void Chain::installView(Millis now) {
    installed_ = true;
    chained_ = std::max<std::uint64_t>(chained_, 1);
    const Position before = servedPosition_;
    const bool oneBatch = table_.position() == before;
    std::optional<Batch> folded;
    if (pending_ && pending_->position == membership_.view.start) {
        folded = pending_;
        foldPending();
    }
    served_ = table_.snapshot();
    servedPosition_ = table_.position();
    if (servedPosition_ != before) {
        if (oneBatch)
            outbox_.emit(Committed{*folded});
        else
            outbox_.emit(TableReplaced{servedPosition_});
    }
    outbox_.log(fmt::format("epoch {} settled at {}.{}", membership_.view.epoch, servedPosition_.epoch,
                            servedPosition_.sequence));
    if (write_ && write_->position == servedPosition_) {
        const bool held = membership_.settings.tolerance.covers(membership_.view);
        finishWrite(held ? WriteOutcome::committed : WriteOutcome::unavailable);
    }
    itemSince_ = now;
}

// ---- Batches

bool Chain::writable() const {
    return membership_.active() && membership_.isHead() && installed_ && !pending_ && !write_ &&
           !membership_.diskFailing && membership_.settings.tolerance.covers(membership_.view);
}

bool Chain::busy() const {
    return write_ || pending_ || startPersisting_ || (membership_.index && !installed_);
}

void Chain::write(Millis now, const ClientWrite& write) {
    if (!writable()) {
        outbox_.emit(WriteDone{write.token, WriteOutcome::unavailable});
        return;
    }
    const Position position{membership_.view.epoch, table_.position().sequence + 1};
    write_ = Write{write.token, position, now + kWriteTimeout};
    pending_ = Batch{position, write.changes};
    pendingStored_ = false;
    pendingSince_ = now;
    itemSince_ = now;
    storePending(now);
}

void Chain::storePending(Millis now) {
    if (outbox_.congested()) return;
    const Position position = pending_->position;
    DurableUpdate update;
    update.table = unconfirmedFold_;
    update.pending = pending_;
    pendingRetryAt_ = now + kChainRetry;
    ++pendingPersists_;
    outbox_.persist(std::move(update), [this, position](Millis at, bool stored) {
        --pendingPersists_;
        if (!stored || !pending_ || pending_->position != position) return;
        unconfirmedFold_.reset();  // was part of this update: none is made while a batch is pending
        pendingStored_ = true;
        forward(at);
    });
}

// The batch is stored here: on to the successor, or committed at the tail.
void Chain::forward(Millis now) {
    if (!membership_.active() || !installed_ || !pending_ || !pendingStored_) return;
    if (pending_->position.epoch != membership_.view.epoch) return;
    const std::uint64_t item = 1 + pending_->position.sequence - membership_.view.start.sequence;
    chained_ = std::max(chained_, item);
    if (membership_.isTail()) {
        commitPending(now);
        return;
    }
    resendAt_ = now + kChainRetry;
    sendDown(proposalOf(*pending_));
}

Propose Chain::proposalOf(const Batch& batch) const { return Propose{false, table_.position(), batch}; }

void Chain::onPropose(Millis now, const Message& message, const Propose& propose) {
    const Member* from = predecessor();
    if (message.epoch != membership_.view.epoch || !membership_.active() || !from) return;
    if (!sameProcess(*from, message.from)) return;
    if (propose.opening) {
        openingSeen_ = true;
        if (installed_)
            sendUp(servedPosition_);
        else
            open(now);
        return;
    }
    if (!synced() || membership_.diskFailing) return;
    // The head proposes only in a settled epoch, and only after the batch before is committed.
    if (!installed_) installView(now);
    if (pending_ && pendingStored_ && propose.previous == pending_->position) commitPending(now);
    if (propose.batch.position <= table_.position()) {
        sendUp(table_.position());
        return;
    }
    if (propose.previous != table_.position()) return;
    if (pending_ && pending_->position == propose.batch.position) {
        if (pendingStored_)
            forward(now);
        else if (pendingPersists_ == 0)
            storePending(now);
        return;
    }
    pending_ = propose.batch;
    pendingStored_ = false;
    pendingSince_ = now;
    storePending(now);
}

void Chain::onCommit(Millis now, const Message& message, const Commit& commit) {
    const Member* from = successor();
    if (message.epoch != membership_.view.epoch || !membership_.active() || !from) return;
    if (!sameProcess(*from, message.from) || !synced()) return;
    if (!installed_) {
        installView(now);
        sendUp(servedPosition_);
    }
    if (pending_ && pendingStored_ && pending_->position.epoch == membership_.view.epoch &&
        commit.position >= pending_->position)
        commitPending(now);
}

void Chain::onStatus(Millis now, const Message& message, const Status& status) {
    if (message.epoch != membership_.view.epoch || !membership_.active() || !synced() || !status.installed)
        return;
    if (!installed_) installView(now);
    if (pending_ && pendingStored_ && pending_->position.epoch == membership_.view.epoch &&
        status.committed >= pending_->position)
        commitPending(now);
}

void Chain::commitPending(Millis now) {
    const Batch batch = *pending_;
    foldPending();
    served_ = table_.snapshot();
    servedPosition_ = table_.position();
    itemSince_ = now;
    outbox_.emit(Committed{batch});
    sendUp(servedPosition_);
    if (write_ && write_->position == batch.position) finishWrite(WriteOutcome::committed);
}

// The batch is durable as pending, so the fold needs no sync of its own; the next stored batch repeats it until the disk
// has confirmed it.
void Chain::foldPending() {
    const TableUpdate change{pending_->position, false, pending_->changes};
    table_.fold(*pending_);
    pending_.reset();
    pendingStored_ = false;
    unconfirmedFold_ = change;
    DurableUpdate update;
    update.table = change;
    update.clearPending = true;
    update.force = false;
    outbox_.persist(std::move(update), [this, position = change.position](Millis, bool stored) {
        if (stored && unconfirmedFold_ && unconfirmedFold_->position == position) unconfirmedFold_.reset();
    });
}

void Chain::finishWrite(WriteOutcome outcome) {
    outbox_.emit(WriteDone{write_->token, outcome});
    write_.reset();
}

void Chain::tick(Millis now) {
    if (write_ && now >= write_->deadline) finishWrite(WriteOutcome::unavailable);
    resolveStart(now);
    if (!membership_.active() || !membership_.isHead() || now < resendAt_) return;
    if (!installed_)
        open(now);
    else if (pending_ && pendingStored_)
        forward(now);
    else if (pending_ && pendingPersists_ == 0 && now >= pendingRetryAt_)
        storePending(now);
}

std::string Chain::stalledAt(Millis now, const FailureDetector& detector) const {
    if (!membership_.active() || !membership_.isHead() || chained_ == 0) return {};
    if (installed_ && !(pending_ && pendingStored_)) return {};
    const Millis limit = installed_ ? kStallAfter : kOpeningStallAfter;
    if (now - itemSince_ < limit) return {};
    for (const Member& member : membership_.view.members) {
        if (sameProcess(member, membership_.self)) continue;
        const Peer* peer = detector.find(member.internalAddress);
        const bool has = peer && peer->epoch == membership_.view.epoch && sameProcess(peer->member, member) &&
                         peer->status.storedItems >= chained_;
        if (!has) return member.internalAddress;
    }
    return {};
}

bool Chain::isNear(Position position) const {
    const std::optional<std::size_t> bytes = installed_ ? table_.bytesSince(position) : std::nullopt;
    return bytes && *bytes <= kNearBytes;
}

std::optional<TableUpdate> Chain::updateSince(Position position) const {
    if (!installed_ || position > servedPosition_) return std::nullopt;
    return table_.updateSince(position);
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

void Chain::sendUp(Position position) {
    if (const Member* member = predecessor()) outbox_.send(member->internalAddress, Commit{position});
}

void Chain::sendDown(Propose propose) {
    if (const Member* member = successor()) outbox_.send(member->internalAddress, std::move(propose));
}

}  // namespace beechpoint::replica
