#include "golden_file.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace beechpoint::golden {

namespace {

constexpr std::string_view kSeparator = ": ";

unsigned char byteOf(std::string_view digits) {
    unsigned char byte = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (error != std::errc() || end != digits.data() + digits.size() || digits.size() != 2)
        throw std::invalid_argument(fmt::format("'{}' is no byte in hex", digits));
    return byte;
}

}  // namespace

bool writing() {
    const char* value = std::getenv("GOLDEN_WRITE");
    return value && std::string_view(value) == "1";
}

std::filesystem::path dataFile(std::string_view name) {
    return std::filesystem::path(BEECHPOINT_SOURCE_DIR) / "tests/golden/control/data" / name;
}

std::string toHex(std::string_view bytes) {
    std::string hex;
    hex.reserve(2 * bytes.size());
    for (const char byte : bytes)
        fmt::format_to(std::back_inserter(hex), "{:02x}", static_cast<unsigned char>(byte));
    return hex;
}

std::string fromHex(std::string_view hex) {
    std::string bytes;
    bytes.reserve(hex.size() / 2);
    for (std::size_t at = 0; at < hex.size(); at += 2)
        bytes.push_back(static_cast<char>(byteOf(hex.substr(at, 2))));
    return bytes;
}

std::string readFile(const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void writeFile(const std::filesystem::path& file, std::string_view bytes) {
    std::ofstream out(file, std::ios::binary | std::ios::trunc);
    out << bytes;
    if (!out.flush()) throw std::runtime_error(fmt::format("{} can't be written", file.string()));
}

GoldenFile::GoldenFile(std::string_view name) : file_(dataFile(fmt::format("{}.hex", name))) {
    std::istringstream lines(readFile(file_));
    for (std::string line; std::getline(lines, line);) {
        const std::size_t end = line.find(kSeparator);
        if (end == std::string::npos) throw std::invalid_argument(fmt::format("no entry: '{}'", line));
        entries_.emplace(line.substr(0, end), line.substr(end + kSeparator.size()));
    }
}

std::string GoldenFile::check(const std::string& name, std::string_view written) {
    if (writing()) {
        entries_[name] = toHex(written);
        save();
        return std::string(written);
    }
    const auto entry = entries_.find(name);
    if (entry == entries_.end()) {
        ADD_FAILURE() << "no entry '" << name << "' in " << file_;
        return {};
    }
    EXPECT_EQ(toHex(written), entry->second) << "entry '" << name << "' of " << file_;
    return fromHex(entry->second);
}

void GoldenFile::save() const {
    std::string text;
    for (const auto& [name, hex] : entries_)
        fmt::format_to(std::back_inserter(text), "{}{}{}\n", name, kSeparator, hex);
    writeFile(file_, text);
}

}  // namespace beechpoint::golden
