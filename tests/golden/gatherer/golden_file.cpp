#include "golden_file.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace beechpoint::golden {

namespace {

std::string toHex(std::string_view bytes) {
    std::string hex;
    for (const char c : bytes) hex += fmt::format("{:02x}", static_cast<unsigned char>(c));
    return hex;
}

int digitOf(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    throw std::runtime_error(fmt::format("golden file: '{}' is no hex digit", c));
}

std::string fromHex(std::string_view hex) {
    if (hex.size() % 2 != 0) throw std::runtime_error("golden file: half a byte");
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes += static_cast<char>(digitOf(hex[i]) << 4 | digitOf(hex[i + 1]));
    return bytes;
}

std::string pathOf(const std::string& family) {
    return fmt::format("{}/tests/golden/gatherer/data/{}.hex", BEECHPOINT_SOURCE_DIR, family);
}

void writeFile(const std::string& path, const std::string& bytes) {
    std::ofstream file(path, std::ios::binary);
    file << bytes;
    if (!file.flush()) throw std::runtime_error(fmt::format("{}: can't be written", path));
}

void storeEntry(const std::string& family, const std::string& name, const std::string& bytes) {
    Entries entries = loadFamily(family);
    entries[name] = bytes;
    writeFile(pathOf(family), formatEntries(entries));
}

}  // namespace

Entries parseEntries(const std::string& text) {
    Entries entries;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.rfind(": ");
        if (colon == std::string::npos || colon == 0)
            throw std::runtime_error(fmt::format("golden file: no entry: {}", line.substr(0, 80)));
        if (!entries.emplace(line.substr(0, colon), fromHex(std::string_view(line).substr(colon + 2))).second)
            throw std::runtime_error(fmt::format("golden file: {} comes twice", line.substr(0, colon)));
    }
    return entries;
}

std::string formatEntries(const Entries& entries) {
    std::string text;
    for (const auto& [name, bytes] : entries) text += fmt::format("{}: {}\n", name, toHex(bytes));
    return text;
}

Entries loadFamily(const std::string& family) { return parseEntries(readFile(pathOf(family))); }

testing::AssertionResult matches(const std::optional<std::string>& golden, std::string_view written) {
    if (!golden) return testing::AssertionFailure() << "there is no such entry";
    if (*golden == written) return testing::AssertionSuccess();
    return testing::AssertionFailure() << "golden:  " << toHex(*golden) << "\nwritten: " << toHex(written);
}

std::string expectGolden(const std::string& family, const std::string& name, const std::string& written) {
    if (writesGoldenFiles()) storeEntry(family, name, written);
    const Entries entries = loadFamily(family);
    const auto found = entries.find(name);
    const std::optional<std::string> golden =
        found == entries.end() ? std::nullopt : std::optional(found->second);
    EXPECT_TRUE(matches(golden, written)) << "entry " << name << " of " << family;
    return golden.value_or("");
}

bool writesGoldenFiles() {
    const char* const value = std::getenv("GOLDEN_WRITE");
    return value != nullptr && std::string_view(value) == "1";
}

TemporaryFolder::TemporaryFolder() {
    path_ = (std::filesystem::temp_directory_path() / "beechpoint-golden-XXXXXX").string();
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no temporary folder");
}

TemporaryFolder::~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

Entries TemporaryFolder::files() const {
    Entries files;
    for (const auto& entry : std::filesystem::directory_iterator(path_))
        files[entry.path().filename().string()] = readFile(entry.path().string());
    return files;
}

void TemporaryFolder::write(const std::string& name, const std::string& bytes) const {
    writeFile(file(name), bytes);
}

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace beechpoint::golden
