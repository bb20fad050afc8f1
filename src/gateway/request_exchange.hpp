/// The open requests of a gateway: carries clients' requests to the dispatcher, what the dispatcher decides to hosts and
/// clients, and what hosts answer back to both. It decides nothing itself. Owns the dispatcher, the connections to hosts and
/// the requests; called from the loop's thread only.
///
/// A request lives until its final action or the end of its relayed answer, and until the end of each of its attempts has
/// been reported to the dispatcher. A client that leaves ends its request.
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
#include "gateway/answer_fault.hpp"
#include "gateway/client_answer.hpp"
#include "gateway/client_request.hpp"
#include "gateway/close_delimited_ends.hpp"
#include "gateway/health_check_client.hpp"
#include "gateway/host_attempt.hpp"
#include "gateway/request_end_counts.hpp"
#include "net/server.hpp"
#include "routing/routing_table.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

class RequestExchange {
public:
    /// What this gateway has waiting at hosts, wherever that has changed.
    using OnLoadReport = std::function<void(const dispatch::ReportLoad&)>;
    /// A host has begun to run a request of this tenant; once for each request.
    using OnRunStarted = std::function<void(const std::string& tenant)>;
    /// Whether a request that may last this long is accepted now.
    using Admission = std::function<bool(Millis mayLast)>;

    RequestExchange(asio::io_context& io, const Clock& clock, Logger& log, dispatch::Settings settings,
                    std::uint64_t seed);

    /// The routes from now on; requests keep those that they were routed by.
    void setRoutes(std::shared_ptr<const routing::RoutingTable> table);
    /// How many gateways share the connections to each host, this one included; at least 1.
    void setLiveGateways(std::uint32_t gateways);
    /// Whether the routes are as new as control's: else a key that they lack may have been added since.
    void setTableIsCurrent(std::function<bool()> isCurrent) { tableIsCurrent_ = std::move(isCurrent); }
    void setAdmission(Admission admission) { admission_ = std::move(admission); }
    void onRunStarted(OnRunStarted onRunStarted) { onRunStarted_ = std::move(onRunStarted); }
    void onLoadReport(OnLoadReport onLoadReport) { onLoadReport_ = std::move(onLoadReport); }

    /// A client's request, answered at once where it is not accepted. The message's slices hold during the call only.
    void accept(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client);
    /// Hands an event (hosts, services, evacuations, fleet, peers' load) to the dispatcher and carries out what it decides.
    void handle(dispatch::Event event);
    /// Ends every request: 503 for what has not run, 502 for what may have; answers that have begun are broken off.
    void endAll();

    [[nodiscard]] std::size_t openRequests() const { return requests_.size(); }
    [[nodiscard]] std::size_t openAttempts() const { return dispatcher_.attemptsInFlight(); }
    [[nodiscard]] std::uint64_t routedRequests() const { return lastId_; }
    [[nodiscard]] const RequestEndCounts& endCounts() const { return endCounts_; }
    [[nodiscard]] const AnswerFaultCounts& answerFaults() const { return answerFaults_; }
    [[nodiscard]] const CloseDelimitedEnds& closeDelimitedEnds() const { return closeDelimitedEnds_; }
    [[nodiscard]] const upstream::UpstreamCounts& upstreamCounts() const { return upstream_.counts(); }
    [[nodiscard]] const AccessCounts& accessCounts() const { return accessCounts_; }
    [[nodiscard]] std::size_t upstreamConnections() const { return upstream_.connections(); }

private:
    struct OpenRequest {
        ClientRequest request;
        ClientAnswer answer;
        std::map<int, HostAttempt> attempts;  // by number
        bool streaming = false;               // by its route
        std::optional<int> relayed;           // the attempt whose answer is the client's
        bool runReported = false;             // to onRunStarted_
    };

    void processEvents();
    void addProgress(dispatch::AttemptEnded& ended);
    void onAttemptEndHandled(const dispatch::AttemptEnded& ended);

    void carryOut(const dispatch::Action& action);
    void act(const dispatch::Send& send);
    void act(const dispatch::Cancel& cancel);
    void act(const dispatch::Relay& relay);
    void act(const dispatch::Reject& reject);
    void act(const dispatch::Fail& fail);
    void act(const dispatch::AbortResponse& abort);
    void act(const dispatch::CheckHealth& check);
    void act(const dispatch::SetTimer& timer);
    void act(const dispatch::ReportLoad& load) { onLoadReport_(load); }
    void act(const dispatch::Log& line);

    upstream::Handlers handlersFor(dispatch::RequestId id, int number);
    void onHead(dispatch::RequestId id, int number, const upstream::AnswerHead& head);
    void onData(dispatch::RequestId id, int number, std::string_view bytes);
    void onEvents(dispatch::RequestId id, int number, std::string_view bytes);
    std::optional<upstream::EventFault> readEvents(dispatch::RequestId id, int number,
                                                   std::string_view bytes);
    void onEnd(dispatch::RequestId id, int number);
    void onFailed(dispatch::RequestId id, int number, const upstream::Failure& failure);
    void endAttempt(dispatch::RequestId id, int number, dispatch::Outcome outcome, HostAttempt::State state);
    void reportRun(OpenRequest& request);
    void reportFirstByte(dispatch::RequestId id, int number, HostAttempt& attempt);
    void onClientLeft(dispatch::RequestId id);
    void failRequest(dispatch::RequestId id, int status, std::string_view error, Millis retryAfter);

    [[nodiscard]] bool mayBeNewKey(tenants::AuthenticationOutcome outcome) const;
    void rejectUnrouted(net::HttpConnection& client);
    void rejectUnauthorized(tenants::AuthenticationOutcome outcome, const std::string& route,
                            net::HttpConnection& client);
    void recordFault(const OpenRequest& request, const HostAttempt& attempt, AnswerFault fault,
                     std::string_view detail);
    static std::optional<AnswerFault> endFaultOf(const OpenRequest& request, const HostAttempt& attempt);
    void recordCloseDelimitedEnd(const OpenRequest& request, const HostAttempt& attempt);
    void recordEnd(CountsByReason& counts, dispatch::RejectReason reason, int status);

    std::size_t connectionQuotaShare(const std::string& service) const;
    OpenRequest* find(dispatch::RequestId id);
    HostAttempt* findAttempt(OpenRequest& request, int number);
    void eraseIfOver(dispatch::RequestId id);

    const Clock& clock_;
    Logger& log_;
    dispatch::Dispatcher dispatcher_;
    upstream::Upstream upstream_;
    HealthCheckClient healthChecks_;
    asio::steady_timer timer_;
    std::shared_ptr<const routing::RoutingTable> routes_;
    std::uint32_t liveGateways_ = 1;
    std::function<bool()> tableIsCurrent_ = [] { return true; };
    Admission admission_ = [](Millis) { return true; };
    OnLoadReport onLoadReport_ = [](const auto&) {};
    OnRunStarted onRunStarted_ = [](const auto&) {};
    std::unordered_map<dispatch::RequestId, OpenRequest> requests_;
    dispatch::RequestId lastId_ = 0;
    RequestEndCounts endCounts_;
    AnswerFaultCounts answerFaults_;
    CloseDelimitedEnds closeDelimitedEnds_;
    AccessCounts accessCounts_;
    std::deque<dispatch::Event> events_;
    bool processing_ = false;  // events that come meanwhile wait in events_
};

}  // namespace beechpoint::gateway
