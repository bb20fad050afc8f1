// The world itself: its making, its events in the order of their times, and a whole run.
#include "emulator/group_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "emulator/group_world_member.hpp"

namespace beechpoint::emulator {

namespace {
constexpr std::size_t kBuffer = 200;  // datagrams that wait at a member that stands still
constexpr std::uint64_t kNumber = 7001;
}  // namespace

std::string GroupWorld::name(int member) { return fmt::format("g{}", member); }

std::string GroupWorld::singletonRoleName(int singletonRole) { return fmt::format("duty-{}", singletonRole); }

GroupWorld::GroupWorld(GroupPlan plan, std::uint64_t seed) : plan_(plan), random_(seed) {
    std::vector<std::string> names, voters;
    for (int i = 0; i < plan_.members; ++i) names.push_back(name(i));
    voters.assign(names.begin(), names.begin() + plan_.voters);
    for (int i = 0; i < plan_.members; ++i) {
        auto m = std::make_unique<Member>();
        m->options.self = names[static_cast<std::size_t>(i)];
        m->options.members = names;
        m->options.voters = voters;
        m->options.holdsRoles = i < plan_.willing;
        m->options.raft.safeguards = plan_.safeguards;
        m->options.raft.maxLogEntries = 40;  // cut often
        m->options.times = plan_.times;
        m->rate = 1 + plan_.drift * (2 * unit() - 1);
        if (!plan_.rates.empty()) m->rate = plan_.rates[static_cast<std::size_t>(i)];
        m->files = FaultyFiles(random_());
        m->offset = between(1000, 1e6);
        members_.push_back(std::move(m));
    }
    for (int i = 0; i < plan_.members; ++i) restart(i);
}

GroupWorld::~GroupWorld() = default;

cluster::Core& GroupWorld::core(int member) { return *members_[static_cast<std::size_t>(member)]->core; }

const cluster::Core& GroupWorld::core(int member) const {
    return *members_[static_cast<std::size_t>(member)]->core;
}

bool GroupWorld::alive(int member) const {
    return members_[static_cast<std::size_t>(member)]->core != nullptr;
}

void GroupWorld::at(Millis t, std::function<void()> call) {
    Event e;
    e.at = t, e.order = ++order_, e.kind = Event::Kind::call, e.call = std::move(call);
    events_.push(std::move(e));
}

Millis GroupWorld::localNow(int member) const {
    return members_[static_cast<std::size_t>(member)]->local(now_);
}

bool GroupWorld::stopped(int member) const { return members_[static_cast<std::size_t>(member)]->stopped; }

void GroupWorld::quietBegins() {
    quietSince_ = now_;
    for (auto& m : members_) m->beforeQuiet = m->sentBytes;
}

void GroupWorld::until(Millis t) {
    while (!events_.empty() && events_.top().at <= t) {
        const Event e = events_.top();
        events_.pop();
        now_ = std::max(now_, e.at);
        if (e.kind == Event::Kind::call) {
            e.call();
            continue;
        }
        Member& m = *members_[static_cast<std::size_t>(e.member)];
        if (!m.core) continue;
        switch (e.kind) {
            case Event::Kind::datagram:
                if (m.stopped) {
                    if (m.buffer.size() < kBuffer) m.buffer.push_back(e.bytes);
                } else {
                    step(e.member, [&](cluster::Core& c, Millis at, cluster::Step& out) {
                        c.receive(at, e.bytes, out);
                    });
                }
                break;
            case Event::Kind::wake:
                if (e.epoch == m.epoch)
                    step(e.member,
                         [](cluster::Core& c, Millis at, cluster::Step& out) { c.advance(at, out); });
                break;
            case Event::Kind::act: {
                if (e.epoch != m.processIncarnation) break;
                actOnLeases(e.member);
                Event next = e;
                next.at = now_ + kActEvery / m.rate;
                next.order = ++order_;
                events_.push(std::move(next));
                break;
            }
            default:
                break;
        }
    }
    now_ = std::max(now_, t);
}

GroupReport GroupWorld::run() {
    at(300, [this] { found(0, kNumber); });
    if (plan_.faultEvery > 0) {
        const auto next = std::make_shared<std::function<void()>>();
        *next = [this, next] {
            if (now_ > plan_.length - plan_.quiet) {
                heal();
                for (int i = 0; i < plan_.members; ++i) proceed(i), restart(i);
                return;
            }
            if (now_ > 3000) fault();
            at(now_ - plan_.faultEvery * std::log(1 - unit()), *next);
        };
        at(2500, *next);
        until(plan_.length - plan_.quiet + 1);
        *next = nullptr;
    }
    // Whatever is still to end of the faults ends now.
    until(plan_.length - plan_.quiet + 6500);
    heal();
    for (int i = 0; i < plan_.members; ++i) proceed(i), restart(i);
    until(plan_.length);
    finish();
    return report_;
}

}  // namespace beechpoint::emulator
