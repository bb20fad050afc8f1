// The invariants that the explored world checks after every event.
#include <fmt/format.h>

#include <algorithm>

#include "explore_world.hpp"
#include "position_text.hpp"

namespace beechpoint::replica::exploration {

void World::know(std::size_t index, Position position, const Table& table) {
    const auto [entry, added] = history_.try_emplace(position.sequence, Known{position, table});
    if (added || (entry->second.position == position && entry->second.table == table)) return;
    fail(fmt::format("node {} shows {} where {} was committed", index, text(position),
                     text(entry->second.position)));
}

void World::onCommitted(std::size_t index, const Batch& batch) {
    const auto before = history_.find(batch.position.sequence - 1);
    if (before == history_.end()) return;
    Table expected = before->second.table;
    beechpoint::apply(batch.changes, expected);
    know(index, batch.position, expected);
}

void World::onView(const View& view) {
    const auto [entry, added] = views_.try_emplace(view.epoch, view);
    if (!added && entry->second != view) fail(fmt::format("two views of epoch {}", view.epoch));
    if (added) checkStart(view, acknowledged_);
}

// Everything acknowledged in an earlier epoch must be part of a view's starting state.
void World::checkStart(const View& view, Position acknowledged) {
    if (acknowledged.epoch < view.epoch && view.start < acknowledged)
        fail(fmt::format("the view of epoch {} starts from {} though {} was acknowledged", view.epoch,
                         text(view.start), text(acknowledged)));
}

void World::check(std::size_t index) {
    Node& node = nodes_[index];
    const Position position = node.replica->committedPosition();
    if (position < node.lastShown)
        fail(fmt::format("node {} went back from {} to {}", index, text(node.lastShown), text(position)));
    if (position != node.lastShown) know(index, position, node.replica->committedTable());
    node.lastShown = position;
    if (!node.replica->isFresh(now_)) return;
    while (acknowledgements_.size() > 1 && acknowledgements_[1].first < now_ - kFreshLag)
        acknowledgements_.pop_front();
    if (acknowledgements_.empty() || acknowledgements_.front().first >= now_ - kFreshLag) return;
    if (position < acknowledgements_.front().second)
        fail(fmt::format("node {} calls {} fresh though {} was acknowledged long ago", index, text(position),
                         text(acknowledgements_.front().second)));
}

bool World::isComplete() const {
    const auto running = static_cast<std::size_t>(
        std::ranges::count_if(nodes_, [](const Node& node) { return node.session > 0 && !node.gone; }));
    return std::ranges::all_of(nodes_, [&](const Node& node) {
        if (node.session == 0 || node.gone) return true;
        return node.replica && node.replica->isFresh(now_) && node.replica->view().members.size() == running;
    });
}

void World::fail(const std::string& text) {
    if (outcome_.failure.empty()) outcome_.failure = fmt::format("at {:.1f}: {}", now_, text);
}

}  // namespace beechpoint::replica::exploration
