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
        if (name != self_) others_[name], turn_.push_back(name);
    at_ = turn_.size();
    probeAt_ = now + draw_() * options_.period;  // a release starts many at once: no step in common
}
// How often each one tells a rumour: enough for it to reach all with very high odds.
int Membership::repeats() const {
    return 3 * static_cast<int>(std::ceil(std::log10(others_.size() + 2.0))) + 1;
}

Presence Membership::of(const std::string& member) const {
    if (member == self_) return leaving_ ? Presence::left : Presence::alive;
    const auto o = others_.find(member);
    return o == others_.end() ? Presence::unknown : o->second.presence;
}
Millis Membership::heard(const std::string& member) const {
    const auto o = others_.find(member);
    return o == others_.end() ? -1e300 : o->second.heard;
}
std::size_t Membership::count(Presence presence) const {
    return static_cast<std::size_t>(std::count_if(
        others_.begin(), others_.end(), [&](const auto& o) { return o.second.presence == presence; }));
}

// ---- what is believed

void Membership::set(Millis now, const std::string& name, Other& o, Presence presence,
                     std::uint64_t incarnation) {
    if (o.presence != presence) changes_.push_back({name, presence, incarnation});
    if (presence == Presence::alive && o.presence != Presence::suspect) o.cameAt = now;
    if (presence == Presence::suspect && o.presence != Presence::suspect) o.since = now;
    if (presence != Presence::suspect) o.confirmed.clear();
    o.presence = presence;
    o.incarnation = incarnation;
    o.left = repeats();
}
void Membership::refute(std::uint64_t above) {
    incarnation_ = std::max(incarnation_, above) + 1;
    ++refuted_;
}
void Membership::believe(Millis now, const Rumour& r) {
    if (r.member == self_) {
        // A higher one is of an earlier life of this name; at the own one anything but alive is wrong, unless it goes.
        if (leaving_ || (r.presence == Presence::alive && r.incarnation <= incarnation_)) return;
        if (r.incarnation < incarnation_) return;  // of long ago: the own word is on every message
        refute(r.incarnation);
        if (r.presence == Presence::suspect) slower(1);
        return;
    }
    const auto found = others_.find(r.member);
    if (found == others_.end() || r.presence == Presence::unknown) return;
    Other& o = found->second;
    if (r.incarnation == o.incarnation && r.presence == Presence::suspect && o.presence == Presence::suspect)
        return suspect(now, r.member, r.by);
    if (r.incarnation < o.incarnation || (r.incarnation == o.incarnation && r.presence <= o.presence)) return;
    set(now, r.member, o, r.presence, r.incarnation);
    if (r.presence == Presence::suspect) o.confirmed = {r.by};
}
void Membership::suspect(Millis now, const std::string& name, std::uint64_t by) {
    Other& o = others_[name];
    if (o.presence == Presence::alive) set(now, name, o, Presence::suspect, o.incarnation);
    if (o.presence != Presence::suspect || o.confirmed.size() > kMostConfirmed ||
        std::find(o.confirmed.begin(), o.confirmed.end(), by) != o.confirmed.end())
        return;
    o.confirmed.push_back(by);
    o.left = std::max(o.left, repeats() / 2);  // each further word is news
}
// From the longest time, with nobody else's word, down to the shortest with three others'.
Millis Membership::suspicionOf(const Other& o) const {
    const double least =
        options_.suspicion * std::max(1.0, std::log10(others_.size() + 1.0)) * options_.period;
    const double words = std::log2(static_cast<double>(std::max<std::size_t>(o.confirmed.size(), 1)));
    return slow(std::max(least, 4 * least - 3 * least * words / std::log2(kMostConfirmed + 1.0)));
}
void Membership::slower(int by) { slowness_ = std::clamp(slowness_ + by, 0, options_.worst); }

// The own word first: who took this one for gone at an earlier incarnation hears so from it, whoever began. Then what is
// thought of the asked one, so that it can say otherwise. Then the freshest: what was told least.
std::vector<Rumour> Membership::rumours(Millis now, const std::string& to) {
    std::vector<Rumour> out;
    std::size_t bytes = 0;
    const auto add = [&](Rumour r) {
        const auto size = [](std::uint64_t n) {
            return n < 128 ? 1U : n < 256 ? 2U : n < 65536 ? 3U : n >> 32 == 0 ? 5U : 9U;
        };
        const std::size_t more = 3 + r.member.size() + size(r.incarnation) + size(r.by);
        if (out.size() >= kRumours || bytes + more > kRumourBytes) return false;
        bytes += more;
        out.push_back(std::move(r));
        return true;
    };
    const auto word = [this](const Other& o) {
        return o.confirmed.empty() ? 0 : o.confirmed[draw_.below(o.confirmed.size())];
    };
    add({self_, leaving_ ? Presence::left : Presence::alive, incarnation_, 0});
    if (const auto o = others_.find(to); o != others_.end() && o->second.presence > Presence::alive)
        add({to, o->second.presence, o->second.incarnation, word(o->second)});
    std::vector<std::pair<int, const std::string*>> fresh;
    for (const auto& [name, o] : others_)
        if (o.left > 0 && name != to) fresh.emplace_back(-o.left, &name);
    const std::size_t n = std::min(kRumours, fresh.size());
    std::partial_sort(
        fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(n), fresh.end(),
        [](auto& a, auto& b) { return std::tie(a.first, *a.second) < std::tie(b.first, *b.second); });
    for (std::size_t i = 0; i < n; ++i) {
        Other& o = others_[*fresh[i].second];
        if (!add({*fresh[i].second, o.presence, o.incarnation, word(o)})) break;
        --o.left;
    }
    // Who has just come knows nothing of the others: what room is left tells it of some, drawn each time.
    if (const auto o = others_.find(to); o != others_.end() && now < o->second.cameAt + kNewcomer)
        for (std::size_t tries = 0; tries < 2 * kRumours; ++tries) {
            const std::string& name = turn_[draw_.below(turn_.size())];
            const Other& known = others_[name];
            if (name == to || known.presence == Presence::unknown || known.left > 0) continue;
            if (!add({name, known.presence, known.incarnation, word(known)})) break;
        }
    return out;
}

// ---- probes

void Membership::hearFrom(Millis now, const std::string& from) {
    Other& o = others_[from];
    o.heard = now;
    if (o.presence == Presence::unknown)
        set(now, from, o, Presence::alive, std::max<std::uint64_t>(o.incarnation, 1));
}
void Membership::probe(Millis now, std::vector<Message>& out) {
    probe_ = {};
    askAt_ = 1e300;
    if (turn_.empty()) return;
    if (at_ >= turn_.size()) {
        at_ = 0;
        for (std::size_t i = turn_.size(); i > 1; --i) std::swap(turn_[i - 1], turn_[draw_.below(i)]);
    }
    // The gone are looked at too, in their turn but each time with even odds: both sides of a cut may think so.
    for (std::size_t tries = 0; tries < turn_.size(); ++tries) {
        const std::string& name = turn_[at_++];
        if (at_ >= turn_.size()) at_ = 0;
        const Presence p = others_[name].presence;
        if ((p == Presence::dead || p == Presence::left) && draw_() < 0.5) continue;
        probe_.target = name;
        break;
    }
    if (probe_.target.empty()) return;
    probe_.number = ++number_;
    probe_.sent = now;
    askAt_ = now + slow(options_.answer);
    out.push_back({self_, probe_.target, Ping{probe_.number, rumours(now, probe_.target)}});
}
// The period's end without an answer. A nack shows that the own link is sound; where none of those that were asked even
// said so much, it is as likely oneself.
void Membership::failed(Millis now) {
    if (probe_.target.empty()) return;
    const Other& o = others_[probe_.target];
    if (o.presence == Presence::alive || o.presence == Presence::suspect) {
        if (probe_.helpers > 0 && probe_.nacks == 0) slower(1);
        suspect(now, probe_.target, hashOf(self_));
    }
    probe_ = {};
}
void Membership::advance(Millis now, std::vector<Message>& out) {
    if (leaving_) return;
    // Woken late by more than a period: it stood still itself. What ran out meanwhile ran out unheard.
    if (const Millis late = now - std::min(probeAt_, askAt_);
        options_.doubtsItself && late > options_.period) {
        slower(2);
        for (auto& [name, o] : others_) o.since += o.presence == Presence::suspect ? late : 0;
        probe_ = {};
        helping_.clear();
        askAt_ = 1e300;
        probeAt_ = now;
    }
    for (auto& [name, o] : others_)
        if (o.presence == Presence::suspect && now >= o.since + suspicionOf(o))
            set(now, name, o, Presence::dead, o.incarnation);
    std::erase_if(helping_, [&](const auto& h) {
        if (now < h.second.until) return false;
        out.push_back({self_, h.second.asker, Nack{h.second.number}});
        return true;
    });
    if (now >= askAt_ && !probe_.target.empty() && !probe_.asked) {
        probe_.asked = true;
        askAt_ = 1e300;
        std::vector<std::string> able;
        for (const auto& [name, o] : others_)
            if (o.presence == Presence::alive && name != probe_.target) able.push_back(name);
        for (int i = 0; i < options_.helpers && !able.empty(); ++i) {
            const auto pick = draw_.below(able.size());
            out.push_back(
                {self_, able[pick], PingAsk{probe_.number, probe_.target, rumours(now, able[pick])}});
            able.erase(able.begin() + static_cast<std::ptrdiff_t>(pick));
            ++probe_.helpers;
        }
    }
    if (now >= probeAt_) {
        failed(now);
        probeAt_ = now + slow(options_.period) * (0.95 + 0.1 * draw_());
        probe(now, out);
    }
}
Millis Membership::next() const {
    if (leaving_) return 1e300;
    Millis at = std::min(probeAt_, askAt_);
    for (const auto& [number, h] : helping_) at = std::min(at, h.until);
    return at;
}
void Membership::leave(Millis now, std::vector<Message>& out) {
    if (std::exchange(leaving_, true)) return;
    for (int i = 0; i < options_.helpers * 2 && !turn_.empty(); ++i) {
        const std::string& to = turn_[draw_.below(turn_.size())];
        if (others_[to].presence == Presence::alive)
            out.push_back({self_, to, Ping{++number_, rumours(now, to)}});
    }
}

void Membership::receive(Millis now, const Message& m, std::vector<Message>& out) {
    if (!others_.contains(m.from) || m.to != self_) return;
    const auto hear = [&](const std::vector<Rumour>& told) {
        for (std::size_t i = 0; i < std::min(told.size(), kRumours); ++i) believe(now, told[i]);
        hearFrom(now, m.from);
    };
    if (const auto* ping = std::get_if<Ping>(&m.body)) {
        hear(ping->rumours);
        out.push_back({self_, m.from, Ack{ping->number, rumours(now, m.from)}});
    } else if (const auto* ask = std::get_if<PingAsk>(&m.body)) {
        hear(ask->rumours);
        if (leaving_ || !others_.contains(ask->target) || helping_.size() >= kMostHelping) return;
        helping_[++number_] = {m.from, ask->number, ask->target, now + options_.answer};
        out.push_back({self_, ask->target, Ping{number_, rumours(now, ask->target)}});
    } else if (const auto* ack = std::get_if<Ack>(&m.body)) {
        hear(ack->rumours);
        if (const auto h = helping_.find(ack->number); h != helping_.end() && h->second.target == m.from) {
            out.push_back({self_, h->second.asker, Ack{h->second.number, {}}});
            helping_.erase(h);
        }
        // By way of another it is the helper that says so: the number is enough, it was given to nobody else.
        if (ack->number == probe_.number && !probe_.target.empty()) {
            probe_ = {};
            askAt_ = 1e300;
            slower(-1);
        }
    } else if (const auto* nack = std::get_if<Nack>(&m.body)) {
        hearFrom(now, m.from);
        if (nack->number == probe_.number) ++probe_.nacks;
    }
}

}  // namespace beechpoint::gossip
