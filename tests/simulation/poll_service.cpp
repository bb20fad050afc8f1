// Gateways' polls and the members' shares by the rules of control/gateway_service.cpp, on the real leases, messages and their codec.
#include <algorithm>
#include <map>
#include <utility>

#include "control/codec.hpp"
#include "control/table_packing.hpp"
#include "leases/lease_table.hpp"
#include "services.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kNotFreshWait = 300;
constexpr Millis kServiceTick = 100;
constexpr Millis kShareEvery = 500;
constexpr Millis kShareTimeout = 1000;

class PollsByRules : public PollService {
public:
    explicit PollsByRules(ReplicaPort& port) : port_(port), leases_({}, port.now()) {}

    void onRequest(const std::string& bytes, Respond respond) override {
        const auto envelope = control::openEnvelope(bytes);
        if (!envelope) return respond({});
        if (envelope.value().kind == control::RequestKind::share) {
            const auto share = control::decodeShare(envelope.value().body);
            if (share) leases_.merge(port_.now(), share.value().leases);
            return respond(control::encode(control::ShareReply{}));
        }
        auto request = control::decodePollRequest(envelope.value().body);
        if (request) onPoll(std::move(request.value()), std::move(respond));
    }

    void onTableMoved() override { answerDue(0); }
    void onView() override { sharedAt_ = 0; }

    void tick() override {
        const Millis now = port_.now();
        leases_.look(now);
        answerDue(kServiceTick);
        if (now - sharedAt_ >= kShareEvery - kServiceTick / 2) share(now);
    }

    bool waitsForFreshness() const override {
        return std::ranges::any_of(polls_, [](const auto& entry) { return entry.second.refuseAt > 0; });
    }

private:
    struct Waiting {
        control::PollRequest request;
        Respond respond;
        Millis deadline = 0;
        bool anyAnswer = false;
        Millis refuseAt = 0;
    };

    void onPoll(control::PollRequest request, Respond respond) {
        const Millis now = port_.now();
        const std::string name = request.gateway.name;
        if (auto earlier = polls_.extract(name); !earlier.empty())
            answer(now, earlier.mapped().request, earlier.mapped().respond);
        leases_.renew(now, request.gateway);
        const bool fresh = port_.replica().fresh(now);
        const bool hold = !fresh || (request.waitMs > 0 && !hasNews(request));
        if (!hold) return answer(now, request, respond);
        const Millis wait = std::clamp(request.waitMs, 0.0, control::kMaxPollWait);
        polls_.insert_or_assign(name, Waiting{std::move(request), std::move(respond), now + wait, !fresh,
                                              fresh ? 0 : now + kNotFreshWait});
    }

    bool hasNews(const control::PollRequest& request) const {
        return port_.replica().committedPosition() > request.position;
    }

    void answer(Millis now, const control::PollRequest& request, const Respond& respond) {
        control::PollReply reply;
        const auto update = port_.replica().updateSince(request.position);
        if (!port_.replica().fresh(now) || (hasNews(request) && !update)) {
            reply.status = control::PollStatus::notFresh;
            return respond(control::encode(reply));
        }
        if (hasNews(request)) reply.packedTable = control::packTable(*update);
        reply.liveGateways = leases_.count(now);
        reply.members.push_back(port_.replica().self().internalAddress);
        for (const replica::Member& member : port_.replica().view().members)
            if (member.name != port_.replica().self().name) reply.members.push_back(member.internalAddress);
        respond(control::encode(reply));
    }

    bool isDue(Millis now, bool fresh, Millis ahead, Waiting& poll) const {
        if (fresh) poll.refuseAt = 0;
        if (!fresh && poll.refuseAt == 0) poll.refuseAt = now + kNotFreshWait;
        if (!fresh) return now >= poll.refuseAt;
        return poll.anyAnswer || poll.deadline - now < ahead || hasNews(poll.request);
    }

    void answerDue(Millis ahead) {
        const Millis now = port_.now();
        const bool fresh = port_.replica().fresh(now);
        std::vector<Waiting> due;
        for (auto next = polls_.begin(); next != polls_.end();) {
            const auto place = next++;
            if (!isDue(now, fresh, ahead, place->second)) continue;
            due.push_back(std::move(place->second));
            polls_.erase(place);
        }
        for (const Waiting& poll : due) answer(now, poll.request, poll.respond);
    }

    void share(Millis now) {
        if (!port_.replica().inView()) return;
        sharedAt_ = now;
        control::Share share;
        share.member = port_.replica().self().name;
        share.session = port_.replica().self().session;
        share.epoch = port_.replica().view().epoch;
        share.leases = leases_.granted(now);
        for (const replica::Member& member : port_.replica().view().members)
            if (member.name != share.member)
                port_.callMember(member.internalAddress, control::encode(share), kShareTimeout,
                                 [](const Bytes&) {});
    }

    ReplicaPort& port_;
    leases::LeaseTable leases_;
    std::map<std::string, Waiting> polls_;  // by gateway
    Millis sharedAt_ = 0;
};

}  // namespace

std::unique_ptr<PollService> makePollService(ReplicaPort& replica) {
    return std::make_unique<PollsByRules>(replica);
}

}  // namespace beechpoint::simulation
