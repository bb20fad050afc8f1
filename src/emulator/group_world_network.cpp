// The network: datagrams on their way, doubled, spoilt, late or lost, and cuts between members.
#include "emulator/group_world.hpp"
#include "emulator/group_world_member.hpp"

namespace beechpoint::emulator {

namespace {
constexpr std::size_t kOld = 300;  // datagrams kept that may come again
}  // namespace

void GroupWorld::transit(int from, int to, const std::string& bytes) {
    ++report_.datagrams;
    report_.bytes += bytes.size();
    if (cuts_.contains({from, to}) || unit() < loss_) return;
    const bool noisy = plan_.faultEvery > 0 || plan_.scripted;
    const int copies = noisy && unit() < plan_.twice ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Event e;
        e.at = now_ + between(plan_.delayFrom, plan_.delayTo) +
               (spike_ > 0 && unit() < 0.3 ? between(0, spike_) : 0);
        e.order = ++order_;
        e.kind = Event::Kind::datagram;
        e.member = to;
        e.bytes = bytes;
        if (noisy && unit() < plan_.spoilt)
            e.bytes[static_cast<std::size_t>(unit() * static_cast<double>(bytes.size()))] ^= 1;
        events_.push(std::move(e));
    }
    if (noisy && unit() < 0.02) {
        if (old_.size() >= kOld) old_.erase(old_.begin());
        old_.emplace_back(to, bytes);
    }
}

void GroupWorld::cut(int from, int to, bool on) {
    on ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
}

void GroupWorld::cutOff(int member, bool hears, bool heard) {
    for (int i = 0; i < plan_.members; ++i) {
        if (i == member) continue;
        if (!hears) cut(i, member);
        if (!heard) cut(member, i);
    }
}

void GroupWorld::heal() {
    cuts_.clear();
    loss_ = 0;
    spike_ = 0;
}

void GroupWorld::replayOld() {
    for (int i = 0; i < 20 && !old_.empty(); ++i) {
        const auto& [to, bytes] = old_[static_cast<std::size_t>(unit() * static_cast<double>(old_.size()))];
        Event e;
        e.at = now_ + between(0, 200), e.order = ++order_, e.kind = Event::Kind::datagram;
        e.member = to, e.bytes = bytes;
        events_.push(std::move(e));
    }
}

}  // namespace beechpoint::emulator
