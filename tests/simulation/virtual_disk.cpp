#include "virtual_disk.hpp"

#include <utility>

namespace beechpoint::simulation {

void VirtualDisk::persist(replica::DurableUpdate update, std::function<void()> done) {
    queue_.push_back({std::move(update), std::move(done)});
    start();
}

void VirtualDisk::start() {
    if (busy_ || queue_.empty()) return;
    busy_ = true;
    const Millis span = queue_.front().update.force ? network_.draw(1, slowest_) : network_.draw(0.05, 0.3);
    network_.at(network_.now() + span, [this, processNumber = processNumber_] {
        if (processNumber != processNumber_) return;
        const Queued queued = std::move(queue_.front());
        queue_.pop_front();
        busy_ = false;
        apply(queued.update, written_);
        if (queued.update.force) synced_ = written_;
        start();
        queued.done();
    });
}

void VirtualDisk::endProcess() {
    if (busy_ && network_.chance(0.5)) {
        apply(queue_.front().update, written_);
        if (queue_.front().update.force && network_.chance(0.5)) synced_ = written_;
    }
    queue_.clear();
    busy_ = false;
    ++processNumber_;
}

void VirtualDisk::losePower() {
    if (network_.chance(0.7))
        written_ = synced_;
    else
        synced_ = written_;
}

}  // namespace beechpoint::simulation
