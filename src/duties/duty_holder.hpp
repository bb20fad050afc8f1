/// Selects the holder of a duty. Rendezvous hashing distributes the subjects over the members of the newest decided view, and the view's epoch
/// is the fencing token: each epoch has one view, so each token has one holder, and a change of holder raises the token. Pure functions.
#pragma once

#include <string>

#include "duties/subject.hpp"
#include "replica/view.hpp"

namespace beechpoint::duties {

/// The member that holds the subject's duty in that view; nullptr where the view has no members.
[[nodiscard]] const replica::Member* holderOf(const Subject& subject, const replica::View& view);

}  // namespace beechpoint::duties
