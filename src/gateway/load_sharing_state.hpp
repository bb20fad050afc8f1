/// Decides which gateways are sent this one's reported load of the hosts, and when. A state machine free of I/O: events come with
/// the time, the datagrams to send and what was received come back. Not thread-safe.
///
///   own load changes      sent at once to the gateways of the own zone; all of it each kFullReportPeriod, which also is a heartbeat
///   speaker of a zone     the gateway with the lowest session among those not timed out. Each kDigestPeriod, where something waits
///                         or did before, it sends one gateway of each other zone of the region the total load of its zone; each
///                         kFarDigestPeriod one of each zone of other regions
///   digest of a zone      forwarded once to the gateways of the own zone
///
/// Datagrams may be lost, duplicated and reordered: figures are absolute, older sequences are dropped.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "gateway/load_datagram.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::gateway {

class LoadSharingState {
public:
    static constexpr Millis kFullReportPeriod = 1000;
    static constexpr Millis kDigestPeriod = 50;
    static constexpr Millis kFarDigestPeriod = 200;
    static constexpr Millis kPeerTimeout =
        2500;  ///< without a datagram a gateway counts as lost after so long
    static constexpr Millis kDigestLifetime = 700;    ///< without a newer one
    static constexpr std::size_t kMaxPeers = 128;     ///< of the own zone
    static constexpr std::size_t kMaxSources = 1024;  ///< datagrams of further ones are dropped

    /// This gateway and where it stands.
    struct Locality {
        std::string name, zone, region;
        std::uint64_t session = 0;
    };
    struct Outgoing {
        std::string address;  ///< IP of the receiver; its port is that of this gateway
        std::string bytes;
    };
    struct Received {
        std::optional<dispatch::PeerLoad> load;  ///< nothing: the datagram changes nothing
        std::vector<Outgoing> forward;
    };

    explicit LoadSharingState(Locality locality);

    /// All gateways, as control last reported them.
    void gateways(const std::vector<leases::Gateway>& all);
    /// This gateway's load has changed at these hosts.
    std::vector<Outgoing> ownLoad(const dispatch::ReportLoad& changed);
    Received received(Millis now, std::string_view bytes);
    /// To be called each kDigestPeriod.
    std::vector<Outgoing> onTimer(Millis now);

private:
    using Hosts = std::map<std::uint32_t, dispatch::HostLoad>;
    using AddressesByZone = std::map<std::string, std::vector<std::string>>;  // IPs

    // A gateway of the own zone, or the digest of another zone.
    struct Source {
        std::uint32_t sequence = 0;
        Millis receivedAt = 0;  // the last datagram; 0: none
        LoadKind kind = LoadKind::gateway;
        Hosts hosts;  // of a gateway
    };
    // Other zones, which are sent digests of the own one.
    struct DigestReceivers {
        AddressesByZone zones;
        std::vector<dispatch::HostSpeed> speeds;  // measured in the own zone since the last digest
        bool hadLoad = false;                     // the last digest named a host
        Millis sentAt = 0;
    };

    static bool isGateway(const Source& source) { return source.kind == LoadKind::gateway; }
    bool isDuplicate(const LoadDatagram& datagram) const;
    void store(Millis now, const LoadDatagram& datagram);
    bool isSpeaker(Millis now) const;
    std::vector<dispatch::HostLoad> zoneLoad() const;
    void sendDigest(DigestReceivers& receivers, std::vector<Outgoing>& out);
    std::vector<Outgoing> toOwnZone(const LoadDatagram& datagram) const;
    void removeTimedOut(Millis now);
    void addSpeeds(const std::vector<dispatch::HostSpeed>& speeds);

    Locality locality_;
    std::uint64_t zoneSource_;        // names this zone's digests, as long as this gateway speaks
    std::vector<std::string> peers_;  // IPs of the own zone
    DigestReceivers near_;            // other zones of the region
    DigestReceivers far_;             // zones of other regions
    Hosts own_;
    std::unordered_map<std::uint64_t, Source> sources_;
    std::uint32_t sequence_ = 0;
    std::uint32_t digestSequence_ = 0;
    Millis fullReportAt_ = 0;
    std::size_t turn_ = 0;  // which gateway of another zone is next
};

}  // namespace beechpoint::gateway
