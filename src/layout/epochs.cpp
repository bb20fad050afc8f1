#include "layout/epochs.hpp"

#include <iterator>

namespace beechpoint::layout {

bool EpochBook::tell(LayoutPtr layout) {
    const Epoch epoch = layout->epoch();
    if (newest_ && epoch <= newest_->epoch()) {
        ++(epoch == newest_->epoch() ? counts_.duplicate : counts_.old);
        return false;
    }
    if (newest_ && epoch > newest_->epoch() + 1) ++counts_.skipped;
    ++counts_.taken;
    newest_ = layout;
    kept_[epoch].layout = std::move(layout);
    letGo();
    return true;
}

LayoutPtr EpochBook::find(Epoch epoch) const {
    const auto found = kept_.find(epoch);
    return found == kept_.end() ? nullptr : found->second.layout;
}

EpochBook::Hold EpochBook::hold(Millis deadline) {
    if (!newest_) return 0;
    const Hold hold = ++last_;
    holds_[hold] = {newest_->epoch(), deadline};
    deadlines_.insert({deadline, hold});
    ++kept_.at(newest_->epoch()).holds;
    return hold;
}

void EpochBook::drop(std::map<Hold, std::pair<Epoch, Millis>>::iterator hold) {
    deadlines_.erase({hold->second.second, hold->first});
    if (const auto kept = kept_.find(hold->second.first); kept != kept_.end()) --kept->second.holds;
    holds_.erase(hold);
}

void EpochBook::release(Hold hold) {
    const auto found = holds_.find(hold);
    if (found == holds_.end()) return;  // its time was up before
    drop(found);
    letGo();
}

void EpochBook::advance(Millis now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        drop(holds_.find(deadlines_.begin()->second));
        ++counts_.expired;
    }
    letGo();
}

Millis EpochBook::next() const { return deadlines_.empty() ? 1e300 : deadlines_.begin()->first; }

Epoch EpochBook::oldestHeld() const { return kept_.empty() ? 0 : kept_.begin()->first; }

// Nobody holds it, or there are too many: the oldest go first, held or not.
void EpochBook::letGo() {
    for (auto kept = kept_.begin(); kept != kept_.end() && std::next(kept) != kept_.end();) {
        if (kept->second.holds > 0 && kept_.size() <= most_ + 1) {
            ++kept;
            continue;
        }
        ++counts_.letGo;
        kept = kept_.erase(kept);
    }
}

}  // namespace beechpoint::layout
