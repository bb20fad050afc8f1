// Golden files: bytes that an earlier version of the program wrote, kept under data/ as text, one file for each
// family of formats. Each line is an entry, `name: hex`; the names are in order.
//
// The tests compare what the present code writes with these entries. Run with the environment variable GOLDEN_WRITE=1,
// the test program stores what it writes instead of comparing it. That is for new entries only: an entry that has to
// change is a change of the format, which peers and processes of earlier versions can't read. Such a run must be one
// process (the test program itself, not ctest), since each entry rewrites its file.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::golden {

using Entries = std::map<std::string, std::string>;  // bytes by name

// The entries of a golden file's text. Throws std::runtime_error where a line is malformed or a name comes twice.
Entries parseEntries(const std::string& text);
std::string formatEntries(const Entries& entries);

// All entries of data/FAMILY.hex; none where there is no such file.
Entries loadFamily(const std::string& family);

// Success if the entry is there and equals `written`. A missing entry is a failure.
testing::AssertionResult matches(const std::optional<std::string>& golden, std::string_view written);

// Expects that entry `name` of a family equals `written`, and returns the entry's bytes, for the test to read back.
// With GOLDEN_WRITE=1 it stores `written` as that entry first.
std::string expectGolden(const std::string& family, const std::string& name, const std::string& written);

// Whether this run stores the entries instead of comparing them.
bool writesGoldenFiles();

// A temporary folder, removed with its contents at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return path_; }
    std::string file(const std::string& name) const { return path_ + "/" + name; }
    // The contents of all files, by name.
    Entries files() const;
    void write(const std::string& name, const std::string& bytes) const;

private:
    std::string path_;
};

// The whole file; empty where it can't be read.
std::string readFile(const std::string& path);

}  // namespace beechpoint::golden
