#include "admin/overlap.hpp"

#include <algorithm>
#include <tuple>

namespace beechpoint::admin {

namespace {

double weight(const Overlap::Process& p) { return p.state == Lifecycle::State::stopping ? 1 : 2; }

}  // namespace

bool Overlap::seen(Process self, std::vector<Process> others) {
    if (self == self_ && others == others_) return false;
    self_ = std::move(self);
    others_ = std::move(others);
    return true;
}

double Overlap::share() const {
    double all = weight(self_);
    for (const Process& p : others_) all += weight(p);
    return weight(self_) / all;
}

bool Overlap::successor() const {
    return std::any_of(others_.begin(), others_.end(), [this](const Process& p) {
        return p.state == Lifecycle::State::serving &&
               std::tie(p.startedAt, p.id) > std::tie(self_.startedAt, self_.id);
    });
}

}  // namespace beechpoint::admin
