#include "gateway/load_datagram.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::gateway {

namespace {

constexpr std::uint8_t kMagic = 0xB7;  // with the version of the form in its low bits
constexpr std::size_t kHeadBytes = 1 + 1 + 8 + 4 + 1 + 1 + 1;
constexpr std::size_t kSpeedBytes = 4 + 1;
constexpr double kTicksPerSlowness = 64;
constexpr std::size_t kHostBytes = 4 + 1 + 3;
constexpr std::uint32_t kMaxWaiting = 0xFF;
constexpr std::uint32_t kMaxSlowness = 0xFF;
constexpr std::uint32_t kMaxWork = 0xFFFFFF;
constexpr double kTicksPerS = 10'000;

void put(std::string& out, std::uint64_t value, std::size_t bytes) {
    for (std::size_t byte = 0; byte < bytes; ++byte)
        out.push_back(static_cast<char>(value >> (8 * byte) & 0xFF));
}

// Reads numbers one after the other. The caller has checked that they are all there.
class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    std::uint64_t read(std::size_t bytes) {
        std::uint64_t value = 0;
        for (std::size_t byte = 0; byte < bytes; ++byte)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes_[offset_ + byte]))
                     << (8 * byte);
        offset_ += bytes;
        return value;
    }

private:
    std::string_view bytes_;
    std::size_t offset_ = 0;
};

std::uint64_t bounded(double value, std::uint32_t max) {
    return static_cast<std::uint64_t>(std::clamp(std::ceil(value), 0.0, static_cast<double>(max)));
}

bool isKind(std::uint64_t number) {
    return number >= static_cast<std::uint64_t>(LoadKind::gateway) &&
           number <= static_cast<std::uint64_t>(LoadKind::forwarded);
}

void putHost(std::string& out, const dispatch::HostLoad& host) {
    put(out, host.host, 4);
    put(out, bounded(host.waiting, kMaxWaiting), 1);
    put(out, bounded(host.workS * kTicksPerS, kMaxWork), 3);
}

void putSpeed(std::string& out, const dispatch::HostSpeed& speed) {
    put(out, speed.host, 4);
    put(out, bounded(speed.slowness * kTicksPerSlowness, kMaxSlowness), 1);
}

dispatch::HostLoad readHost(Reader& reader) {
    dispatch::HostLoad host;
    host.host = static_cast<std::uint32_t>(reader.read(4));
    host.waiting = static_cast<int>(reader.read(1));
    host.workS = static_cast<double>(reader.read(3)) / kTicksPerS;
    return host;
}

dispatch::HostSpeed readSpeed(Reader& reader) {
    dispatch::HostSpeed speed;
    speed.host = static_cast<std::uint32_t>(reader.read(4));
    speed.slowness = static_cast<double>(reader.read(1)) / kTicksPerSlowness;
    return speed;
}

}  // namespace

std::string encode(const LoadDatagram& datagram) {
    std::string out;
    const std::size_t hosts = std::min(datagram.hosts.size(), LoadDatagram::kMaxHosts);
    const std::size_t speeds = std::min(datagram.speeds.size(), LoadDatagram::kMaxSpeeds);
    put(out, kMagic, 1);
    put(out, static_cast<std::uint8_t>(datagram.kind), 1);
    put(out, datagram.source, 8);
    put(out, datagram.sequence, 4);
    put(out, datagram.full ? 1 : 0, 1);
    put(out, hosts, 1);
    put(out, speeds, 1);
    for (std::size_t index = 0; index < hosts; ++index) putHost(out, datagram.hosts[index]);
    for (std::size_t index = 0; index < speeds; ++index) putSpeed(out, datagram.speeds[index]);
    return out;
}

std::optional<LoadDatagram> decodeLoad(std::string_view bytes) {
    if (bytes.size() < kHeadBytes) return std::nullopt;
    Reader reader(bytes);
    if (reader.read(1) != kMagic) return std::nullopt;
    const std::uint64_t kind = reader.read(1);
    if (!isKind(kind)) return std::nullopt;
    LoadDatagram datagram;
    datagram.kind = static_cast<LoadKind>(kind);
    datagram.source = reader.read(8);
    datagram.sequence = static_cast<std::uint32_t>(reader.read(4));
    datagram.full = reader.read(1) != 0;
    const std::size_t hosts = reader.read(1);
    const std::size_t speeds = reader.read(1);
    if (hosts > LoadDatagram::kMaxHosts || speeds > LoadDatagram::kMaxSpeeds) return std::nullopt;
    if (bytes.size() != kHeadBytes + hosts * kHostBytes + speeds * kSpeedBytes) return std::nullopt;
    for (std::size_t index = 0; index < hosts; ++index) datagram.hosts.push_back(readHost(reader));
    for (std::size_t index = 0; index < speeds; ++index) datagram.speeds.push_back(readSpeed(reader));
    return datagram;
}

}  // namespace beechpoint::gateway
