// What all parts of a replica know of their place: shared by reference, written by Replica alone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "replica/settings.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

struct Membership {
    Settings settings;
    Member self;
    std::vector<std::string> founders;  // control addresses; empty: no vote on the first view
    View view;
    std::optional<std::size_t> index;  // of this process in the view
    bool sealed = false;
    bool diskFailing = false;
    bool leaving = false;  // asked to end; see Leave

    // This disk is one of the chain's, whichever the session.
    bool inChain() const { return view.findDisk(self) != nullptr; }
    // This disk decides on the next view.
    bool votes() const { return view.findVoter(self) != nullptr; }
    bool active() const { return index && !sealed; }
    bool isHead() const { return index && *index == 0; }
    bool isTail() const { return index && *index + 1 == view.members.size(); }
};

}  // namespace beechpoint::replica
