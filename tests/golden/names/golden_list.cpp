#include "golden_list.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace beechpoint::golden {
namespace {

namespace fs = std::filesystem;

const fs::path kFolder = fs::path(BEECHPOINT_SOURCE_DIR) / "tests/golden/names";

fs::path pathOf(const std::string& name) { return kFolder / "data" / (name + ".txt"); }

std::optional<std::string> contentOf(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

bool writing() {
    const char* const value = std::getenv("GOLDEN_WRITE");
    return value && std::string_view(value) == "1";
}

::testing::AssertionResult noNames(const std::string& name) {
    return ::testing::AssertionFailure() << "no names were collected for " << name;
}

::testing::AssertionResult write(const std::string& name, const Lines& lines) {
    if (lines.empty()) return noNames(name);
    const fs::path path = pathOf(name);
    fs::create_directories(path.parent_path());
    std::ofstream file(path, std::ios::binary);
    for (const std::string& line : lines) file << line << '\n';
    file.close();
    if (!file) return ::testing::AssertionFailure() << "can't write " << path;
    return ::testing::AssertionSuccess();
}

Lines sorted(Lines lines) {
    std::sort(lines.begin(), lines.end());
    return lines;
}

// The lines of `left` that `right` lacks, counting repetitions.
Lines lacking(const Lines& left, const Lines& right) {
    const Lines from = sorted(left), what = sorted(right);
    Lines found;
    std::set_difference(from.begin(), from.end(), what.begin(), what.end(), std::back_inserter(found));
    return found;
}

}  // namespace

std::string difference(const Lines& expected, const Lines& actual) {
    if (expected == actual) return {};
    std::string text;
    for (const std::string& line : lacking(expected, actual)) text += fmt::format("missing: {}\n", line);
    for (const std::string& line : lacking(actual, expected)) text += fmt::format("extra:   {}\n", line);
    if (!text.empty()) return text;
    const auto [left, right] = std::mismatch(expected.begin(), expected.end(), actual.begin());
    return fmt::format("order:   line {} is '{}', was '{}'\n", left - expected.begin() + 1, *right, *left);
}

::testing::AssertionResult equalsFile(const std::string& name, const Lines& actual) {
    if (actual.empty()) return noNames(name);
    const fs::path path = pathOf(name);
    const auto content = contentOf(path);
    if (!content) return ::testing::AssertionFailure() << "can't read " << path;
    const std::string found = difference(splitLines(*content), actual);
    if (found.empty()) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "names differ from " << path << ":\n" << found;
}

::testing::AssertionResult matchesGolden(const std::string& name, const Lines& actual) {
    return writing() ? write(name, actual) : equalsFile(name, actual);
}

std::string sample(const std::string& name) {
    const auto content = contentOf(kFolder / "samples" / name);
    if (!content) throw std::runtime_error("can't read the sample " + name);
    return *content;
}

std::string onOneLine(std::string_view text) {
    std::string line;
    for (const char c : text) {
        if (c == '\\')
            line += "\\\\";
        else if (c == '\n')
            line += "\\n";
        else if (c == '\r')
            line += "\\r";
        else
            line += c;
    }
    return line;
}

Lines splitLines(const std::string& text) {
    Lines lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
}

}  // namespace beechpoint::golden
