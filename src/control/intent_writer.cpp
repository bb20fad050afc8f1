#include "control/intent_writer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "control/replica_driver.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {

void IntentWriter::propose(duties::Proposal proposal, OnProposed done) {
    add(WaitingProposal{std::move(proposal), std::move(done)});
}

void IntentWriter::settle(duties::Settlement settlement, OnSettled done) {
    add(WaitingSettlement{std::move(settlement), std::move(done)});
}

void IntentWriter::add(std::variant<WaitingProposal, WaitingSettlement> request) {
    Waiting waiting{clock_.now() + kMaxWait, std::move(request)};
    if (waiting_.size() >= kMaxWaiting) return end(waiting);
    waiting_.push_back(std::move(waiting));
    proceed();
}

// A write in progress makes the replica not writable until it completes.
void IntentWriter::proceed() {
    endOverdue();
    while (!waiting_.empty() && driver_.replica() && driver_.replica()->isWritable() && membersRespond()) {
        Waiting next = std::move(waiting_.front());
        waiting_.pop_front();
        std::visit([this](auto& request) { write(request); }, next.request);
    }
}

// A batch that waits for a failed member would prevent the others from answering polls until the view changes.
bool IntentWriter::membersRespond() const {
    const replica::Replica& replica = *driver_.replica();
    return std::ranges::all_of(replica.view().members, [&](const replica::Member& member) {
        return member.name == replica.self().name || driver_.isResponsive(member.internalAddress);
    });
}

void IntentWriter::endOverdue() {
    const bool isHead = driver_.replica() && driver_.replica()->isHead();
    while (!waiting_.empty() && (!isHead || clock_.now() >= waiting_.front().deadline)) {
        Waiting next = std::move(waiting_.front());
        waiting_.pop_front();
        end(next);
    }
}

void IntentWriter::write(WaitingProposal& waiting) {
    const replica::Replica& replica = *driver_.replica();
    duties::ProposalDecision decision =
        duties::decide(replica.committedTable(), waiting.proposal, replica.view().epoch);
    ProposalReply reply{true, decision.outcome, std::move(decision.intent)};
    if (decision.changes.empty()) return waiting.done(reply);
    driver_.write(std::move(decision.changes),
                  [reply = std::move(reply), done = std::move(waiting.done)](bool committed) {
                      done(committed ? reply : ProposalReply{});
                  });
}

void IntentWriter::write(WaitingSettlement& waiting) {
    std::vector<Change> changes = duties::settle(driver_.replica()->committedTable(), waiting.settlement);
    if (changes.empty()) return waiting.done(true);
    driver_.write(std::move(changes), std::move(waiting.done));
}

void IntentWriter::end(Waiting& waiting) {
    if (auto* const proposal = std::get_if<WaitingProposal>(&waiting.request))
        proposal->done(ProposalReply{});
    else
        std::get<WaitingSettlement>(waiting.request).done(false);
}

}  // namespace beechpoint::control
