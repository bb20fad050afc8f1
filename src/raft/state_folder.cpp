#include "raft/state_folder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace beechpoint::raft {

namespace {
std::string safe(const std::string& name) {
    std::string out;
    for (const char c : name)
        out += std::isalnum(static_cast<unsigned char>(c)) || c == '-'
                   ? std::string(1, c)
                   : fmt::format("_{:02x}", static_cast<unsigned char>(c));
    return out;
}
}  // namespace

StateFolder::StateFolder(durable_files::Files& files, std::string folder, std::string group, std::string self)
    : files_(files),
      folder_(std::move(folder)),
      group_(std::move(group)),
      self_(std::move(self)),
      path_(fmt::format("{}/{}-{}.ledger", folder_, safe(group_), safe(self_))) {}

std::string StateFolder::logName(std::uint64_t generation) const {
    return fmt::format("{}.{}.log", path_, generation);
}

ReadState StateFolder::load(std::string& note) {
    const std::vector<std::string> names = files_.list(folder_);
    ReadState read = readState(names);
    const bool damaged = !read.state && read.outcome != ReadOutcome::absent;
    if (damaged) files_.rename(path_, path_ + ".damaged");
    clearLeftovers(names, read);
    generation_ = read.generation;
    if (read.outcome != ReadOutcome::absent) note = fmt::format("{}: {}", path_, nameOf(read.outcome));
    return read;
}

ReadState StateFolder::readState(const std::vector<std::string>& names) {
    ReadState read;
    const auto full = files_.read(path_);
    if (!full) {
        // There by name, but it can't be read: damage, and not a folder that was never used.
        if (std::ranges::find(names, stem()) != names.end()) read.outcome = ReadOutcome::corrupt;
        return read;
    }
    const std::uint64_t generation = generationOf(*full);
    const auto log = generation != 0 ? files_.read(logName(generation)) : std::nullopt;
    read = decodeState(group_, self_, *full, log.value_or(""));
    if (full->empty()) read.outcome = ReadOutcome::corrupt;
    return read;
}

// A full state that never got its name was never acknowledged. Beside a full state that can be used, logs of other generations are left over
// from a crash between two steps. Beside one that can't, any log may be the only copy of what was acknowledged: it is put aside.
void StateFolder::clearLeftovers(const std::vector<std::string>& names, const ReadState& read) {
    for (const std::string& name : names) {
        const std::string path = fmt::format("{}/{}", folder_, name);
        const bool isLog = name.starts_with(stem() + ".") && name.ends_with(".log");
        const bool isUnnamed = name == stem() + ".new";
        if (isLog && !read.state)
            files_.rename(path, path_ + ".damaged-log");
        else if (isUnnamed || (isLog && path != logName(read.generation)))
            files_.remove(path);
    }
}

std::string StateFolder::stem() const { return path_.substr(folder_.size() + 1); }

bool StateFolder::persist(const StateWrite& write) {
    if (write.bytes.empty()) return !failed_;
    if (!failed_ && !writeDurably(write)) failed_ = true;
    return !failed_;
}
bool StateFolder::writeDurably(const StateWrite& write) {
    if (write.replacesAll) {
        const std::string fresh = path_ + ".new", old = generation_ != 0 ? logName(generation_) : "";
        if (!files_.write(fresh, write.bytes) || !files_.sync(fresh) || !files_.rename(fresh, path_) ||
            !files_.syncFolder(folder_))
            return false;
        if (!old.empty()) files_.remove(old);  // left over, it does no harm: its generation is over
        generation_ = write.generation;
        logExists_ = false;
        return true;
    }
    if (write.generation != generation_) return false;
    const std::string log = logName(generation_);
    if (!files_.append(log, write.bytes) || !files_.sync(log)) return false;
    if (!std::exchange(logExists_, true)) return files_.syncFolder(folder_);
    return true;
}

}  // namespace beechpoint::raft
