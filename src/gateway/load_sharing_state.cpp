#include "gateway/load_sharing_state.hpp"

#include <algorithm>
#include <utility>

#include "dispatch/prefix_affinity.hpp"

namespace beechpoint::gateway {

namespace {

std::string ipOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

std::vector<dispatch::HostLoad> listOf(const std::map<std::uint32_t, dispatch::HostLoad>& hosts) {
    std::vector<dispatch::HostLoad> list;
    for (const auto& [key, load] : hosts) list.push_back(load);
    return list;
}

void replace(std::map<std::uint32_t, dispatch::HostLoad>& hosts, const dispatch::HostLoad& load) {
    if (load.waiting > 0)
        hosts[load.host] = load;
    else
        hosts.erase(load.host);
}

}  // namespace

LoadSharingState::LoadSharingState(Locality locality)
    : locality_(std::move(locality)),
      zoneSource_(dispatch::rendezvousWeight(locality_.session, locality_.zone)) {}

void LoadSharingState::gateways(const std::vector<leases::Gateway>& all) {
    peers_.clear();
    near_.clear();
    far_.clear();
    for (const leases::Gateway& gateway : all) {
        if (gateway.name == locality_.name || gateway.frontAddress.empty()) continue;
        const std::string ip = ipOf(gateway.frontAddress);
        if (gateway.zone == locality_.zone) {
            if (peers_.size() < kMostPeers) peers_.push_back(ip);
        } else if (!gateway.draining) {
            (gateway.region == locality_.region ? near_ : far_)[gateway.zone].push_back(ip);
        }
    }
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::ownLoad(const dispatch::ReportLoad& changed) {
    for (const dispatch::HostLoad& load : changed.hosts) replace(own_, load);
    keepSpeeds(changed.speeds);
    return toZone({LoadKind::gateway, locality_.session, ++sequence_, false, changed.hosts, changed.speeds});
}

LoadSharingState::Learnt LoadSharingState::received(Millis now, std::string_view bytes) {
    const std::optional<LoadDatagram> datagram = decodeLoad(bytes);
    if (!datagram || datagram->source == locality_.session) return {};
    if (sources_.size() >= kMostSources && !sources_.contains(datagram->source)) return {};
    Source& source = sources_[datagram->source];
    if (source.heardAt > 0 && datagram->sequence <= source.sequence) return {};
    source.sequence = datagram->sequence;
    source.heardAt = now;
    source.gateway = datagram->kind == LoadKind::gateway;
    if (source.gateway) {
        if (datagram->full) source.hosts.clear();
        for (const dispatch::HostLoad& load : datagram->hosts) replace(source.hosts, load);
        keepSpeeds(datagram->speeds);
    }
    Learnt learnt;
    const Millis lasts = source.gateway ? kHeardLately : kDigestLasts;
    learnt.load =
        dispatch::PeerLoad{datagram->source, datagram->full, datagram->hosts, lasts, datagram->speeds};
    if (datagram->kind == LoadKind::zone) {
        LoadDatagram next = *datagram;
        next.kind = LoadKind::forwarded;
        learnt.forward = toZone(next);
    }
    return learnt;
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::onTimer(Millis now) {
    std::vector<Outgoing> out;
    if (now >= wholeAt_ + kWholeEvery) {
        wholeAt_ = now;
        forgetSilent(now);
        out = toZone({LoadKind::gateway, locality_.session, ++sequence_, true, listOf(own_), {}});
    }
    if (!speaks(now)) return out;
    if (now >= digestAt_ + kDigestEvery) {
        digestAt_ = now;
        digest(now, false, out);
    }
    if (now >= farDigestAt_ + kFarDigestEvery) {
        farDigestAt_ = now;
        digest(now, true, out);
    }
    return out;
}

bool LoadSharingState::speaks(Millis now) const {
    return std::ranges::none_of(sources_, [&](const auto& entry) {
        const Source& source = entry.second;
        return source.gateway && source.heardAt > now - kHeardLately && entry.first < locality_.session;
    });
}

std::vector<dispatch::HostLoad> LoadSharingState::zoneLoad() const {
    Hosts sum = own_;
    for (const auto& [name, source] : sources_) {
        for (const auto& [key, load] : source.hosts) {
            dispatch::HostLoad& total = sum[key];
            total.host = key;
            total.waiting += load.waiting;
            total.workS += load.workS;
        }
    }
    return listOf(sum);
}

// To another gateway of each zone in turn: one that is dead is not spoken to for long.
void LoadSharingState::digest(Millis, bool far, std::vector<Outgoing>& out) {
    const std::vector<dispatch::HostLoad> load = zoneLoad();
    bool& waited = far ? waitedFar_ : waitedNear_;
    std::vector<dispatch::HostSpeed>& speeds = far ? speedsFar_ : speedsNear_;
    if (load.empty() && speeds.empty() && !waited) return;
    waited = !load.empty();
    ++turn_;
    const std::string bytes = encode({LoadKind::zone, zoneSource_, ++digestSequence_, true, load, speeds});
    speeds.clear();
    for (const auto& [zone, addresses] : far ? far_ : near_)
        out.push_back({addresses[turn_ % addresses.size()], bytes});
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::toZone(const LoadDatagram& datagram) const {
    std::vector<Outgoing> out;
    const std::string bytes = encode(datagram);
    for (const std::string& ip : peers_) out.push_back({ip, bytes});
    return out;
}

// The newest are dropped where there are more than a datagram holds.
void LoadSharingState::keepSpeeds(const std::vector<dispatch::HostSpeed>& speeds) {
    for (auto* kept : {&speedsNear_, &speedsFar_})
        for (const dispatch::HostSpeed& speed : speeds)
            if (kept->size() < LoadDatagram::kMostSpeeds) kept->push_back(speed);
}

void LoadSharingState::forgetSilent(Millis now) {
    std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.heardAt > kHeardLately; });
}

}  // namespace beechpoint::gateway
