#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "durable_files/files.hpp"

namespace beechpoint::durable_files {

namespace {

class Open {
public:
    Open(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~Open() {
        if (fd_ >= 0) ::close(fd_);
    }
    Open(const Open&) = delete;
    Open& operator=(const Open&) = delete;
    bool all(std::string_view bytes) const {
        while (fd_ >= 0 && !bytes.empty()) {
            const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return fd_ >= 0;
    }
    bool sync() const { return fd_ >= 0 && ::fsync(fd_) == 0; }

private:
    int fd_;
};

}  // namespace

std::optional<std::string> FileSystem::read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) return std::nullopt;
    std::string all(std::istreambuf_iterator<char>(file), {});
    return file.bad() ? std::nullopt : std::optional(std::move(all));
}
bool FileSystem::write(const std::string& path, std::string_view bytes) {
    return Open(path, O_CREAT | O_WRONLY | O_TRUNC).all(bytes);
}
bool FileSystem::append(const std::string& path, std::string_view bytes) {
    return Open(path, O_CREAT | O_WRONLY | O_APPEND).all(bytes);
}
bool FileSystem::sync(const std::string& path) { return Open(path, O_WRONLY).sync(); }
bool FileSystem::rename(const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str()) == 0;
}
bool FileSystem::remove(const std::string& path) { return ::unlink(path.c_str()) == 0; }
bool FileSystem::syncFolder(const std::string& folder) { return Open(folder, O_RDONLY | O_DIRECTORY).sync(); }
std::vector<std::string> FileSystem::list(const std::string& folder) {
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator i(folder, error), end; !error && i != end; i.increment(error))
        names.push_back(i->path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

}  // namespace beechpoint::durable_files
