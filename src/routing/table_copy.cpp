#include "routing/table_copy.hpp"

namespace beechpoint::routing {

TableCopy::TableCopy() : current_(std::make_shared<const RoutingTable>()) {}

bool TableCopy::apply(const TableUpdate& update) {
    if (update.position <= position_) {
        ++ignoredUpdates_;
        return false;
    }
    position_ = update.position;
    const bool isEmpty = !update.whole && update.changes.empty();
    if (isEmpty) return false;
    current_ = RoutingTable::updated(*current_, update);
    return true;
}

}  // namespace beechpoint::routing
