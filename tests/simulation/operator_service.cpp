// The operators' calls at a member by the rules of control/operator_api.cpp, on the real decisions of control/operator_call.hpp.
#include <algorithm>
#include <list>
#include <utility>

#include "configuration/stored_item.hpp"
#include "control/operator_call.hpp"
#include "services.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kOperatorWait = 850;
constexpr Millis kBarrierPause = 25;  // a barrier that failed is not begun again in the same step

class CallsByRules : public OperatorService {
public:
    explicit CallsByRules(ReplicaPort& port) : port_(port) {}

    void onCall(std::uint64_t id, const OperatorRequest& request, Respond respond) override {
        auto call = control::parseOperatorCall(request.method, request.path, request.ifMatch);
        if (!call) return respond({control::statusOfCallError(call.error()), "", "", {}, {}});
        call.value().body = request.body;
        pending_.push_back({id, std::move(call.value()), std::move(respond), port_.now() + kOperatorWait});
        look();
    }

    void onClientLeft(std::uint64_t id) override {
        const auto found = std::ranges::find(pending_, id, &Pending::id);
        if (found != pending_.end()) found->left = true;
    }

    void look() override {
        if (looking_) return;
        looking_ = true;
        do {
            again_ = false;
            lookOnce();
        } while (again_);
        looking_ = false;
    }

    bool waiting() const override {
        return std::ranges::any_of(pending_, [](const Pending& pending) { return !pending.inHand; });
    }

private:
    struct Pending {
        std::uint64_t id;
        control::OperatorCall call;
        Respond respond;
        Millis deadline;
        Millis notBefore = 0;
        bool inHand = false;
        bool left = false;
    };
    using Iterator = std::list<Pending>::iterator;

    void lookOnce() {
        bool writeAhead = std::ranges::any_of(
            pending_, [](const Pending& pending) { return pending.call.writes() && pending.inHand; });
        for (auto next = pending_.begin(); next != pending_.end();) {
            const auto pending = next++;
            if (pending->inHand) continue;
            if (pending->left) {
                pending_.erase(pending);
                continue;
            }
            const bool writes = pending->call.writes();
            const std::string elsewhere = elsewhereFor(writes);
            if (!elsewhere.empty()) {
                answer(pending, {307, "", "http://" + elsewhere + pending->call.target, {}, {}});
            } else if (port_.now() >= pending->deadline) {
                answer(pending, {503, "", "", {}, {}});
            } else if (port_.now() < pending->notBefore) {
                writeAhead = writeAhead || writes;
            } else if (isHere(writes) && !writes) {
                passBarrier(pending);
            } else if (isHere(writes) && !writeAhead && port_.replica().writable()) {
                writeAhead = true;
                startWrite(pending, false);
            } else if (writes) {
                writeAhead = true;
            }
        }
    }

    bool isHere(bool writes) const {
        const replica::Replica& replica = port_.replica();
        return replica.inView() && (writes ? replica.isHead() : replica.isTail());
    }

    std::string elsewhereFor(bool writes) const {
        const auto& members = port_.replica().view().members;
        if (isHere(writes) || members.empty()) return {};
        const replica::Member& member = writes ? members.front() : members.back();
        const bool itself = member.name == port_.replica().self().name;
        return itself || !port_.heardLately(member.internalAddress) ? "" : member.controlAddress;
    }

    void passBarrier(Iterator pending) {
        pending->inHand = true;
        auto done = [this, pending](bool ok) { onBarrier(pending, ok); };
        if (pending->call.writes())
            port_.write({}, std::move(done));
        else
            port_.readBarrier(std::move(done));
    }

    void onBarrier(Iterator pending, bool ok) {
        pending->inHand = false;
        if (ok && !pending->call.writes())
            answer(pending, shown(port_.replica().committedTable()));
        else if (ok)
            startWrite(pending, true);
        else
            pending->notBefore = port_.now() + kBarrierPause;
        lookAgain();
    }

    static OperatorAnswer shown(const Table& table) {
        return {200, configuration::renderConfiguration(table), "", {}, {}};
    }

    void startWrite(Iterator pending, bool vouched) {
        pending->inHand = true;
        const auto decision = control::decide(pending->call, port_.replica().committedTable());
        if (decision && std::holds_alternative<configuration::Accepted>(decision.value())) {
            const auto& accepted = std::get<configuration::Accepted>(decision.value());
            port_.write(accepted.changes, [this, pending, revision = accepted.revision](bool committed) {
                answer(pending, committed ? taken(revision) : OperatorAnswer{503, "", "", {}, {}});
                lookAgain();
            });
            return;
        }
        if (!vouched) return passBarrier(pending);
        if (!decision)
            return answer(pending, {configuration::httpStatus(decision.error().kind), "", "", {}, {}});
        answer(pending, taken(std::get<configuration::AlreadyTaken>(decision.value()).revision));
    }

    static OperatorAnswer taken(std::uint64_t revision) {
        return {200, "{\"revision\":" + std::to_string(revision) + "}", "", {}, {}};
    }

    void answer(Iterator pending, OperatorAnswer answer) {
        const Respond respond = std::move(pending->respond);
        pending_.erase(pending);
        respond(std::move(answer));
    }

    void lookAgain() {
        again_ = looking_;
        if (!looking_) look();
    }

    ReplicaPort& port_;
    std::list<Pending> pending_;
    bool looking_ = false, again_ = false;
};

}  // namespace

std::unique_ptr<OperatorService> makeOperatorService(ReplicaPort& replica) {
    return std::make_unique<CallsByRules>(replica);
}

}  // namespace beechpoint::simulation
