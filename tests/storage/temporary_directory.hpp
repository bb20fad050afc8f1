// A directory of a test's own, removed at its end.
#pragma once

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace beechpoint::storage {

class TemporaryDirectory {
public:
    TemporaryDirectory() {
        std::string name = (std::filesystem::temp_directory_path() / "storage.XXXXXX").string();
        if (::mkdtemp(name.data())) path_ = name;
    }
    ~TemporaryDirectory() {
        std::error_code ignored;
        if (!path_.empty()) std::filesystem::remove_all(path_, ignored);
    }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    const std::filesystem::path& path() const { return path_; }
    std::filesystem::path store() const { return path_ / "deep" / "store"; }
    std::filesystem::path data() const { return store() / "data.mdb"; }

    static std::string read(const std::filesystem::path& file) {
        std::ifstream in(file, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    static void write(const std::filesystem::path& file, const std::string& bytes) {
        std::ofstream out(file, std::ios::binary | std::ios::trunc);
        out << bytes;
    }

private:
    std::filesystem::path path_;
};

}  // namespace beechpoint::storage
