#include "layout/layout.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace beechpoint::layout {

namespace {

constexpr XXH64_hash_t kSeed = 0x626565636870;
constexpr int kCoarseBits =
    12;  // 4,096 places: at 2,000 slices a look-up steps over less than one slice on average

std::size_t coarse(KeyHash hash) { return hash >> (64 - kCoarseBits); }

void check(const Slice& s) {
    if (s.last < s.first) throw BadLayout(fmt::format("slice {}: its range ends before it begins", s.id));
    std::set<std::string_view> hosts;
    bool complete = false, asked = false;
    for (const Holder& h : s.holders) {
        if (h.host.empty()) throw BadLayout(fmt::format("slice {}: a holder without a name", s.id));
        if (!hosts.insert(h.host).second)
            throw BadLayout(fmt::format("slice {}: host {} holds it twice", s.id, h.host));
        complete |= h.complete();
        asked |= h.asked();
    }
    if (!complete) throw BadLayout(fmt::format("slice {}: no host holds it complete", s.id));
    if (!asked) throw BadLayout(fmt::format("slice {}: no host may be asked for it", s.id));
}

}  // namespace

KeyHash hashKey(std::string_view key) { return XXH3_64bits_withSeed(key.data(), key.size(), kSeed); }

const char* nameOf(HolderState state) {
    switch (state) {
        case HolderState::serving:
            return "serving";
        case HolderState::copying:
            return "copying";
        case HolderState::catchingUp:
            return "catching up";
        case HolderState::handingOver:
            return "handing over";
        case HolderState::retired:
            break;
    }
    return "retired";
}

const Holder* Slice::find(std::string_view host) const {
    const auto found =
        std::find_if(holders.begin(), holders.end(), [&](const Holder& h) { return h.host == host; });
    return found == holders.end() ? nullptr : &*found;
}

double Slice::width() const { return (static_cast<double>(last - first) + 1) * 0x1p-64; }

Layout::Layout(Epoch epoch, std::vector<Slice> slices) : epoch_(epoch), slices_(std::move(slices)) {
    if (epoch_ == 0) throw BadLayout("an epoch's number must be above 0");
    if (slices_.empty()) throw BadLayout("a layout without slices");
    std::sort(slices_.begin(), slices_.end(),
              [](const Slice& a, const Slice& b) { return a.first < b.first; });
    KeyHash expected = 0;
    for (std::size_t i = 0; i < slices_.size(); ++i) {
        const Slice& s = slices_[i];
        check(s);
        if (i > 0 && expected == 0) throw BadLayout(fmt::format("slice {}: lies beyond the last hash", s.id));
        if (s.first < expected) throw BadLayout(fmt::format("slice {}: overlaps the one before it", s.id));
        if (s.first > expected) throw BadLayout(fmt::format("slice {}: a gap lies before it", s.id));
        expected = s.last + 1;  // 0 after the last hash of all
        byId_.emplace_back(s.id, static_cast<std::uint32_t>(i));
        highest_ = std::max(highest_, s.id);
    }
    if (expected != 0) throw BadLayout(fmt::format("slice {}: a gap lies behind it", slices_.back().id));
    std::sort(byId_.begin(), byId_.end());
    for (std::size_t i = 1; i < byId_.size(); ++i)
        if (byId_[i].first == byId_[i - 1].first)
            throw BadLayout(fmt::format("slice {}: its id stands twice", byId_[i].first));
    coarse_.resize(std::size_t{1} << kCoarseBits);
    for (std::size_t place = 0, at = 0; place < coarse_.size(); ++place) {
        const KeyHash begin = static_cast<KeyHash>(place) << (64 - kCoarseBits);
        while (slices_[at].last < begin) ++at;
        coarse_[place] = static_cast<std::uint32_t>(at);
    }
}

LayoutPtr Layout::ring(int shards, int cells, int span,
                       const std::vector<std::pair<std::string, int>>& hostsWithCells) {
    if (shards < 1 || cells < 1 || span < 1) throw BadLayout("a ring without shards, cells or span");
    std::vector<Slice> slices;
    const KeyHash step = ~KeyHash{0} / static_cast<KeyHash>(shards);
    for (int shard = 0; shard < shards; ++shard) {
        Slice s;
        s.id = static_cast<SliceId>(shard);
        s.first = step * static_cast<KeyHash>(shard) + (shard > 0 ? 1 : 0);
        s.last = shard + 1 == shards ? ~KeyHash{0} : step * static_cast<KeyHash>(shard + 1);
        for (int j = 0; j < std::min(span, cells); ++j)
            for (const auto& [host, cell] : hostsWithCells)
                if (cell == (shard + j) % cells) s.holders.push_back({host, HolderState::serving});
        slices.push_back(std::move(s));
    }
    return make(1, std::move(slices));
}

const Slice& Layout::sliceOf(KeyHash hash) const {
    std::size_t at = coarse_[coarse(hash)];
    while (slices_[at].last < hash) ++at;
    return slices_[at];
}

const Slice* Layout::find(SliceId id) const {
    const auto found = std::lower_bound(byId_.begin(), byId_.end(), std::pair<SliceId, std::uint32_t>{id, 0});
    return found == byId_.end() || found->first != id ? nullptr : &slices_[found->second];
}

// ---- plans

namespace {

// Makes the shares sum to 1, whatever rounding left.
void settle(std::vector<PlannedPart>& parts, double sum) {
    if (parts.empty() || sum <= 0) return;
    double out = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) out += parts[i].share /= sum;
    parts.back().share = std::max(0.0, 1 - out);
}

}  // namespace

QueryPlan planKeys(LayoutPtr layout, const std::vector<std::string_view>& keys) {
    std::vector<const Slice*> slices;
    slices.reserve(keys.size());
    for (const std::string_view key : keys) slices.push_back(&layout->sliceOf(hashKey(key)));
    std::sort(slices.begin(), slices.end());  // they lie in one list, by their hashes
    QueryPlan plan{std::move(layout), {}};
    for (const Slice* s : slices) {
        if (plan.parts.empty() || plan.parts.back().slice != s->id) plan.parts.push_back({s->id, 0});
        plan.parts.back().share += 1;
    }
    settle(plan.parts, static_cast<double>(keys.size()));
    return plan;
}

QueryPlan planRange(LayoutPtr layout, KeyHash first, KeyHash last) {
    QueryPlan plan{std::move(layout), {}};
    if (last < first) return plan;
    const std::vector<Slice>& all = plan.layout->slices();
    double sum = 0;
    for (const Slice* s = &plan.layout->sliceOf(first); s != all.data() + all.size() && s->first <= last;
         ++s) {
        const double share = static_cast<double>(std::min(s->last, last) - std::max(s->first, first)) + 1;
        plan.parts.push_back({s->id, share});
        sum += share;
    }
    settle(plan.parts, sum);
    return plan;
}

QueryPlan planAll(LayoutPtr layout) { return planRange(std::move(layout), 0, ~KeyHash{0}); }

QueryPlan planNamed(LayoutPtr layout, const std::vector<PlannedPart>& parts) {
    for (const PlannedPart& part : parts)
        if (!layout->find(part.slice))
            throw BadLayout(fmt::format("slice {} is not of epoch {}", part.slice, layout->epoch()));
    return {std::move(layout), parts};  // shares as their front has them, to the bit
}

bool QueryPlan::takes(SliceId id, std::string_view host, Epoch answeredAt, Epoch heldSince) const {
    const Slice* const planned = layout->find(id);
    if (!planned) return false;
    const Holder* const holder = planned->find(host);
    if (!holder || !holder->complete()) return false;
    if (heldSince > answeredAt) return false;  // makes no sense: not to be believed
    // It knew the plan's state of things, or a newer one in which it still had what the plan asked for.
    return heldSince <= layout->epoch() && answeredAt >= holder->since;
}

}  // namespace beechpoint::layout
