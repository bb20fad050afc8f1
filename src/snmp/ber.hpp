// As much of BER (X.690) as SNMPv2c needs. Reading never goes past what was received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::snmp {

using Oid = std::vector<std::uint32_t>;

enum Tag : std::uint8_t {
    kInteger = 0x02,
    kOctets = 0x04,
    kNull = 0x05,
    kOid = 0x06,
    kSequence = 0x30,
    kTimeTicks = 0x43,
    kCounter64 = 0x46,
    kNoSuchObject = 0x80,
    kNoSuchInstance = 0x81,
    kEndOfMibView = 0x82,
    kGet = 0xa0,
    kGetNext = 0xa1,
    kResponse = 0xa2,
    kSet = 0xa3,
    kGetBulk = 0xa5
};

struct Element {
    std::uint8_t tag = 0;
    std::string_view content;
};

// Takes the first element off `bytes`; nothing where it is malformed or goes past the end.
std::optional<Element> takeElement(std::string_view& bytes);
// Takes an element of that tag.
std::optional<std::string_view> take(std::string_view& bytes, std::uint8_t tag);
std::optional<std::int64_t> readInteger(std::string_view content);
std::optional<Oid> readOid(std::string_view content);

std::string element(std::uint8_t tag, std::string_view content);
std::string integer(std::int64_t value);
std::string unsignedValue(std::uint8_t tag, std::uint64_t value);  // counters and ticks
std::string oid(const Oid& value);

}  // namespace beechpoint::snmp
