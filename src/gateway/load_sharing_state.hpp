// Which gateways hear from this one what waits at the hosts, and when. A state machine free of I/O: events come with the time, the
// datagrams to send and what is learnt come back.
//
//   own load changes      told at once to the gateways of the own zone; all of it each kWholeEvery, which also says that this one lives
//   speaker of a zone     the gateway with the lowest session among those heard lately. Each kDigestEvery, where something waits or did
//                         before, it tells one gateway of each other zone of the region what waits for its whole zone; each
//                         kFarDigestEvery one of each zone of other regions
//   digest of a zone      handed on once to the gateways of the own zone
//
// Datagrams may be lost, doubled and reordered: figures are absolute, older sequences are dropped.
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
    static constexpr Millis kWholeEvery = 1000;
    static constexpr Millis kDigestEvery = 50;
    static constexpr Millis kFarDigestEvery = 200;
    static constexpr Millis kHeardLately = 2500;
    static constexpr Millis kDigestLasts = 700;     // without a newer one
    static constexpr std::size_t kMostPeers = 128;  // of the own zone
    static constexpr std::size_t kMostSources = 1024;

    struct Locality {
        std::string name, zone, region;
        std::uint64_t session = 0;
    };
    struct Outgoing {
        std::string address;  // IP of the receiver; its port is that of this gateway
        std::string bytes;
    };
    struct Learnt {
        std::optional<dispatch::PeerLoad> load;
        std::vector<Outgoing> forward;
    };

    explicit LoadSharingState(Locality locality);

    // The gateways that control told last.
    void gateways(const std::vector<leases::Gateway>& all);
    std::vector<Outgoing> ownLoad(const dispatch::ReportLoad& changed);
    Learnt received(Millis now, std::string_view bytes);
    std::vector<Outgoing> onTimer(Millis now);

private:
    using Hosts = std::map<std::uint32_t, dispatch::HostLoad>;
    struct Source {
        std::uint32_t sequence = 0;
        Millis heardAt = 0;
        bool gateway = false;  // of the own zone
        Hosts hosts;           // of such a one
    };

    bool speaks(Millis now) const;
    std::vector<dispatch::HostLoad> zoneLoad() const;
    void digest(Millis now, bool far, std::vector<Outgoing>& out);
    std::vector<Outgoing> toZone(const LoadDatagram& datagram) const;
    void forgetSilent(Millis now);
    void keepSpeeds(const std::vector<dispatch::HostSpeed>& speeds);

    Locality locality_;
    std::uint64_t zoneSource_;
    std::vector<std::string> peers_;                              // IPs of the own zone
    std::map<std::string, std::vector<std::string>> near_, far_;  // by zone, IPs
    Hosts own_;
    std::unordered_map<std::uint64_t, Source> sources_;
    std::uint32_t sequence_ = 0, digestSequence_ = 0;
    Millis wholeAt_ = 0, digestAt_ = 0, farDigestAt_ = 0;
    std::vector<dispatch::HostSpeed> speedsNear_, speedsFar_;  // measured in the zone since the last digests
    bool waitedNear_ = false, waitedFar_ = false;              // something was in the last digest
    std::size_t turn_ = 0;
};

}  // namespace beechpoint::gateway
