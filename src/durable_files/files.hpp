/// The file operations that durable state is written by, so that tests can put a file system in their place that fails,
/// tears and forgets (emulator/faulty_files.hpp). Decides nothing and owns no format.
///
/// What holds after a crash: what was written before a sync() of that file returned true, and names made, replaced or
/// removed before a syncFolder() returned true. Anything else may be there, be missing, or be there in part.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::durable_files {

class Files {
public:
    virtual ~Files() = default;
    // The whole file; nothing: there is none, or it can't be read.
    virtual std::optional<std::string> read(const std::string& path) = 0;
    // False: what is at the path now is not known, but for other files and what was synced of this one.
    virtual bool write(const std::string& path, std::string_view bytes) = 0;   // in place of what was there
    virtual bool append(const std::string& path, std::string_view bytes) = 0;  // made where it is missing
    virtual bool sync(const std::string& path) = 0;
    virtual bool rename(const std::string& from, const std::string& to) = 0;
    virtual bool remove(const std::string& path) = 0;
    virtual bool syncFolder(const std::string& folder) = 0;
    virtual std::vector<std::string> list(const std::string& folder) = 0;  // names, in order
};

class FileSystem : public Files {
public:
    std::optional<std::string> read(const std::string& path) override;
    bool write(const std::string& path, std::string_view bytes) override;
    bool append(const std::string& path, std::string_view bytes) override;
    bool sync(const std::string& path) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool remove(const std::string& path) override;
    bool syncFolder(const std::string& folder) override;
    std::vector<std::string> list(const std::string& folder) override;
};

}  // namespace beechpoint::durable_files
