#include "admin/overlap_record.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>

namespace beechpoint::admin {

namespace {

using Json = nlohmann::json;

constexpr auto kLookEvery = std::chrono::milliseconds(100);
constexpr std::string_view kSuffix = ".process";

// What a locked record says. One that is just being written says too little: its process lives all the same.
Overlap::Process readRecord(int file, std::string id) {
    std::array<char, 256> text;
    const ssize_t size = ::pread(file, text.data(), text.size(), 0);
    const Json json = Json::parse(text.data(), text.data() + std::max<ssize_t>(size, 0), nullptr, false);
    Overlap::Process process;
    process.id = std::move(id);
    if (!json.is_object()) return process;
    const auto started = json.find("started"), state = json.find("state");
    if (started != json.end() && started->is_number()) process.startedAt = started->get<double>();
    if (state == json.end() || !state->is_number_integer()) return process;
    const auto number = state->get<std::int64_t>();
    if (number >= 0 && number <= static_cast<int>(Lifecycle::State::stopping))
        process.state = static_cast<Lifecycle::State>(number);
    return process;
}

}  // namespace

OverlapRecord::OverlapRecord(asio::io_context& io, Logger& log, const std::string& folder,
                             const std::string& name, Overlap& overlap, std::function<void()> changed)
    : log_(log),
      folder_(folder),
      prefix_(fmt::format("beechpoint-{}.", name)),
      overlap_(overlap),
      changed_(std::move(changed)),
      timer_(io) {}

OverlapRecord::~OverlapRecord() { stop(); }

// Locked before it bears its name, so that nobody takes it for a dead one's.
void OverlapRecord::start(Millis unixNow) {
    if (folder_.empty()) return;
    self_.startedAt = unixNow;
    std::string fresh = fmt::format("{}/{}XXXXXX", folder_, prefix_);
    file_ = ::mkstemp(fresh.data());
    self_.id = fresh.substr(folder_.size() + 1) + std::string(kSuffix);
    path_ = fmt::format("{}/{}", folder_, self_.id);
    if (file_ < 0 || ::fcntl(file_, F_SETFD, FD_CLOEXEC) != 0 || ::flock(file_, LOCK_EX | LOCK_NB) != 0 ||
        !write() || std::rename(fresh.c_str(), path_.c_str()) != 0)
        log_.warn("the record of this process can't be written, an upgrade will not see it: {}",
                  field("file", path_));
    look();
    lookLater();
}

void OverlapRecord::stop() {
    timer_.cancel();
    if (file_ < 0) return;
    ::unlink(path_.c_str());
    ::close(std::exchange(file_, -1));
}

bool OverlapRecord::write() {
    const std::string text =
        Json{{"started", self_.startedAt}, {"state", static_cast<int>(self_.state)}}.dump();
    return ::ftruncate(file_, 0) == 0 &&
           ::pwrite(file_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size());
}

void OverlapRecord::publish(Lifecycle::State state) {
    if (file_ < 0 || state == self_.state) return;
    self_.state = state;
    if (!write()) log_.warn("the record of this process can't be written: {}", field("file", path_));
    look();
}

void OverlapRecord::lookLater() {
    timer_.expires_after(kLookEvery);
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        look();
        lookLater();
    });
}

void OverlapRecord::look() {
    std::vector<Overlap::Process> others;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(folder_, ignored)) {
        const std::string id = entry.path().filename().string();
        if (!id.starts_with(prefix_) || !id.ends_with(kSuffix) || id == self_.id) continue;
        const int file = ::open(entry.path().c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0) continue;
        if (::flock(file, LOCK_SH | LOCK_NB) == 0)
            ::unlink(entry.path().c_str());  // its process is dead
        else
            others.push_back(readRecord(file, id));
        ::close(file);
    }
    std::sort(others.begin(), others.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    if (overlap_.seen(self_, std::move(others))) changed_();
}

}  // namespace beechpoint::admin
