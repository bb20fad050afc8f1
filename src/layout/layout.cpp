#include "layout/layout.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace beechpoint::layout {

namespace {

constexpr XXH64_hash_t kHashSeed = 0x626565636870;
// 4,096 buckets: with 2,000 slices a lookup advances by less than one slice on average.
constexpr int kLookupBits = 12;

std::size_t lookupIndex(KeyHash hash) { return hash >> (64 - kLookupBits); }

void validateSlice(const Slice& s) {
    if (s.last < s.first) throw InvalidLayout(fmt::format("slice {}: range end precedes range start", s.id));
    std::set<std::string_view> hosts;
    bool hasComplete = false, hasSelectable = false;
    for (const Holder& h : s.holders) {
        if (h.host.empty()) throw InvalidLayout(fmt::format("slice {}: holder has no host name", s.id));
        if (!hosts.insert(h.host).second)
            throw InvalidLayout(fmt::format("slice {}: host {} is listed twice", s.id, h.host));
        hasComplete |= h.isComplete();
        hasSelectable |= h.isSelectable();
    }
    if (!hasComplete) throw InvalidLayout(fmt::format("slice {}: no holder is complete", s.id));
    if (!hasSelectable)
        throw InvalidLayout(fmt::format("slice {}: no holder is available to new queries", s.id));
}

}  // namespace

KeyHash hashKey(std::string_view key) { return XXH3_64bits_withSeed(key.data(), key.size(), kHashSeed); }

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

double Slice::hashFraction() const { return (static_cast<double>(last - first) + 1) * 0x1p-64; }

Layout::Layout(Epoch epoch, std::vector<Slice> slices) : epoch_(epoch), slices_(std::move(slices)) {
    if (epoch_ == 0) throw InvalidLayout("epoch number must be greater than 0");
    if (slices_.empty()) throw InvalidLayout("layout has no slices");
    std::sort(slices_.begin(), slices_.end(),
              [](const Slice& a, const Slice& b) { return a.first < b.first; });
    KeyHash expected = 0;
    for (std::size_t i = 0; i < slices_.size(); ++i) {
        const Slice& s = slices_[i];
        validateSlice(s);
        if (i > 0 && expected == 0)
            throw InvalidLayout(fmt::format("slice {}: begins after the end of the hash space", s.id));
        if (s.first < expected)
            throw InvalidLayout(fmt::format("slice {}: overlaps the preceding slice", s.id));
        if (s.first > expected) throw InvalidLayout(fmt::format("slice {}: gap before its range", s.id));
        expected = s.last + 1;  // wraps to 0 after the last hash
        byId_.emplace_back(s.id, static_cast<std::uint32_t>(i));
        highestId_ = std::max(highestId_, s.id);
    }
    if (expected != 0) throw InvalidLayout(fmt::format("slice {}: gap after its range", slices_.back().id));
    std::sort(byId_.begin(), byId_.end());
    for (std::size_t i = 1; i < byId_.size(); ++i)
        if (byId_[i].first == byId_[i - 1].first)
            throw InvalidLayout(fmt::format("slice {}: duplicate id", byId_[i].first));
    lookupTable_.resize(std::size_t{1} << kLookupBits);
    for (std::size_t bucket = 0, at = 0; bucket < lookupTable_.size(); ++bucket) {
        const KeyHash begin = static_cast<KeyHash>(bucket) << (64 - kLookupBits);
        while (slices_[at].last < begin) ++at;
        lookupTable_[bucket] = static_cast<std::uint32_t>(at);
    }
}

LayoutPtr Layout::ring(int shards, int cells, int span,
                       const std::vector<std::pair<std::string, int>>& hostsWithCells) {
    if (shards < 1 || cells < 1 || span < 1)
        throw InvalidLayout("a ring needs at least one shard, one cell and a span of one");
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
    std::size_t at = lookupTable_[lookupIndex(hash)];
    while (slices_[at].last < hash) ++at;
    return slices_[at];
}

const Slice* Layout::find(SliceId id) const {
    const auto found = std::lower_bound(byId_.begin(), byId_.end(), std::pair<SliceId, std::uint32_t>{id, 0});
    return found == byId_.end() || found->first != id ? nullptr : &slices_[found->second];
}

// ---- plans

namespace {

// Scales the shares so that they sum to 1; the last one absorbs the rounding error.
void normalizeShares(std::vector<PlannedPart>& parts, double sum) {
    if (parts.empty() || sum <= 0) return;
    double assigned = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) assigned += parts[i].share /= sum;
    parts.back().share = std::max(0.0, 1 - assigned);
}

}  // namespace

QueryPlan planKeys(LayoutPtr layout, const std::vector<std::string_view>& keys) {
    std::vector<const Slice*> slices;
    slices.reserve(keys.size());
    for (const std::string_view key : keys) slices.push_back(&layout->sliceOf(hashKey(key)));
    std::sort(slices.begin(),
              slices.end());  // all point into one vector sorted by hash, so this is hash order
    QueryPlan plan{std::move(layout), {}};
    for (const Slice* s : slices) {
        if (plan.parts.empty() || plan.parts.back().slice != s->id) plan.parts.push_back({s->id, 0});
        plan.parts.back().share += 1;
    }
    normalizeShares(plan.parts, static_cast<double>(keys.size()));
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
    normalizeShares(plan.parts, sum);
    return plan;
}

QueryPlan planAll(LayoutPtr layout) { return planRange(std::move(layout), 0, ~KeyHash{0}); }

QueryPlan planFromParts(LayoutPtr layout, const std::vector<PlannedPart>& parts) {
    for (const PlannedPart& part : parts)
        if (!layout->find(part.slice))
            throw InvalidLayout(
                fmt::format("slice {} does not exist in epoch {}", part.slice, layout->epoch()));
    return {std::move(layout), parts};  // shares are kept bit for bit
}

bool QueryPlan::acceptsAnswer(SliceId id, std::string_view host, Epoch answeredAt, Epoch heldSince) const {
    const Slice* const planned = layout->find(id);
    if (!planned) return false;
    const Holder* const holder = planned->find(host);
    if (!holder || !holder->isComplete()) return false;
    if (heldSince > answeredAt) return false;  // inconsistent report
    // The host held the slice without interruption over both epochs, whichever is newer.
    return heldSince <= layout->epoch() && answeredAt >= holder->completeSince;
}

}  // namespace beechpoint::layout
