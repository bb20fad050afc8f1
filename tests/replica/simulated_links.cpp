// The simulated cluster's network: losses, duplicates, delays and partitions.
#include <fmt/format.h>

#include <utility>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

void Cluster::partition(std::size_t from, std::size_t to, bool partitioned) {
    recordFault(fmt::format("cut {}>{} {}", from, to, partitioned));
    if (partitioned)
        partitions_.insert({from, to});
    else
        partitions_.erase({from, to});
}

void Cluster::healPartitions() {
    partitions_.clear();
    resetAvailability();
}

void Cluster::heal() {
    recordFault("heal");
    network_ = NetworkFaults{};
    disks_ = DiskFaults{};
    onSend_ = nullptr;
    messageDelay_ = nullptr;
    healPartitions();
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        endDiskFaults(index);
        if (nodes_[index].frozen) thaw(index);
        if (!up(index)) start(index);
    }
}

Millis Cluster::transferTime(const Message& message) const {
    const auto* reply = std::get_if<SyncReply>(&message.body);
    return reply && reply->update.whole ? options_.fullTableDelay : 0;
}

void Cluster::send(std::size_t from, const Send& send) {
    const auto found = byAddress_.find(send.address);
    if (found == byAddress_.end()) return;
    const std::size_t to = found->second;
    if (onSend_) onSend_(from, send.message.body);
    const Millis ownDelay = messageDelay_ ? messageDelay_(from, send.message.body) : 0;
    const int copies = random_() < network_.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (random_() < network_.loss) continue;
        const bool sameZone = nodes_[from].member.zone == nodes_[to].member.zone;
        const Millis delay = (sameZone ? 0.5 : draw(0.9, 13)) + draw(0, 0.5) + draw(0, network_.extraDelay) +
                             (random_() < network_.late ? draw(0, 3'000) : 0) + transferTime(send.message) +
                             ownDelay;
        at(now_ + delay, [this, from, to, message = send.message]() mutable {
            if (!partitions_.contains({from, to})) deliver(to, MessageReceived{std::move(message)});
        });
    }
}

}  // namespace beechpoint::replica::simulation
