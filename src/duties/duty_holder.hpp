/// Who holds a duty. The subjects are cut over the members of the newest decided view by rendezvous hashing, and the view's epoch is the
/// fencing token: one epoch has one view, so one token has one holder, and a holder that changes has a higher token. Pure functions.
#pragma once

#include <string>

#include "duties/subject.hpp"
#include "replica/view.hpp"

namespace beechpoint::duties {

/// The member that holds the subject's duty in that view; nullptr where the view has no members.
[[nodiscard]] const replica::Member* holderOf(const Subject& subject, const replica::View& view);

}  // namespace beechpoint::duties
