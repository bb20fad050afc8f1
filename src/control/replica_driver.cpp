#include "control/replica_driver.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "control/durable_records.hpp"
#include "control/messages.hpp"
#include "control/replica_codec.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"
#include "storage/store_thread.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kCallTimeout = 1000;
constexpr std::size_t kMaxHeard = 64;

struct Outgoing {
    std::string address;
    std::vector<replica::Message> messages;
};

}  // namespace

class ReplicaDriver::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, rpc::Client& client, Listener listener)
        : io_(io),
          clock_(clock),
          logger_(logger),
          client_(client),
          listener_(std::move(listener)),
          timer_(io) {}

    Result<void> open(const std::string& directory, replica::Settings settings, std::uint64_t seed) {
        auto opened = storage::Store::open(directory);
        if (!opened) return opened.error();
        storage::Contents& contents = opened.value().contents;
        if (contents.lost) {
            logger_.warn("the store at {} is lost and counts as empty: {}", field("directory", directory),
                         field("reason", contents.lossReason));
        }
        settings.bootstrap = settings.bootstrap && contents.fresh && !contents.lost;
        auto state = durableState(std::move(contents));
        if (!state) return state.error();
        generation_++;
        store_.emplace(io_, std::move(opened.value().store));
        replica_.emplace(std::move(settings), std::move(state.value()), seed, clock_.now());
        handle(replica::Tick{});
        return boost::outcome_v2::success();
    }

    void close() {
        generation_++;
        timer_.cancel();
        replica_.reset();
        store_.reset();
        failAll(writes_);
        failAll(reads_);
        notify();
    }

    // As close(), and nobody is told.
    void abandon() {
        writes_.clear();
        reads_.clear();
        callbacks_.clear();
        listener_ = {};
        close();
    }

    const replica::Replica* replica() const { return replica_ ? &*replica_ : nullptr; }

    void onRequest(std::string_view body, rpc::Reply reply) {
        const auto messages = decodeMessages(body);
        if (!messages || !replica_) return reply.send(encodeMessages({}));
        Outgoing answers;
        if (!messages.value().empty()) answers.address = messages.value().front().from.internalAddress;
        for (const replica::Message& message : messages.value()) {
            hear(message.from.internalAddress);
            handle(replica::MessageReceived{message}, &answers);
        }
        reply.send(encodeMessages(answers.messages));
    }

    void seeds(std::vector<std::string> addresses) {
        if (replica_) handle(replica::SeedsChanged{std::move(addresses)});
    }

    void leave() {
        if (replica_) handle(replica::Leave{});
    }

    bool left() const { return !replica_ || replica_->hasLeft(clock_.now()); }

    void write(std::vector<Change> changes, std::function<void(bool)> done) {
        if (!replica_) return done(false);
        const std::uint64_t token = ++token_;
        writes_.emplace(token, std::move(done));
        handle(replica::ClientWrite{token, std::move(changes)});
    }

    void readBarrier(std::function<void(bool)> done) {
        if (!replica_) return done(false);
        const std::uint64_t token = ++token_;
        reads_.emplace(token, std::move(done));
        handle(replica::ReadBarrier{token});
    }

    bool heardLately(const std::string& address) const {
        const auto found = heard_.find(address);
        return found != heard_.end() && clock_.now() - found->second <= kHeardLately;
    }

private:
    using Waiting = std::map<std::uint64_t, std::function<void(bool)>>;

    void hear(const std::string& address) {
        if (heard_.size() >= kMaxHeard && !heard_.contains(address)) forgetSilent();
        if (heard_.size() < kMaxHeard || heard_.contains(address)) heard_[address] = clock_.now();
    }

    void forgetSilent() {
        const Millis now = clock_.now();
        std::erase_if(heard_, [now](const auto& entry) { return now - entry.second > kHeardLately; });
    }

    // Messages for `answers->address` are put there instead of being sent.
    void handle(const replica::Event& event, Outgoing* answers = nullptr) {
        std::vector<replica::Action> actions;
        replica_->handle(clock_.now(), event, actions);
        std::vector<Outgoing> outgoing;
        for (replica::Action& action : actions)
            std::visit([&](auto& done) { carryOut(done, outgoing, answers); }, action);
        for (Outgoing& out : outgoing) send(std::move(out));
        notify();
    }

    void carryOut(replica::Send& action, std::vector<Outgoing>& outgoing, Outgoing* answers) {
        if (answers && answers->address == action.address && answers->messages.size() < kMaxReplicaMessages)
            return answers->messages.push_back(std::move(action.message));
        const auto sameAddress = [&](const Outgoing& out) {
            return out.address == action.address && out.messages.size() < kMaxReplicaMessages;
        };
        auto found = std::find_if(outgoing.begin(), outgoing.end(), sameAddress);
        if (found == outgoing.end()) found = outgoing.insert(outgoing.end(), Outgoing{action.address, {}});
        found->messages.push_back(std::move(action.message));
    }
    void carryOut(replica::Persist& action, std::vector<Outgoing>&, Outgoing*) {
        store_->write(storeUpdate(action.update), [weak = weak_from_this(), generation = generation_,
                                                   token = action.token](Result<void> result) {
            const auto self = weak.lock();
            if (self && generation == self->generation_) self->onPersisted(token, result);
        });
    }
    void carryOut(replica::WriteDone& action, std::vector<Outgoing>&, Outgoing*) {
        finish(writes_, action.token, action.outcome == replica::WriteOutcome::committed);
    }
    void carryOut(replica::ReadDone& action, std::vector<Outgoing>&, Outgoing*) {
        finish(reads_, action.token, action.ok);
    }
    void carryOut(replica::Committed&, std::vector<Outgoing>&, Outgoing*) { later(listener_.onTableMoved); }
    void carryOut(replica::TableReplaced&, std::vector<Outgoing>&, Outgoing*) {
        later(listener_.onTableMoved);
    }
    void carryOut(replica::SetTimer& action, std::vector<Outgoing>&, Outgoing*) { arm(action.at); }
    void carryOut(replica::ViewChanged& action, std::vector<Outgoing>&, Outgoing*) {
        std::string members;
        for (const replica::Member& member : action.view.members)
            members += (members.empty() ? "" : " ") + member.name;
        logger_.info("view {}: {}", field("epoch", action.view.epoch), field("members", members));
        later(listener_.onView);
    }
    void carryOut(replica::Log& action, std::vector<Outgoing>&, Outgoing*) {
        logger_.info("replica: {}", field("event", action.text));
    }

    void finish(Waiting& waiting, std::uint64_t token, bool result) {
        auto node = waiting.extract(token);
        if (node.empty()) return;
        later([done = std::move(node.mapped()), result] { done(result); });
    }

    void failAll(Waiting& waiting) {
        for (auto& [token, done] : std::exchange(waiting, {}))
            later([done = std::move(done)] { done(false); });
    }

    // Callbacks run once the event is handled: they may bring the next one.
    void later(std::function<void()> callback) {
        if (callback) callbacks_.push_back(std::move(callback));
    }

    void notify() {
        if (notifying_) return;
        notifying_ = true;
        const auto self = shared_from_this();
        while (!callbacks_.empty()) {
            const auto callback = std::move(callbacks_.front());
            callbacks_.pop_front();
            callback();
        }
        notifying_ = false;
    }

    void send(Outgoing out) {
        std::string bytes(1, static_cast<char>(RequestKind::replica));
        bytes += encodeMessages(out.messages);
        client_.call(out.address, std::move(bytes), kCallTimeout,
                     [weak = weak_from_this(), generation = generation_,
                      address = out.address](Result<std::string> reply) {
                         const auto self = weak.lock();
                         if (self && generation == self->generation_ && reply)
                             self->onReply(address, reply.value());
                     });
    }

    void onReply(const std::string& address, const std::string& bytes) {
        hear(address);
        const auto messages = decodeMessages(bytes);
        if (!messages) return;
        for (const replica::Message& message : messages.value()) handle(replica::MessageReceived{message});
    }

    void onPersisted(std::uint64_t token, const Result<void>& result) {
        if (result) return handle(replica::Persisted{token});
        logger_.seldom("disk", "the store refuses a write: {}", field("error", result.error().text()));
        handle(replica::PersistFailed{token, result.error().message});
    }

    void arm(Millis at) {
        const Millis wait = std::max(0.0, at - clock_.now());
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1000)));
        timer_.async_wait([weak = weak_from_this(), generation = generation_](const asio::error_code& error) {
            const auto self = weak.lock();
            if (!error && self && generation == self->generation_) self->handle(replica::Tick{});
        });
    }

    asio::io_context& io_;
    const Clock& clock_;
    Logger& logger_;
    rpc::Client& client_;
    Listener listener_;
    asio::steady_timer timer_;
    std::optional<storage::StoreThread> store_;
    std::optional<replica::Replica> replica_;
    std::uint64_t generation_ = 0;  // answers for an earlier replica are told by it
    std::uint64_t token_ = 0;
    Waiting writes_, reads_;
    std::deque<std::function<void()>> callbacks_;
    bool notifying_ = false;
    std::map<std::string, Millis> heard_;  // by internal address
};

ReplicaDriver::ReplicaDriver(asio::io_context& io, const Clock& clock, Logger& logger, rpc::Client& client,
                             Listener listener)
    : impl_(std::make_shared<Impl>(io, clock, logger, client, std::move(listener))) {}

ReplicaDriver::~ReplicaDriver() { impl_->abandon(); }

Result<void> ReplicaDriver::open(const std::string& directory, replica::Settings settings,
                                 std::uint64_t seed) {
    return impl_->open(directory, std::move(settings), seed);
}
void ReplicaDriver::close() { impl_->close(); }
void ReplicaDriver::seeds(std::vector<std::string> addresses) { impl_->seeds(std::move(addresses)); }
void ReplicaDriver::leave() { impl_->leave(); }
bool ReplicaDriver::left() const { return impl_->left(); }
const replica::Replica* ReplicaDriver::replica() const { return impl_->replica(); }
void ReplicaDriver::onRequest(std::string_view body, rpc::Reply reply) {
    impl_->onRequest(body, std::move(reply));
}
void ReplicaDriver::write(std::vector<Change> changes, std::function<void(bool)> done) {
    impl_->write(std::move(changes), std::move(done));
}
void ReplicaDriver::readBarrier(std::function<void(bool)> done) { impl_->readBarrier(std::move(done)); }
bool ReplicaDriver::heardLately(const std::string& internalAddress) const {
    return impl_->heardLately(internalAddress);
}

}  // namespace beechpoint::control
