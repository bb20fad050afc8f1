/// A member's persistent state on the disk: two files, the full state and a log of records after it. The full state is
/// written beside the old one, synced and renamed, so one complete file is always there. Owns the names of its files;
/// knows nothing of Raft. Called from the disk's thread (cluster/) or, in tests, directly; not thread-safe.
///
/// After a failed write nothing more is persisted: what is on the disk is unknown, and acknowledging by it could break a
/// promise. The caller has to leave the group; the next start reads what is there.
#pragma once

#include <string>
#include <vector>

#include "durable_files/files.hpp"
#include "raft/log_file.hpp"

namespace beechpoint::raft {

class StateFolder {
public:
    // `folder` must be there. Names are made safe for the file system.
    StateFolder(durable_files::Files& files, std::string folder, std::string group, std::string self);

    // What was persisted; `note` says in one line what was found, empty: nothing at all. A full state that can't be used (corrupt, of another group,
    // member or version, or unreadable) is put aside with its log as `.damaged` and `.damaged-log`, so that staff can look at them; the
    // newest damage replaces the one before.
    ReadState load(std::string& note);
    // Durable once it returns true.
    bool persist(const StateWrite& write);
    bool failed() const { return failed_; }

private:
    std::string logName(std::uint64_t generation) const;
    std::string stem() const;  // of the names of all its files
    ReadState readState(const std::vector<std::string>& names);
    void clearLeftovers(const std::vector<std::string>& names, const ReadState& read);
    bool writeDurably(const StateWrite& write);

    durable_files::Files& files_;
    std::string folder_, group_, self_, path_;
    std::uint64_t generation_ = 0;  // whose log is in use
    bool logExists_ = false;        // that log is there, by name
    bool failed_ = false;
};

}  // namespace beechpoint::raft
