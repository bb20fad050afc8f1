// A gateway without clients and hosts: what a gateway does for control's sake, with the same code (link, copy of the
// table, holder of the host list), and nothing else.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gateway/control_link.hpp"
#include "gateway/host_list_copy.hpp"
#include "routing/table_copy.hpp"
#include "scale/progress.hpp"

namespace beechpoint::scale {

class HollowGateway {
public:
    // References must outlive it. `index` is its place among all gateways, from 0.
    HollowGateway(asio::io_context& io, const Clock& clock, Logger& logger, std::size_t index,
                  const std::vector<std::string>& seeds, Progress& progress);
    void start() { link_.start(); }

private:
    control::PollRequest request() const;
    void onReply(const control::PollReply& reply);
    bool ready() const { return table_.configured() && hosts_.list() != nullptr; }

    const Clock& clock_;
    std::size_t index_;
    Progress& progress_;
    routing::TableCopy table_;
    gateway::HostListCopy hosts_;
    std::uint64_t directoryDigest_ = 0;  // of the gateways that control told of last
    gateway::ControlLink link_;
};

}  // namespace beechpoint::scale
