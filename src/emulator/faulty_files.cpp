#include "emulator/faulty_files.hpp"

#include <algorithm>

namespace beechpoint::emulator {

bool FaultyFiles::call() { return ++calls_ == crashAt_; }

std::optional<std::string> FaultyFiles::read(const std::string& path) {
    const auto f = names_.find(path);
    return f == names_.end() ? std::nullopt : std::optional(f->second->now);
}
// A crash in the middle leaves part of the bytes there, unsynced.
bool FaultyFiles::write(const std::string& path, std::string_view bytes) {
    const bool last = call();
    const auto f = std::make_shared<File>();
    const bool short_ = fails();
    f->now = std::string(bytes.substr(0, last || short_ ? some(bytes.size()) : bytes.size()));
    names_[path] = f;
    changes_.push_back([path, f](Names& n) { n[path] = f; });
    if (last) throw Crash();
    return !short_;
}
bool FaultyFiles::append(const std::string& path, std::string_view bytes) {
    const bool last = call();
    auto& f = names_[path];
    if (!f) {
        f = std::make_shared<File>();
        changes_.push_back([path, made = f](Names& n) { n[path] = made; });
    }
    const bool short_ = fails();
    f->now += bytes.substr(0, last || short_ ? some(bytes.size()) : bytes.size());
    if (last) throw Crash();
    return !short_;
}
bool FaultyFiles::sync(const std::string& path) {
    const bool last = call();
    const auto f = names_.find(path);
    if (f == names_.end() || fails()) return false;
    if (!last || some(1) == 1) f->second->synced = f->second->now;
    if (last) throw Crash();
    return true;
}
bool FaultyFiles::rename(const std::string& from, const std::string& to) {
    const bool last = call();
    const auto f = names_.find(from);
    if (f == names_.end() || fails()) return false;
    const auto change = [from, to, file = f->second](Names& n) {
        n[to] = file;
        n.erase(from);
    };
    change(names_);
    changes_.push_back(change);
    if (last) throw Crash();
    return true;
}
bool FaultyFiles::remove(const std::string& path) {
    const bool last = call();
    const bool was = names_.erase(path) > 0;
    changes_.push_back([path](Names& n) { n.erase(path); });
    if (last) throw Crash();
    return was;
}
bool FaultyFiles::syncFolder(const std::string&) {
    const bool last = call();
    if (fails()) return false;
    if (!last || some(1) == 1) lasting_ = names_, changes_.clear();
    if (last) throw Crash();
    return true;
}
std::vector<std::string> FaultyFiles::list(const std::string& folder) {
    std::vector<std::string> out;
    for (const auto& [path, f] : names_)
        if (path.starts_with(folder + "/")) out.push_back(path.substr(folder.size() + 1));
    return out;
}
// Names: as synced, and as many of the changes since, in order, as the seed says. Bytes: what was synced, and of what was
// written since any part; where a file was made anew, that may be none of it.
void FaultyFiles::crash() {
    const std::size_t kept = some(changes_.size());
    for (std::size_t i = 0; i < kept; ++i) changes_[i](lasting_);
    changes_.clear();
    names_ = lasting_;
    for (auto& [path, f] : names_) {
        if (f->now.starts_with(f->synced))
            f->now = f->synced + f->now.substr(f->synced.size(), some(f->now.size() - f->synced.size()));
        else
            f->now = some(1) == 1 ? f->synced : f->now.substr(0, some(f->now.size()));
        f->synced = f->now;
    }
    lasting_ = names_;
    crashAt_ = 0;
}
std::map<std::string, std::string> FaultyFiles::all() const {
    std::map<std::string, std::string> out;
    for (const auto& [path, f] : names_) out[path] = f->now;
    return out;
}
void FaultyFiles::put(const std::string& path, std::string bytes) {
    const auto f = std::make_shared<File>();
    f->now = f->synced = std::move(bytes);
    names_[path] = lasting_[path] = f;
}

}  // namespace beechpoint::emulator
