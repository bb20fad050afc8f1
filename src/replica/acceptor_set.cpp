#include "replica/acceptor_set.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::replica {

std::string AcceptorSet::keyOf(const Member& member) const {
    if (isFounding()) {
        const auto& founders = membership_.founders;
        const bool founder = std::ranges::find(founders, member.controlAddress) != founders.end();
        return founder ? member.controlAddress : std::string{};
    }
    const bool listed = membership_.view.findDisk(member) || membership_.view.findVoter(member);
    return listed ? fmt::format("{}#{}", member.name, member.incarnation) : std::string{};
}

std::vector<std::string> AcceptorSet::addresses() const {
    std::vector<std::string> addresses;
    if (isFounding()) {
        for (const std::string& founder : membership_.founders)
            addresses.push_back(membership_.internalAddressOf(founder));
        return addresses;
    }
    for (const Member& member : membership_.view.membersAndVoters()) {
        const bool own = sameDisk(member, membership_.self);
        addresses.push_back(own ? membership_.self.internalAddress : member.internalAddress);
    }
    return addresses;
}

std::size_t AcceptorSet::majority() const {
    return isFounding() ? membership_.founders.size() / 2 + 1 : membership_.view.majority();
}

}  // namespace beechpoint::replica
