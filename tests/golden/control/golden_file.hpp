// Golden bytes: what the program wrote at one time, kept in the repository, so that a later program can be shown to read it and to write the
// same. A file in data/ holds one family, an entry a line as `name: hex`, ordered by name.
//
// With GOLDEN_WRITE=1 in the environment the entries are written instead of compared. Run the test binary itself then and not ctest, which
// runs tests side by side. Do this only for entries that are new: a golden entry that changes is a change of a format in use.
#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace beechpoint::golden {

// Whether entries are written instead of compared.
bool writing();

// The file of this name in data/.
std::filesystem::path dataFile(std::string_view name);

std::string toHex(std::string_view bytes);
// Throws std::invalid_argument for text that is no hex.
std::string fromHex(std::string_view hex);

// Empty where the file can't be read.
std::string readFile(const std::filesystem::path& file);
// Throws std::runtime_error where the file can't be written.
void writeFile(const std::filesystem::path& file, std::string_view bytes);

class GoldenFile {
public:
    // The family `name`, in data/NAME.hex. Throws std::invalid_argument for a line that is no entry.
    explicit GoldenFile(std::string_view name);

    // Fails the test unless `written` is what is kept under `name`; a missing entry is a failure too. Returns the kept bytes, for the
    // test to read; they are empty where there are none.
    std::string check(const std::string& name, std::string_view written);
    // How many entries there are.
    std::size_t size() const { return entries_.size(); }

private:
    void save() const;

    std::filesystem::path file_;
    std::map<std::string, std::string> entries_;  // hex by name
};

}  // namespace beechpoint::golden
