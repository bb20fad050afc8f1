/// A file mapped into memory, to be read only.
#pragma once

#include <cstddef>
#include <filesystem>
#include <string_view>

namespace beechpoint::storage {

class MappedFile {
public:
    explicit MappedFile(const std::filesystem::path& file);
    ~MappedFile();
    MappedFile(const MappedFile&) = delete;
    MappedFile& operator=(const MappedFile&) = delete;

    /// False when the file could not be opened or mapped; error() is then the code of errno.
    [[nodiscard]] bool good() const { return good_; }
    [[nodiscard]] int error() const { return error_; }
    /// All of the file; empty for an empty one. Valid as long as this object.
    [[nodiscard]] std::string_view bytes() const { return {static_cast<const char*>(address_), size_}; }

private:
    void* address_ = nullptr;
    std::size_t size_ = 0;
    bool good_ = false;
    int error_ = 0;
};

}  // namespace beechpoint::storage
