#include "control/replica_driver.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "control/callback_queue.hpp"
#include "control/durable_records.hpp"
#include "control/outgoing_messages.hpp"
#include "control/pending_operations.hpp"
#include "control/replica_codec.hpp"
#include "control/responsive_members.hpp"
#include "control_messages/messages.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"
#include "storage/store_thread.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kCallTimeout = 1000;
constexpr double kMicrosPerMilli = 1000;

std::string namesOf(const std::vector<replica::Member>& members) {
    std::string names;
    for (const replica::Member& member : members) names += (names.empty() ? "" : " ") + member.name;
    return names;
}

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

    // ---- Life cycle

    Result<void> open(const std::string& directory, replica::Settings settings, std::uint64_t seed) {
        auto opened = storage::Store::open(directory);
        if (!opened) return opened.error();
        storage::Contents& contents = opened.value().contents;
        if (contents.lost) {
            logger_.warn("the store at {} is lost and counts as empty: {}", field("directory", directory),
                         field("reason", contents.lossReason));
        }
        // Only a store that was never used may bootstrap a group: one that lost its state lacks writes that it acknowledged.
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
        failAll(readBarriers_);
        runCallbacks();
    }

    // As close(), without any callback.
    void abandon() {
        writes_ = {};
        readBarriers_ = {};
        callbacks_.clear();
        listener_ = {};
        close();
    }

    // ---- Calls of the owner

    const replica::Replica* replica() const { return replica_ ? &*replica_ : nullptr; }

    void setSeeds(std::vector<std::string> addresses) {
        if (replica_) handle(replica::SeedsChanged{std::move(addresses)});
    }

    void leaveView() {
        if (replica_) handle(replica::Leave{});
    }

    bool hasLeftView() const { return !replica_ || replica_->hasLeft(clock_.now()); }

    void write(std::vector<Change> changes, PendingOperations::Done done) {
        if (!replica_) {
            done(false);
            return;
        }
        const std::uint64_t token = ++lastToken_;
        writes_.add(token, std::move(done));
        handle(replica::ClientWrite{token, std::move(changes)});
    }

    void readBarrier(PendingOperations::Done done) {
        if (!replica_) {
            done(false);
            return;
        }
        const std::uint64_t token = ++lastToken_;
        readBarriers_.add(token, std::move(done));
        handle(replica::ReadBarrier{token});
    }

    bool isResponsive(const std::string& internalAddress) const {
        return responsiveMembers_.isResponsive(internalAddress, clock_.now());
    }

    // ---- Messages of other members

    void onRequest(std::string_view body, rpc::Reply reply) {
        const auto messages = decodeMessages(body);
        if (!messages || !replica_) {
            reply.send(encodeMessages({}));
            return;
        }
        MessageBatch answers;
        if (!messages.value().empty()) answers.address = messages.value().front().from.internalAddress;
        for (const replica::Message& message : messages.value()) {
            responsiveMembers_.onMessage(message.from.internalAddress, clock_.now());
            handle(replica::MessageReceived{message}, &answers);
        }
        reply.send(encodeMessages(answers.messages));
    }

private:
    // `reply`: collects messages to its address, which are then not sent as calls.
    void handle(const replica::Event& event, MessageBatch* reply = nullptr) {
        std::vector<replica::Action> actions;
        replica_->handle(clock_.now(), event, actions);
        OutgoingMessages outgoing(reply);
        for (replica::Action& action : actions)
            std::visit([&](auto& what) { carryOut(what, outgoing); }, action);
        for (const MessageBatch& batch : outgoing.takeBatches()) send(batch);
        runCallbacks();
    }

    // ---- Actions of the replica

    void carryOut(replica::Send& action, OutgoingMessages& outgoing) {
        outgoing.add(action.address, std::move(action.message));
    }
    void carryOut(replica::Persist& action, OutgoingMessages&) {
        store_->write(storeUpdate(action.update), [weak = weak_from_this(), generation = generation_,
                                                   token = action.token](const Result<void>& result) {
            const auto self = weak.lock();
            if (self && generation == self->generation_) self->onPersisted(token, result);
        });
    }
    void carryOut(replica::WriteDone& action, OutgoingMessages&) {
        finish(writes_, action.token, action.outcome == replica::WriteOutcome::committed);
    }
    void carryOut(replica::ReadDone& action, OutgoingMessages&) {
        finish(readBarriers_, action.token, action.ok);
    }
    void carryOut(replica::Committed&, OutgoingMessages&) { callbacks_.add(listener_.onTableChanged); }
    void carryOut(replica::TableReplaced&, OutgoingMessages&) { callbacks_.add(listener_.onTableChanged); }
    void carryOut(replica::SetTimer& action, OutgoingMessages&) { armTimer(action.at); }
    void carryOut(replica::ViewChanged& action, OutgoingMessages&) {
        logger_.info("view {}: {}", field("epoch", action.view.epoch),
                     field("members", namesOf(action.view.members)));
        callbacks_.add(listener_.onViewChanged);
    }
    void carryOut(replica::Log& action, OutgoingMessages&) {
        logger_.info("replica: {}", field("event", action.text));
    }

    // ---- Callbacks

    void finish(PendingOperations& operations, std::uint64_t token, bool succeeded) {
        auto done = operations.take(token);
        if (done) callbacks_.add([done = std::move(done), succeeded] { done(succeeded); });
    }

    void failAll(PendingOperations& operations) {
        for (auto& [token, done] : operations.takeAll())
            callbacks_.add([done = std::move(done)] { done(false); });
    }

    // A callback may destroy the driver: keep this object alive until the queue is empty.
    void runCallbacks() {
        const auto self = shared_from_this();
        callbacks_.run();
    }

    // ---- Network

    void send(const MessageBatch& batch) {
        std::string bytes(1, static_cast<char>(RequestKind::replica));
        bytes += encodeMessages(batch.messages);
        client_.call(batch.address, std::move(bytes), kCallTimeout,
                     [weak = weak_from_this(), generation = generation_,
                      address = batch.address](Result<std::string> reply) {
                         const auto self = weak.lock();
                         if (self && generation == self->generation_ && reply)
                             self->onReply(address, reply.value());
                     });
    }

    void onReply(const std::string& address, const std::string& bytes) {
        responsiveMembers_.onMessage(address, clock_.now());
        const auto messages = decodeMessages(bytes);
        if (!messages) return;
        for (const replica::Message& message : messages.value()) handle(replica::MessageReceived{message});
    }

    // ---- Disk

    void onPersisted(std::uint64_t token, const Result<void>& result) {
        if (result) {
            handle(replica::Persisted{token});
            return;
        }
        logger_.seldom("disk", "the store refuses a write: {}", field("error", result.error().text()));
        handle(replica::PersistFailed{token, result.error().message});
    }

    // ---- Timer

    void armTimer(Millis at) {
        const Millis wait = std::max(0.0, at - clock_.now());
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(wait * kMicrosPerMilli)));
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
    std::uint64_t generation_ =
        0;  // counts openings and closings: answers meant for an earlier one are dropped
    std::uint64_t lastToken_ = 0;
    PendingOperations writes_;
    PendingOperations readBarriers_;
    CallbackQueue callbacks_;
    ResponsiveMembers responsiveMembers_;
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
void ReplicaDriver::setSeeds(std::vector<std::string> addresses) { impl_->setSeeds(std::move(addresses)); }
void ReplicaDriver::leaveView() { impl_->leaveView(); }
bool ReplicaDriver::hasLeftView() const { return impl_->hasLeftView(); }
const replica::Replica* ReplicaDriver::replica() const { return impl_->replica(); }
void ReplicaDriver::onRequest(std::string_view body, rpc::Reply reply) {
    impl_->onRequest(body, std::move(reply));
}
void ReplicaDriver::write(std::vector<Change> changes, std::function<void(bool)> done) {
    impl_->write(std::move(changes), std::move(done));
}
void ReplicaDriver::readBarrier(std::function<void(bool)> done) { impl_->readBarrier(std::move(done)); }
bool ReplicaDriver::isResponsive(const std::string& internalAddress) const {
    return impl_->isResponsive(internalAddress);
}

}  // namespace beechpoint::control
