// The live requests of a gateway: carries clients' requests to the dispatcher, what the dispatcher decides to hosts and
// clients, and what hosts answer back to both. It decides nothing itself.
//
// A request lives until its final action or the end of its relayed answer, and each of its attempts until its end has
// been told to the dispatcher. A client that leaves ends its request.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/logger.hpp"
#include "dispatch/dispatcher.hpp"
#include "gateway/client_request.hpp"
#include "net/server.hpp"
#include "routing/routing_table.hpp"
#include "upstream/event_stream.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

class RequestExchange {
public:
    RequestExchange(asio::io_context& io, const Clock& clock, Logger& log, dispatch::Settings settings,
                    std::uint64_t seed);

    // The routes from now on; requests keep those that they were routed by.
    void routes(std::shared_ptr<const routing::RoutingTable> table);
    // Hosts, services, evacuations, fleet: handed on to the dispatcher.
    void tell(dispatch::Event event);
    // How many gateways share the connections to each host, this one included.
    void sharedBy(std::uint32_t gateways) { gateways_ = std::max<std::uint32_t>(gateways, 1); }
    // What this gateway has waiting at hosts, wherever that has changed.
    using LoadTold = std::function<void(const dispatch::ReportLoad&)>;
    void onLoad(LoadTold told) { loadTold_ = std::move(told); }
    // Only requests for which this holds are taken from now on, asked with the time that each may last; others are refused.
    using MayTake = std::function<bool(Millis mayLast)>;
    void takeOnlyIf(MayTake mayTake) { mayTake_ = std::move(mayTake); }
    // A client's request; its slices hold during the call only.
    void take(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client);

    std::size_t live() const { return requests_.size(); }
    std::size_t attemptsOut() const { return dispatcher_.attemptsInFlight(); }
    std::uint64_t requestsTaken() const { return lastId_; }
    const upstream::UpstreamCounts& upstreamCounts() const { return upstream_.counts(); }
    std::size_t upstreamConnections() const { return upstream_.connections(); }
    // Ends every request: 503 for what has not run, 502 for what may have, and answers that have begun are broken off.
    void endAll();

private:
    struct Attempt {
        upstream::Handle handle = 0;
        std::string instance, service;
        upstream::AnswerHead head;
        bool headSeen = false, ended = false, firstByteTold = false, eventStream = false;
        bool whole = false;  // the answer has come to its proper end
        std::string held;    // of an answer that is not the client's yet
        upstream::EventSplitter splitter;
        Millis warmupLeft = 0;
    };
    struct LiveRequest {
        std::shared_ptr<net::HttpConnection> client;
        ClientRequest asked;
        std::map<int, Attempt> attempts;
        upstream::EventProgress progress;
        int relayed = -1;
        bool headSent = false;
        bool done = false;  // the client has its final answer, or has left
    };

    void process();
    void carryOut(const dispatch::Action& action);
    void act(const dispatch::Send& send);
    void act(const dispatch::Cancel& cancel);
    void act(const dispatch::Relay& relay);
    void act(const dispatch::Reject& reject);
    void act(const dispatch::Fail& fail);
    void act(const dispatch::AbortResponse& abort);
    void act(const dispatch::CheckHealth& check);
    void act(const dispatch::SetTimer& timer);
    void act(const dispatch::ReportLoad& load) { loadTold_(load); }
    void act(const dispatch::Log& line);

    upstream::Request hostRequest(const LiveRequest& request, const dispatch::Send& send) const;
    std::size_t connectionShare(const std::string& service) const;
    void onHead(dispatch::RequestId id, int number, const upstream::AnswerHead& head);
    void onData(dispatch::RequestId id, int number, std::string_view bytes);
    void onEnd(dispatch::RequestId id, int number);
    void onFailed(dispatch::RequestId id, int number, const upstream::Failure& failure);
    void attemptEnded(dispatch::RequestId id, int number, dispatch::Outcome outcome);
    void firstByte(dispatch::RequestId id, int number, Attempt& attempt);
    void forward(LiveRequest& request, Attempt& attempt, std::string_view bytes);
    void write(LiveRequest& request, const Attempt& attempt, std::string_view bytes);
    bool beginAnswer(LiveRequest& request, const Attempt& attempt);
    void clientGone(dispatch::RequestId id);
    void finish(LiveRequest& request);
    void answer(dispatch::RequestId id, int status, std::string_view error, Millis retryAfter);
    void forget(dispatch::RequestId id);
    LiveRequest* find(dispatch::RequestId id);

    asio::io_context& io_;
    const Clock& clock_;
    Logger& log_;
    dispatch::Dispatcher dispatcher_;
    upstream::Upstream upstream_;
    asio::steady_timer timer_;
    std::shared_ptr<const routing::RoutingTable> routes_;
    std::uint32_t gateways_ = 1;
    MayTake mayTake_ = [](Millis) { return true; };
    LoadTold loadTold_ = [](const auto&) {};
    std::unordered_map<dispatch::RequestId, LiveRequest> requests_;
    dispatch::RequestId lastId_ = 0;
    std::deque<dispatch::Event> events_;
    bool processing_ = false;
};

}  // namespace beechpoint::gateway
