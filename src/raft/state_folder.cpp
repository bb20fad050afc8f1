#include "raft/state_folder.hpp"

#include <fmt/format.h>

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
    const auto whole = files_.read(path_);
    ReadState r;
    if (whole) {
        const std::uint64_t generation = generationOf(*whole);
        const auto log = generation != 0 ? files_.read(logName(generation)) : std::nullopt;
        r = decodeState(group_, self_, *whole, log.value_or(""));
        if (whole->empty()) r.outcome = ReadOutcome::corrupt;
        // A log that was cut short is not appended to: the next thing kept is a new whole.
    }
    if (r.outcome == ReadOutcome::corrupt) {
        files_.rename(path_, path_ + ".damaged");
        if (r.generation != 0) files_.rename(logName(r.generation), path_ + ".damaged-log");
    }
    // Logs of other generations are left over from a crash between two steps; so is a whole that never got its name.
    const std::string stem = path_.substr(folder_.size() + 1);
    for (const std::string& name : files_.list(folder_))
        if (name == stem + ".new" || (name.starts_with(stem + ".") && name.ends_with(".log") &&
                                      !(r.state && folder_ + "/" + name == logName(r.generation))))
            files_.remove(folder_ + "/" + name);
    generation_ = r.generation;
    if (r.outcome != ReadOutcome::absent) note = fmt::format("{}: {}", path_, nameOf(r.outcome));
    return r;
}

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
