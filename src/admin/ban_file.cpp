#include "admin/ban_file.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>

namespace beechpoint::admin {

namespace {

using Json = nlohmann::json;

constexpr int kVersion = 1;
constexpr auto kLookEvery = std::chrono::milliseconds(200);
constexpr auto kLockPause = std::chrono::milliseconds(10);
constexpr int kLockTries = 50;  // half a second: callers wait for one

class Descriptor {
public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int get() const { return fd_; }

private:
    int fd_;
};

std::string checksum(const std::string& text) {
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), kVersion));
}

}  // namespace

std::string writeBans(const HostBans::Hosts& out) {
    const Json hosts(out);
    // Ids come from discovery's JSON, which is text; what else a caller names is never known.
    const std::string text = hosts.dump(-1, ' ', false, Json::error_handler_t::replace);
    return Json{{"version", kVersion}, {"checksum", checksum(text)}, {"hosts", hosts}}.dump(
               -1, ' ', false, Json::error_handler_t::replace) +
           "\n";
}

std::optional<HostBans::Hosts> readBans(const std::string& text) {
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || json.value("version", Json()) != kVersion) return std::nullopt;
    const auto hosts = json.find("hosts");
    if (hosts == json.end() || !hosts->is_array() || hosts->size() > HostBans::kMost) return std::nullopt;
    if (json.value("checksum", Json()) != checksum(hosts->dump())) return std::nullopt;
    HostBans::Hosts out;
    for (const Json& id : *hosts) {
        if (!id.is_string()) return std::nullopt;
        out.insert(id.get<std::string>());
    }
    return out;
}

BanFile::BanFile(asio::io_context& io, Logger& log, const std::string& folder, const std::string& name,
                 OnBans onBans)
    : io_(io),
      log_(log),
      path_(folder.empty() ? "" : fmt::format("{}/beechpoint-{}.bans", folder, name)),
      onBans_(std::move(onBans)),
      timer_(io) {}

void BanFile::start() {
    if (path_.empty()) return;
    read();
    look();
}

void BanFile::stop() {
    timer_.cancel();
    alive_.reset();  // a call that waits for the lock changes nothing any more
}

void BanFile::look() {
    timer_.expires_after(kLookEvery);
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        read();
        look();
    });
}

void BanFile::read() {
    struct stat at {};
    if (path_.empty() || ::stat(path_.c_str(), &at) != 0) return;  // no file: nobody was ever taken out
    std::string seen =
        fmt::format("{} {} {}.{}", at.st_ino, at.st_size, at.st_mtim.tv_sec, at.st_mtim.tv_nsec);
    if (seen == lastSeen_) return;
    lastSeen_ = std::move(seen);
    std::ifstream file(path_);
    std::optional<HostBans::Hosts> out = readBans(std::string(std::istreambuf_iterator<char>(file), {}));
    if (!out) {
        log_.warn("the file of hosts taken out is damaged or foreign, ignored: {}", field("file", path_));
        return;
    }
    if (*out == current_) return;
    current_ = *out;
    log_.info("{} hosts are out by hand", field("hosts", current_.size()));
    onBans_(current_);
}

void BanFile::attempt(const std::string& id, bool out, std::function<void(bool)> later, int tries) {
    if (path_.empty()) return later(store(id, out));
    const Descriptor lock(::open((path_ + ".lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600));
    if (lock.get() >= 0 && ::flock(lock.get(), LOCK_EX | LOCK_NB) == 0) {
        read();  // the other process may have changed it just now
        return later(store(id, out));
    }
    if (lock.get() < 0 || tries >= kLockTries) {
        log_.warn("the file of hosts taken out can't be locked: {}", field("file", path_));
        return later(false);
    }
    const auto pause = std::make_shared<asio::steady_timer>(io_, kLockPause);
    pause->async_wait([this, alive = std::weak_ptr(alive_), pause, id, out, later = std::move(later),
                       tries](asio::error_code error) {
        if (!error && !alive.expired()) attempt(id, out, later, tries + 1);
    });
}

bool BanFile::store(const std::string& id, bool out) {
    HostBans::Hosts next = current_;
    const bool changes = out ? next.insert(id).second : next.erase(id) > 0;
    if (!changes) return true;
    if (next.size() > HostBans::kMost || !write(next)) return false;
    current_ = std::move(next);
    onBans_(current_);
    return true;
}

bool BanFile::write(const HostBans::Hosts& out) {
    if (path_.empty()) return true;
    const std::string fresh = path_ + ".new", text = writeBans(out);
    const Descriptor file(::open(fresh.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600));
    const bool written = file.get() >= 0 &&
                         ::write(file.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                         ::fsync(file.get()) == 0 && std::rename(fresh.c_str(), path_.c_str()) == 0;
    if (!written) log_.warn("the file of hosts taken out can't be written: {}", field("file", path_));
    return written;
}

}  // namespace beechpoint::admin
