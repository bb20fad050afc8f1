#include "emulator/directory.hpp"

#include <algorithm>

namespace beechpoint::emulator {

Directory::Directory(int gatherers, Range lag, std::uint64_t seed)
    : agents_(static_cast<std::size_t>(gatherers)), lag_(lag), seed_(seed) {}

void Directory::begin(const std::vector<ListedHost>& hosts) {
    ++generation_;
    for (Agent& agent : agents_) {
        agent.generation = generation_;
        for (const ListedHost& host : hosts) agent.known[host.id] = host;
    }
}

void Directory::change(Millis now, const ListedHost& host) {
    ++generation_;
    for (std::size_t g = 0; g < agents_.size(); ++g) {
        Agent& agent = agents_[g];
        const Millis lag = Draw(seed_, Purpose::listLag, g)
                               .between(lag_.from, lag_.to, static_cast<std::uint64_t>(generation_));
        // Word travels in order: a later change is never told before an earlier one.
        const Millis least = agent.pending.empty() ? 0 : agent.pending.back().visibleAt;
        agent.pending.push_back({generation_, std::max(now + lag, least), host});
    }
}

void Directory::mute(int gatherer) { ++agents_.at(static_cast<std::size_t>(gatherer)).mutes; }

void Directory::unmute(int gatherer) {
    Agent& agent = agents_.at(static_cast<std::size_t>(gatherer));
    if (agent.mutes > 0) --agent.mutes;
}

Millis Directory::next() const {
    Millis at = 1e300;
    for (const Agent& agent : agents_)
        if (agent.mutes == 0 && !agent.pending.empty()) at = std::min(at, agent.pending.front().visibleAt);
    return at;
}

void Directory::advance(Millis now, std::vector<ListingTold>& out) {
    for (std::size_t g = 0; g < agents_.size(); ++g) {
        Agent& agent = agents_[g];
        if (agent.mutes > 0) continue;
        Listing listing;
        while (!agent.pending.empty() && agent.pending.front().visibleAt <= now) {
            const Change change = agent.pending.front();
            agent.pending.pop_front();
            agent.past.push_back(change);
            agent.generation = listing.generation = change.generation;
            if (change.host.state == ListedHost::State::gone)
                agent.known.erase(change.host.id);
            else
                agent.known[change.host.id] = change.host;
            // One line has each host once, as it is at its end.
            std::erase_if(listing.hosts, [&](const ListedHost& h) { return h.id == change.host.id; });
            listing.hosts.push_back(change.host);
        }
        if (!listing.hosts.empty()) out.push_back({static_cast<int>(g), std::move(listing)});
    }
}

Listing Directory::told(int gatherer) const {
    const Agent& agent = agents_.at(static_cast<std::size_t>(gatherer));
    Listing listing{agent.generation, true, {}};
    for (const auto& [id, host] : agent.known) listing.hosts.push_back(host);
    return listing;
}

Listing Directory::since(int gatherer, std::int64_t generation) const {
    const Agent& agent = agents_.at(static_cast<std::size_t>(gatherer));
    const std::int64_t first = agent.past.empty() ? agent.generation : agent.past.front().generation - 1;
    if (generation < first || generation > agent.generation) return told(gatherer);
    Listing listing{agent.generation, false, {}};
    for (const Change& change : agent.past) {
        if (change.generation <= generation) continue;
        std::erase_if(listing.hosts, [&](const ListedHost& h) { return h.id == change.host.id; });
        listing.hosts.push_back(change.host);
    }
    return listing;
}

}  // namespace beechpoint::emulator
