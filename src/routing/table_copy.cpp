#include "routing/table_copy.hpp"

namespace beechpoint::routing {

TableCopy::TableCopy() : current_(std::make_shared<const RoutingTable>()) {}

bool TableCopy::apply(const TableUpdate& update) {
    if (update.position <= current_->position()) {
        ++ignoredUpdates_;
        return false;
    }
    current_ = RoutingTable::updated(*current_, update);
    return true;
}

}  // namespace beechpoint::routing
