// The old and the new process of an upgrade: what each knows of the others, and what part of one gatherer's
// limits it may use meanwhile. Free of I/O: overlap_record sees who lives. A process that takes no newcomers
// any more counts half, so its successor has two thirds. All shares add up to one for as long as all see the
// same; a process that dies frees its share with its lock.
#pragma once

#include <string>
#include <vector>

#include "admin/lifecycle.hpp"

namespace beechpoint::admin {

class Overlap {
public:
    struct Process {
        std::string id;        // of its record
        Millis startedAt = 0;  // Unix time
        Lifecycle::State state = Lifecycle::State::starting;
        bool operator==(const Process&) const = default;
    };

    // What it is itself, and who else lives. True where that is news.
    bool seen(Process self, std::vector<Process> others);
    double share() const;
    // Whether a younger process serves at the same addresses: newcomers are its own.
    bool successor() const;
    std::size_t others() const { return others_.size(); }

private:
    Process self_;
    std::vector<Process> others_;
};

}  // namespace beechpoint::admin
