#include "gossip/membership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace beechpoint::gossip {

namespace {
constexpr Millis kNewcomer = 20'000;
constexpr std::size_t kMostHelping = 32;
constexpr std::size_t kMostConfirmed = 3;  // more make a suspicion end no sooner
std::uint64_t hashOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()) >> 32; }
}  // namespace

const char* nameOf(Presence presence) {
    switch (presence) {
        case Presence::unknown:
            return "unknown";
        case Presence::alive:
            return "alive";
        case Presence::suspect:
            return "suspect";
        case Presence::dead:
            return "dead";
        case Presence::left:
            return "left";
    }
    return "?";
}

Membership::Membership(MembershipOptions options, std::string self, std::vector<std::string> members,
                       std::uint64_t seed, Millis now)
    : options_(options), self_(std::move(self)), draw_(seed) {
    for (const std::string& name : members)
        if (name != self_) peers_[name], probeOrder_.push_back(name);
    probeIndex_ = probeOrder_.size();
    probeAt_ = now + draw_() * options_.probePeriod;  // a release starts many at once: no step in common
}
// How often each one tells a rumour: enough for it to reach all with very high odds.
int Membership::transmissionLimit() const {
    return 3 * static_cast<int>(std::ceil(std::log10(peers_.size() + 2.0))) + 1;
}

Presence Membership::presenceOf(const std::string& member) const {
    if (member == self_) return leaving_ ? Presence::left : Presence::alive;
    const auto o = peers_.find(member);
    return o == peers_.end() ? Presence::unknown : o->second.presence;
}
Millis Membership::lastHeard(const std::string& member) const {
    const auto o = peers_.find(member);
    return o == peers_.end() ? -1e300 : o->second.lastHeard;
}
std::size_t Membership::count(Presence presence) const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& o) { return o.second.presence == presence; }));
}

// ---- what is believed

void Membership::setPresence(Millis now, const std::string& name, Peer& o, Presence presence,
                             std::uint64_t incarnation) {
    if (o.presence != presence) changes_.push_back({name, presence, incarnation});
    if (presence == Presence::alive && o.presence != Presence::suspect) o.aliveSince = now;
    if (presence == Presence::suspect && o.presence != Presence::suspect) o.suspectSince = now;
    if (presence != Presence::suspect) o.suspectedBy.clear();
    o.presence = presence;
    o.incarnation = incarnation;
    o.transmissionsLeft = transmissionLimit();
}
void Membership::refute(std::uint64_t above) {
    incarnation_ = std::max(incarnation_, above) + 1;
    ++refutations_;
}
void Membership::applyRumour(Millis now, const Rumour& r) {
    if (r.member == self_) {
        // A higher one is of an earlier life of this name; at the own one anything but alive is wrong, unless it goes.
        if (leaving_ || (r.presence == Presence::alive && r.incarnation <= incarnation_)) return;
        if (r.incarnation < incarnation_) return;  // of long ago: the own word is on every message
        refute(r.incarnation);
        if (r.presence == Presence::suspect) adjustLocalHealth(1);
        return;
    }
    const auto found = peers_.find(r.member);
    if (found == peers_.end() || r.presence == Presence::unknown) return;
    Peer& o = found->second;
    if (r.incarnation == o.incarnation && r.presence == Presence::suspect && o.presence == Presence::suspect)
        return suspect(now, r.member, r.suspectedBy);
    if (r.incarnation < o.incarnation || (r.incarnation == o.incarnation && r.presence <= o.presence)) return;
    setPresence(now, r.member, o, r.presence, r.incarnation);
    if (r.presence == Presence::suspect) o.suspectedBy = {r.suspectedBy};
}
void Membership::suspect(Millis now, const std::string& name, std::uint64_t by) {
    Peer& o = peers_[name];
    if (o.presence == Presence::alive) setPresence(now, name, o, Presence::suspect, o.incarnation);
    if (o.presence != Presence::suspect || o.suspectedBy.size() > kMostConfirmed ||
        std::find(o.suspectedBy.begin(), o.suspectedBy.end(), by) != o.suspectedBy.end())
        return;
    o.suspectedBy.push_back(by);
    o.transmissionsLeft =
        std::max(o.transmissionsLeft, transmissionLimit() / 2);  // each further word is news
}
// From the longest time, with nobody else's word, down to the shortest with three others'.
Millis Membership::suspicionTimeout(const Peer& o) const {
    const double least =
        options_.suspicionMultiplier * std::max(1.0, std::log10(peers_.size() + 1.0)) * options_.probePeriod;
    const double words = std::log2(static_cast<double>(std::max<std::size_t>(o.suspectedBy.size(), 1)));
    return scaledByHealth(std::max(least, 4 * least - 3 * least * words / std::log2(kMostConfirmed + 1.0)));
}
void Membership::adjustLocalHealth(int by) {
    localHealthMultiplier_ = std::clamp(localHealthMultiplier_ + by, 0, options_.maxHealthMultiplier);
}

// The own word first: who took this one for gone at an earlier incarnation hears so from it, whoever began. Then what is
// thought of the asked one, so that it can say otherwise. Then the freshest: what was told least.
std::vector<Rumour> Membership::piggyback(Millis now, const std::string& to) {
    std::vector<Rumour> out;
    std::size_t bytes = 0;
    const auto add = [&](Rumour r) {
        const auto size = [](std::uint64_t n) {
            return n < 128 ? 1U : n < 256 ? 2U : n < 65536 ? 3U : n >> 32 == 0 ? 5U : 9U;
        };
        const std::size_t more = 3 + r.member.size() + size(r.incarnation) + size(r.suspectedBy);
        if (out.size() >= kMaxRumours || bytes + more > kMaxRumourBytes) return false;
        bytes += more;
        out.push_back(std::move(r));
        return true;
    };
    const auto word = [this](const Peer& o) {
        return o.suspectedBy.empty() ? 0 : o.suspectedBy[draw_.below(o.suspectedBy.size())];
    };
    add({self_, leaving_ ? Presence::left : Presence::alive, incarnation_, 0});
    if (const auto o = peers_.find(to); o != peers_.end() && o->second.presence > Presence::alive)
        add({to, o->second.presence, o->second.incarnation, word(o->second)});
    std::vector<std::pair<int, const std::string*>> fresh;
    for (const auto& [name, o] : peers_)
        if (o.transmissionsLeft > 0 && name != to) fresh.emplace_back(-o.transmissionsLeft, &name);
    const std::size_t n = std::min(kMaxRumours, fresh.size());
    std::partial_sort(
        fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(n), fresh.end(),
        [](auto& a, auto& b) { return std::tie(a.first, *a.second) < std::tie(b.first, *b.second); });
    for (std::size_t i = 0; i < n; ++i) {
        Peer& o = peers_[*fresh[i].second];
        if (!add({*fresh[i].second, o.presence, o.incarnation, word(o)})) break;
        --o.transmissionsLeft;
    }
    // Who has just come knows nothing of the others: what room is left tells it of some, drawn each time.
    if (const auto o = peers_.find(to); o != peers_.end() && now < o->second.aliveSince + kNewcomer)
        for (std::size_t tries = 0; tries < 2 * kMaxRumours; ++tries) {
            const std::string& name = probeOrder_[draw_.below(probeOrder_.size())];
            const Peer& known = peers_[name];
            if (name == to || known.presence == Presence::unknown || known.transmissionsLeft > 0) continue;
            if (!add({name, known.presence, known.incarnation, word(known)})) break;
        }
    return out;
}

// ---- probes

void Membership::recordContact(Millis now, const std::string& from) {
    Peer& o = peers_[from];
    o.lastHeard = now;
    if (o.presence == Presence::unknown)
        setPresence(now, from, o, Presence::alive, std::max<std::uint64_t>(o.incarnation, 1));
}
void Membership::startProbe(Millis now, std::vector<Message>& out) {
    probe_ = {};
    indirectAt_ = 1e300;
    if (probeOrder_.empty()) return;
    if (probeIndex_ >= probeOrder_.size()) {
        probeIndex_ = 0;
        for (std::size_t i = probeOrder_.size(); i > 1; --i)
            std::swap(probeOrder_[i - 1], probeOrder_[draw_.below(i)]);
    }
    // The gone are looked at too, in their turn but each time with even odds: both sides of a cut may think so.
    for (std::size_t tries = 0; tries < probeOrder_.size(); ++tries) {
        const std::string& name = probeOrder_[probeIndex_++];
        if (probeIndex_ >= probeOrder_.size()) probeIndex_ = 0;
        const Presence p = peers_[name].presence;
        if ((p == Presence::dead || p == Presence::left) && draw_() < 0.5) continue;
        probe_.target = name;
        break;
    }
    if (probe_.target.empty()) return;
    probe_.number = ++lastProbeNumber_;
    probe_.sent = now;
    indirectAt_ = now + scaledByHealth(options_.ackTimeout);
    out.push_back({self_, probe_.target, Ping{probe_.number, piggyback(now, probe_.target)}});
}
// The period's end without an answer. A nack shows that the own link is sound; where none of those that were asked even
// said so much, it is as likely oneself.
void Membership::probeFailed(Millis now) {
    if (probe_.target.empty()) return;
    const Peer& o = peers_[probe_.target];
    if (o.presence == Presence::alive || o.presence == Presence::suspect) {
        if (probe_.helpers > 0 && probe_.nacks == 0) adjustLocalHealth(1);
        suspect(now, probe_.target, hashOf(self_));
    }
    probe_ = {};
}
void Membership::advance(Millis now, std::vector<Message>& out) {
    if (leaving_) return;
    // Woken late by more than a period: it stood still itself. What ran out meanwhile ran out unheard.
    if (const Millis late = now - std::min(probeAt_, indirectAt_);
        options_.localHealthAware && late > options_.probePeriod) {
        adjustLocalHealth(2);
        for (auto& [name, o] : peers_) o.suspectSince += o.presence == Presence::suspect ? late : 0;
        probe_ = {};
        indirectProbes_.clear();
        indirectAt_ = 1e300;
        probeAt_ = now;
    }
    for (auto& [name, o] : peers_)
        if (o.presence == Presence::suspect && now >= o.suspectSince + suspicionTimeout(o))
            setPresence(now, name, o, Presence::dead, o.incarnation);
    std::erase_if(indirectProbes_, [&](const auto& h) {
        if (now < h.second.until) return false;
        out.push_back({self_, h.second.asker, Nack{h.second.number}});
        return true;
    });
    if (now >= indirectAt_ && !probe_.target.empty() && !probe_.indirect) {
        probe_.indirect = true;
        indirectAt_ = 1e300;
        std::vector<std::string> able;
        for (const auto& [name, o] : peers_)
            if (o.presence == Presence::alive && name != probe_.target) able.push_back(name);
        for (int i = 0; i < options_.indirectProbes && !able.empty(); ++i) {
            const auto pick = draw_.below(able.size());
            out.push_back(
                {self_, able[pick], PingRequest{probe_.number, probe_.target, piggyback(now, able[pick])}});
            able.erase(able.begin() + static_cast<std::ptrdiff_t>(pick));
            ++probe_.helpers;
        }
    }
    if (now >= probeAt_) {
        probeFailed(now);
        probeAt_ = now + scaledByHealth(options_.probePeriod) * (0.95 + 0.1 * draw_());
        startProbe(now, out);
    }
}
Millis Membership::nextDeadline() const {
    if (leaving_) return 1e300;
    Millis at = std::min(probeAt_, indirectAt_);
    for (const auto& [number, h] : indirectProbes_) at = std::min(at, h.until);
    return at;
}
void Membership::leave(Millis now, std::vector<Message>& out) {
    if (std::exchange(leaving_, true)) return;
    for (int i = 0; i < options_.indirectProbes * 2 && !probeOrder_.empty(); ++i) {
        const std::string& to = probeOrder_[draw_.below(probeOrder_.size())];
        if (peers_[to].presence == Presence::alive)
            out.push_back({self_, to, Ping{++lastProbeNumber_, piggyback(now, to)}});
    }
}

void Membership::receive(Millis now, const Message& m, std::vector<Message>& out) {
    if (!peers_.contains(m.from) || m.to != self_) return;
    const auto hear = [&](const std::vector<Rumour>& told) {
        for (std::size_t i = 0; i < std::min(told.size(), kMaxRumours); ++i) applyRumour(now, told[i]);
        recordContact(now, m.from);
    };
    if (const auto* ping = std::get_if<Ping>(&m.body)) {
        hear(ping->rumours);
        out.push_back({self_, m.from, Ack{ping->number, piggyback(now, m.from)}});
    } else if (const auto* ask = std::get_if<PingRequest>(&m.body)) {
        hear(ask->rumours);
        if (leaving_ || !peers_.contains(ask->target) || indirectProbes_.size() >= kMostHelping) return;
        indirectProbes_[++lastProbeNumber_] = {m.from, ask->number, ask->target, now + options_.ackTimeout};
        out.push_back({self_, ask->target, Ping{lastProbeNumber_, piggyback(now, ask->target)}});
    } else if (const auto* ack = std::get_if<Ack>(&m.body)) {
        hear(ack->rumours);
        if (const auto h = indirectProbes_.find(ack->number);
            h != indirectProbes_.end() && h->second.target == m.from) {
            out.push_back({self_, h->second.asker, Ack{h->second.number, {}}});
            indirectProbes_.erase(h);
        }
        // By way of another it is the helper that says so: the number is enough, it was given to nobody else.
        if (ack->number == probe_.number && !probe_.target.empty()) {
            probe_ = {};
            indirectAt_ = 1e300;
            adjustLocalHealth(-1);
        }
    } else if (const auto* nack = std::get_if<Nack>(&m.body)) {
        recordContact(now, m.from);
        if (nack->number == probe_.number) ++probe_.nacks;
    }
}

}  // namespace beechpoint::gossip
