#include "gateway/load_datagram.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::gateway {

namespace {

constexpr std::uint8_t kMark = 0xB7;  // with the version of the form in its low bits
constexpr std::size_t kHeadBytes = 1 + 1 + 8 + 4 + 1 + 1 + 1;
constexpr std::size_t kSpeedBytes = 4 + 1;
constexpr double kTicksPerSlowness = 64;
constexpr std::size_t kHostBytes = 4 + 1 + 3;
constexpr std::uint32_t kMostWaiting = 0xFF, kMostSlowness = 0xFF, kMostWork = 0xFFFFFF;
constexpr double kTicksPerS = 10'000;

void put(std::string& out, std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
}

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    std::uint64_t take(std::size_t bytes) {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < bytes; ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes_[at_ + i])) << (8 * i);
        at_ += bytes;
        return value;
    }

private:
    std::string_view bytes_;
    std::size_t at_ = 0;
};

std::uint64_t bounded(double value, std::uint32_t most) {
    return static_cast<std::uint64_t>(std::clamp(std::ceil(value), 0.0, static_cast<double>(most)));
}

}  // namespace

std::string encode(const LoadDatagram& datagram) {
    std::string out;
    const std::size_t count = std::min(datagram.hosts.size(), LoadDatagram::kMostHosts);
    put(out, kMark, 1);
    put(out, static_cast<std::uint8_t>(datagram.kind), 1);
    put(out, datagram.source, 8);
    put(out, datagram.sequence, 4);
    put(out, datagram.full ? 1 : 0, 1);
    const std::size_t speeds = std::min(datagram.speeds.size(), LoadDatagram::kMostSpeeds);
    put(out, count, 1);
    put(out, speeds, 1);
    for (std::size_t i = 0; i < count; ++i) {
        const dispatch::HostLoad& host = datagram.hosts[i];
        put(out, host.host, 4);
        put(out, bounded(host.waiting, kMostWaiting), 1);
        put(out, bounded(host.workS * kTicksPerS, kMostWork), 3);
    }
    for (std::size_t i = 0; i < speeds; ++i) {
        put(out, datagram.speeds[i].host, 4);
        put(out, bounded(datagram.speeds[i].slowness * kTicksPerSlowness, kMostSlowness), 1);
    }
    return out;
}

std::optional<LoadDatagram> decodeLoad(std::string_view bytes) {
    if (bytes.size() < kHeadBytes) return std::nullopt;
    Reader reader(bytes);
    if (reader.take(1) != kMark) return std::nullopt;
    LoadDatagram datagram;
    const std::uint64_t kind = reader.take(1);
    if (kind < static_cast<std::uint64_t>(LoadKind::gateway)) return std::nullopt;
    if (kind > static_cast<std::uint64_t>(LoadKind::forwarded)) return std::nullopt;
    datagram.kind = static_cast<LoadKind>(kind);
    datagram.source = reader.take(8);
    datagram.sequence = static_cast<std::uint32_t>(reader.take(4));
    datagram.full = reader.take(1) != 0;
    const std::size_t count = reader.take(1);
    const std::size_t speeds = reader.take(1);
    if (count > LoadDatagram::kMostHosts || speeds > LoadDatagram::kMostSpeeds) return std::nullopt;
    if (bytes.size() != kHeadBytes + count * kHostBytes + speeds * kSpeedBytes) return std::nullopt;
    for (std::size_t i = 0; i < count; ++i) {
        dispatch::HostLoad host;
        host.host = static_cast<std::uint32_t>(reader.take(4));
        host.waiting = static_cast<int>(reader.take(1));
        host.workS = static_cast<double>(reader.take(3)) / kTicksPerS;
        datagram.hosts.push_back(host);
    }
    for (std::size_t i = 0; i < speeds; ++i) {
        dispatch::HostSpeed speed;
        speed.host = static_cast<std::uint32_t>(reader.take(4));
        speed.slowness = static_cast<double>(reader.take(1)) / kTicksPerSlowness;
        datagram.speeds.push_back(speed);
    }
    return datagram;
}

}  // namespace beechpoint::gateway
