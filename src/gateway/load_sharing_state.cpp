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
    near_.zones.clear();
    far_.zones.clear();
    for (const leases::Gateway& gateway : all) {
        if (gateway.name == locality_.name || gateway.frontAddress.empty()) continue;
        const std::string ip = ipOf(gateway.frontAddress);
        if (gateway.zone == locality_.zone) {
            if (peers_.size() < kMaxPeers) peers_.push_back(ip);
        } else if (!gateway.draining) {
            DigestReceivers& receivers = gateway.region == locality_.region ? near_ : far_;
            receivers.zones[gateway.zone].push_back(ip);
        }
    }
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::ownLoad(const dispatch::ReportLoad& changed) {
    for (const dispatch::HostLoad& load : changed.hosts) replace(own_, load);
    addSpeeds(changed.speeds);
    return toOwnZone(
        {LoadKind::gateway, locality_.session, ++sequence_, false, changed.hosts, changed.speeds});
}

LoadSharingState::Received LoadSharingState::received(Millis now, std::string_view bytes) {
    const std::optional<LoadDatagram> datagram = decodeLoad(bytes);
    if (!datagram || datagram->source == locality_.session) return {};
    if (sources_.size() >= kMaxSources && !sources_.contains(datagram->source)) return {};
    if (isDuplicate(*datagram)) return {};
    store(now, *datagram);
    Received received;
    const Millis lifetime = datagram->kind == LoadKind::gateway ? kPeerTimeout : kDigestLifetime;
    received.load =
        dispatch::PeerLoad{datagram->source, datagram->full, datagram->hosts, lifetime, datagram->speeds};
    if (datagram->kind == LoadKind::zone) {
        LoadDatagram forwarded = *datagram;
        forwarded.kind = LoadKind::forwarded;
        received.forward = toOwnZone(forwarded);
    }
    return received;
}

// Or older than the last one of its source.
bool LoadSharingState::isDuplicate(const LoadDatagram& datagram) const {
    const auto source = sources_.find(datagram.source);
    if (source == sources_.end() || source->second.receivedAt <= 0) return false;
    return datagram.sequence <= source->second.sequence;
}

void LoadSharingState::store(Millis now, const LoadDatagram& datagram) {
    Source& source = sources_[datagram.source];
    source.sequence = datagram.sequence;
    source.receivedAt = now;
    source.kind = datagram.kind;
    if (!isGateway(source)) return;
    if (datagram.full) source.hosts.clear();
    for (const dispatch::HostLoad& load : datagram.hosts) replace(source.hosts, load);
    addSpeeds(datagram.speeds);
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::onTimer(Millis now) {
    std::vector<Outgoing> out;
    if (now >= fullReportAt_ + kFullReportPeriod) {
        fullReportAt_ = now;
        removeTimedOut(now);
        out = toOwnZone({LoadKind::gateway, locality_.session, ++sequence_, true, listOf(own_), {}});
    }
    if (!isSpeaker(now)) return out;
    if (now >= near_.sentAt + kDigestPeriod) {
        near_.sentAt = now;
        sendDigest(near_, out);
    }
    if (now >= far_.sentAt + kFarDigestPeriod) {
        far_.sentAt = now;
        sendDigest(far_, out);
    }
    return out;
}

bool LoadSharingState::isSpeaker(Millis now) const {
    return std::ranges::none_of(sources_, [&](const auto& entry) {
        const Source& source = entry.second;
        const bool live = isGateway(source) && source.receivedAt > now - kPeerTimeout;
        return live && entry.first < locality_.session;
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

// To the gateways of each zone in turn: one that is lost does not keep its zone uninformed for long. A digest without load is
// sent once, so that the receivers know of the end.
void LoadSharingState::sendDigest(DigestReceivers& receivers, std::vector<Outgoing>& out) {
    const std::vector<dispatch::HostLoad> load = zoneLoad();
    if (load.empty() && receivers.speeds.empty() && !receivers.hadLoad) return;
    receivers.hadLoad = !load.empty();
    ++turn_;
    const std::string bytes =
        encode({LoadKind::zone, zoneSource_, ++digestSequence_, true, load, receivers.speeds});
    receivers.speeds.clear();
    for (const auto& [zone, addresses] : receivers.zones)
        out.push_back({addresses[turn_ % addresses.size()], bytes});
}

std::vector<LoadSharingState::Outgoing> LoadSharingState::toOwnZone(const LoadDatagram& datagram) const {
    std::vector<Outgoing> out;
    const std::string bytes = encode(datagram);
    for (const std::string& ip : peers_) out.push_back({ip, bytes});
    return out;
}

// The newest are dropped where there are more than a datagram carries.
void LoadSharingState::addSpeeds(const std::vector<dispatch::HostSpeed>& speeds) {
    for (DigestReceivers* receivers : {&near_, &far_})
        for (const dispatch::HostSpeed& speed : speeds)
            if (receivers->speeds.size() < LoadDatagram::kMaxSpeeds) receivers->speeds.push_back(speed);
}

void LoadSharingState::removeTimedOut(Millis now) {
    std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.receivedAt > kPeerTimeout; });
}

}  // namespace beechpoint::gateway
