#include "gateway/request_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "gateway/host_answer.hpp"
#include "gateway/host_request.hpp"

namespace beechpoint::gateway {

namespace {

using dispatch::Outcome;

constexpr double kUsedConnections = 0.9;  // of a host's connections: others may count them late
constexpr std::size_t kMinConnections = 2;
constexpr int kBadGateway = 502;
constexpr std::size_t kConnectionsUnstated = 64;  // where the service states no bound
constexpr Millis kRetryUnconfigured = 500;        // advice to a client while no configuration is known
constexpr Millis kRetryElsewhere = 50;            // advice to a client that is to go to another gateway
constexpr std::string_view kJson = "application/json";

dispatch::AttemptEnded notSent(const dispatch::Send& send) {
    dispatch::AttemptEnded ended;
    ended.id = send.id;
    ended.attempt = send.attempt;
    ended.outcome = Outcome::notConnected;
    return ended;
}

}  // namespace

RequestExchange::RequestExchange(asio::io_context& io, const Clock& clock, Logger& log,
                                 dispatch::Settings settings, std::uint64_t seed)
    : clock_(clock),
      log_(log),
      dispatcher_(std::move(settings), seed, clock.now()),
      upstream_(io, clock),
      healthChecks_(upstream_, [this](const dispatch::HealthCheckEnded& ended) { handle(ended); }),
      timer_(io),
      routes_(std::make_shared<routing::RoutingTable>()) {}

void RequestExchange::setRoutes(std::shared_ptr<const routing::RoutingTable> table) {
    routes_ = std::move(table);
}

void RequestExchange::setLiveGateways(std::uint32_t gateways) {
    liveGateways_ = std::max<std::uint32_t>(gateways, 1);
}

void RequestExchange::accept(const net::HttpMessage& message,
                             const std::shared_ptr<net::HttpConnection>& client) {
    if (routes_->revision() == 0)
        return client->respond(503, kJson, R"({"error":"no configuration yet"})",
                               net::retryAfterHeader(kRetryUnconfigured));
    const auto route = routes_->find(message.header("Host"), message.path());
    if (!route) return rejectUnrouted(*client);
    const tenants::Authentication authentication =
        tenants::authenticate(routes_->tenants().get(), route->route.public_, authorizationOf(message));
    accessCounts_.add(authentication.outcome);
    if (!authentication.isAccepted())
        return rejectUnauthorized(authentication.outcome, route->route.name, *client);
    ClientRequest request = readClientRequest(message);
    assignTenant(authentication, request);
    if (request.attemptId.empty() || message.count("X-Attempt-Id") != 1)
        return client->respond(400, kJson,
                               R"({"error":"X-Attempt-Id must be there once; send one id a try"})");
    const dispatch::RequestId id = ++lastId_;
    dispatch::RequestArrived event = arrival(id, request, *route, clock_.now() - client->begunAt());
    if (!admission_(event.deadline))
        return client->respond(503, kJson,
                               R"({"error":"ending; not taken and not run; ask another gateway"})",
                               net::retryAfterHeader(kRetryElsewhere));
    ClientAnswer answer(client, upstream_, request.lastEventId);
    const bool streaming = event.type == dispatch::RequestType::streaming;
    requests_.emplace(id, OpenRequest{std::move(request), std::move(answer), {}, streaming, {}});
    client->whenGone([this, id] { onClientLeft(id); });
    handle(std::move(event));
}

void RequestExchange::rejectUnrouted(net::HttpConnection& client) {
    ++accessCounts_.routeNotFound;
    log_.seldom("route_not_found", "a request was answered with 404 by revision {}: no route",
                field("revision", routes_->revision()));
    client.respond(404, kJson, R"({"error":"no route"})");
}

// A 401 is final for clients, so a key that may be newer than this table is not called unknown.
bool RequestExchange::mayBeNewKey(tenants::AuthenticationOutcome outcome) const {
    const bool hasKey = outcome != tenants::AuthenticationOutcome::missingKey;
    return hasKey && (!routes_->tenants()->isComplete() || !tableIsCurrent_());
}

// Each outcome has a kind of its own in the log, so that a flood of one does not hide another.
void RequestExchange::rejectUnauthorized(tenants::AuthenticationOutcome outcome, const std::string& route,
                                         net::HttpConnection& client) {
    if (mayBeNewKey(outcome))
        return client.respond(503, kJson,
                              R"({"error":"the key is not known here yet; not taken and not run"})",
                              net::retryAfterHeader(kRetryUnconfigured));
    const std::string_view reason = tenants::nameOf(outcome);
    log_.seldom(reason, "a request on route {} was answered with 401 by revision {}: {}",
                field("route", route), field("revision", routes_->revision()), field("reason", reason));
    client.respond(401, kJson, R"({"error":"no tenant holds this key; send Authorization: Bearer KEY"})",
                   "WWW-Authenticate: Bearer\r\n");
}

void RequestExchange::handle(dispatch::Event event) {
    events_.push_back(std::move(event));
    processEvents();
}

void RequestExchange::endAll() { handle(dispatch::ShutDown{}); }

// Actions may bring further events at once; they are handled in order, never one inside another.
void RequestExchange::processEvents() {
    if (processing_) return;
    processing_ = true;
    std::vector<dispatch::Action> actions;
    while (!events_.empty()) {
        dispatch::Event event = std::move(events_.front());
        events_.pop_front();
        if (auto* const ended = std::get_if<dispatch::AttemptEnded>(&event)) addProgress(*ended);
        actions.clear();
        dispatcher_.handle(clock_.now(), event, actions);
        for (const dispatch::Action& action : actions) carryOut(action);
        if (const auto* const ended = std::get_if<dispatch::AttemptEnded>(&event))
            onAttemptEndHandled(*ended);
    }
    processing_ = false;
}

// Only now: events ahead of this one may have had more of the answer relayed.
void RequestExchange::addProgress(dispatch::AttemptEnded& ended) {
    const OpenRequest* const request = find(ended.id);
    if (!request) return;
    ended.lastEventId = request->answer.lastEventId().value_or("");
    ended.continuable = request->answer.continuable();
}

// The dispatcher may relay an attempt's answer in the same batch of actions in which it hears of its end.
void RequestExchange::onAttemptEndHandled(const dispatch::AttemptEnded& ended) {
    OpenRequest* const request = find(ended.id);
    if (!request) return;
    const HostAttempt* const attempt = findAttempt(*request, ended.attempt);
    const bool complete = attempt && attempt->state == HostAttempt::State::complete;
    request->attempts.erase(ended.attempt);
    if (complete && request->relayed == ended.attempt) request->answer.complete();
    eraseIfOver(ended.id);
}

RequestExchange::OpenRequest* RequestExchange::find(dispatch::RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

HostAttempt* RequestExchange::findAttempt(OpenRequest& request, int number) {
    const auto found = request.attempts.find(number);
    return found == request.attempts.end() ? nullptr : &found->second;
}

void RequestExchange::eraseIfOver(dispatch::RequestId id) {
    const OpenRequest* const request = find(id);
    if (request && request->answer.over() && request->attempts.empty()) requests_.erase(id);
}

void RequestExchange::onClientLeft(dispatch::RequestId id) {
    OpenRequest* const request = find(id);
    if (!request || request->answer.over()) return;
    request->answer.clientLeft();
    handle(dispatch::ClientDisconnected{id});
    eraseIfOver(id);
}

// ---- the dispatcher's actions

void RequestExchange::carryOut(const dispatch::Action& action) {
    std::visit([this](const auto& one) { act(one); }, action);
}

// This gateway's part of the connections that a host of the service allows to all gateways.
std::size_t RequestExchange::connectionQuotaShare(const std::string& service) const {
    const auto entry = routes_->findService(service);
    const double all = entry ? entry->service.maxConnections : 0;
    if (all <= 0) return kConnectionsUnstated;
    const auto share = static_cast<std::size_t>(kUsedConnections * all / liveGateways_);
    return std::max(share, kMinConnections);
}

void RequestExchange::act(const dispatch::Send& send) {
    OpenRequest* const request = find(send.id);
    const auto address = upstream::HostAddress::parse(send.address);
    if (!request || !address) {
        events_.push_back(notSent(send));
        return;
    }
    HostAttempt& attempt = request->attempts[send.attempt];
    attempt.instanceId = send.instanceId;
    attempt.events = upstream::EventReader(request->answer.lastEventId().has_value());
    if (send.resume) request->relayed.reset();
    attempt.handle = upstream_.send(address.value(), connectionQuotaShare(send.service),
                                    hostRequest(request->request, send, request->answer.lastEventId()),
                                    send.timeout, handlersFor(send.id, send.attempt));
}

void RequestExchange::act(const dispatch::Cancel& cancel) {
    OpenRequest* const request = find(cancel.id);
    if (!request) return;
    const HostAttempt* const attempt = findAttempt(*request, cancel.attempt);
    if (!attempt || attempt->state != HostAttempt::State::open) return;
    upstream_.cancel(attempt->handle);
    endAttempt(cancel.id, cancel.attempt, Outcome::cancelled, HostAttempt::State::ended);
}

void RequestExchange::act(const dispatch::Relay& relay) {
    OpenRequest* const request = find(relay.id);
    if (!request || request->answer.over()) return;
    HostAttempt* const attempt = findAttempt(*request, relay.attempt);
    if (!attempt) return;
    request->relayed = relay.attempt;
    request->answer.relay(*attempt);
}

void RequestExchange::failRequest(dispatch::RequestId id, int status, std::string_view error,
                                  Millis retryAfter) {
    OpenRequest* const request = find(id);
    if (!request || request->answer.over()) return;
    request->answer.fail(status, error, retryAfter);
    eraseIfOver(id);
}

// Each reason has a kind of its own in the log, so that a flood of one does not hide another.
void RequestExchange::recordEnd(CountsByReason& counts, dispatch::RejectReason reason, int status) {
    RequestEndCounts::add(counts, reason);
    const std::string_view name = dispatch::nameOf(reason);
    log_.seldom(name, "a request was ended here with {}: {}", field("status", status), field("reason", name));
}

void RequestExchange::act(const dispatch::Reject& reject) {
    recordEnd(endCounts_.rejected, reject.reason, reject.status);
    failRequest(reject.id, reject.status, "not taken and not run; try again later", reject.retryAfter);
}

void RequestExchange::act(const dispatch::Fail& fail) {
    recordEnd(endCounts_.failed, fail.reason, fail.status);
    const bool late = fail.status == 504;
    failRequest(fail.id, fail.status, late ? "out of time" : "the host failed; the request may have run", 0);
}

void RequestExchange::act(const dispatch::AbortResponse& abort) {
    recordEnd(endCounts_.aborted, abort.reason, kBadGateway);
    failRequest(abort.id, kBadGateway, "the host broke off", 0);
}

void RequestExchange::act(const dispatch::CheckHealth& check) {
    const auto address = upstream::HostAddress::parse(check.address);
    const auto service = routes_->findService(check.service);
    if (!address || !service) {
        dispatch::HealthCheckEnded ended;
        ended.instanceId = check.instanceId;
        events_.push_back(std::move(ended));
        return;
    }
    healthChecks_.check(check.instanceId, address.value(), check.address, service->service.healthCheckPath,
                        connectionQuotaShare(check.service));
}

void RequestExchange::act(const dispatch::SetTimer& timer) {
    timer_.expires_after(toMicroseconds(timer.at - clock_.now()));
    timer_.async_wait([this](asio::error_code error) {
        if (!error) handle(dispatch::Tick{});
    });
}

void RequestExchange::act(const dispatch::Log& line) {
    log_.seldom(line.kind, "{}: {}", field("what", line.kind), field("detail", line.text));
}

// ---- hosts' answers

upstream::Handlers RequestExchange::handlersFor(dispatch::RequestId id, int number) {
    upstream::Handlers handlers;
    handlers.onHead = [this, id, number](const upstream::AnswerHead& head) { onHead(id, number, head); };
    handlers.onData = [this, id, number](std::string_view bytes) { onData(id, number, bytes); };
    handlers.onEnd = [this, id, number] { onEnd(id, number); };
    handlers.onFailed = [this, id, number](const upstream::Failure& failure) {
        onFailed(id, number, failure);
    };
    return handlers;
}

void RequestExchange::onHead(dispatch::RequestId id, int number, const upstream::AnswerHead& head) {
    OpenRequest* const request = find(id);
    if (!request) return;
    HostAttempt& attempt = request->attempts.at(number);
    attempt.head = head;
    attempt.eventStream = request->streaming && isEventStream(head);
    attempt.warmupLeft = warmupLeft(head);
    dispatch::AttemptHead event;
    event.id = id;
    event.attempt = number;
    event.status = head.status;
    event.rejected = notExecuted(head);
    if (!event.rejected && !attempt.eventStream) reportRun(*request);
    event.sealed = upstream::findHeader(head.headers, "X-Server-Seal") != nullptr;
    event.eventStream = attempt.eventStream;
    event.bodyBytes = head.noBody ? std::optional<std::uint64_t>(0) : head.contentLength;
    handle(std::move(event));
}

void RequestExchange::reportRun(OpenRequest& request) {
    if (request.runReported) return;
    request.runReported = true;
    if (request.request.tenant) onRunStarted_(request.request.tenant->name);
}

void RequestExchange::reportFirstByte(dispatch::RequestId id, int number, HostAttempt& attempt) {
    if (attempt.firstByteReported) return;
    attempt.firstByteReported = true;
    events_.push_back(dispatch::AttemptFirstByte{id, number});
}

void RequestExchange::onData(dispatch::RequestId id, int number, std::string_view bytes) {
    OpenRequest* const request = find(id);
    if (!request) return;
    HostAttempt& attempt = request->attempts.at(number);
    attempt.bodyBytes += bytes.size();
    if (attempt.eventStream) return onEvents(id, number, bytes);
    reportFirstByte(id, number, attempt);
    if (request->relayed == number && request->answer.open())
        request->answer.forward(attempt, bytes);
    else if (!request->answer.over())
        attempt.keep(bytes);
    processEvents();
}

// The events before a fault are passed on first: they are the run's.
void RequestExchange::onEvents(dispatch::RequestId id, int number, std::string_view bytes) {
    const auto fault = readEvents(id, number, bytes);
    processEvents();
    const OpenRequest* const request = find(id);
    if (!fault || !request || !request->attempts.contains(number)) return;
    const HostAttempt& attempt = request->attempts.at(number);
    if (attempt.state != HostAttempt::State::open) return;
    upstream_.cancel(attempt.handle);
    recordFault(*request, attempt, AnswerFault::unsoundEvent, upstream::nameOf(*fault));
    endAttempt(id, number, Outcome::malformed, HostAttempt::State::ended);
    processEvents();
}

std::optional<upstream::EventFault> RequestExchange::readEvents(dispatch::RequestId id, int number,
                                                                std::string_view bytes) {
    OpenRequest& request = requests_.at(id);
    HostAttempt& attempt = request.attempts.at(number);
    const bool relayed = request.relayed == number && request.answer.open();
    std::string passed;
    bool any = false;
    const auto fault = attempt.events.feed(bytes, [&](const upstream::StreamEvent& event) {
        any = true;
        if (!relayed)
            attempt.keep(event.bytes);
        else if (request.answer.admit(event))
            passed.append(event.bytes);
    });
    if (any) {
        reportRun(request);
        reportFirstByte(id, number, attempt);
    }
    request.answer.forward(attempt, passed);
    return fault;
}

void RequestExchange::onEnd(dispatch::RequestId id, int number) {
    OpenRequest* const request = find(id);
    if (!request) return;
    const HostAttempt& attempt = request->attempts.at(number);
    if (attempt.head.closeDelimited) recordCloseDelimitedEnd(*request, attempt);
    if (const auto fault = endFaultOf(*request, attempt)) {
        recordFault(*request, attempt, *fault, "the answer ended");
        endAttempt(id, number, Outcome::incomplete, HostAttempt::State::ended);
    } else {
        endAttempt(id, number, outcomeOf(attempt.head), HostAttempt::State::complete);
    }
    processEvents();
}

// Why an answer that has ended is not whole all the same.
std::optional<AnswerFault> RequestExchange::endFaultOf(const OpenRequest& request,
                                                       const HostAttempt& attempt) {
    if (attempt.eventStream && attempt.events.pending() > 0) return AnswerFault::truncatedEvent;
    const bool endsByClose = attempt.head.closeDelimited && isSuccess(attempt.head);
    if (request.streaming && endsByClose) return AnswerFault::closedStream;
    return std::nullopt;
}

void RequestExchange::onFailed(dispatch::RequestId id, int number, const upstream::Failure& failure) {
    const OpenRequest* const request = find(id);
    if (!request) return;
    if (const auto fault = faultOf(failure))
        recordFault(*request, request->attempts.at(number), *fault, failure.message);
    endAttempt(id, number, outcomeOf(failure), HostAttempt::State::ended);
    processEvents();
}

// Each fault has a kind of its own in the log, so that a flood of one does not hide another.
void RequestExchange::recordFault(const OpenRequest& request, const HostAttempt& attempt, AnswerFault fault,
                                  std::string_view detail) {
    answerFaults_.add(fault);
    const std::string_view reason = nameOf(fault);
    log_.seldom(reason, "host {} failed in its answer to {}: {} after {} bytes and {} events passed on ({})",
                field("instance", attempt.instanceId), field("attempt_id", request.request.attemptId),
                field("reason", reason), field("bytes", attempt.bodyBytes),
                field("events", request.answer.eventsPassed()), field("detail", detail));
}

void RequestExchange::recordCloseDelimitedEnd(const OpenRequest& request, const HostAttempt& attempt) {
    if (!attempt.eventStream)
        ++closeDelimitedEnds_.otherAnswers;
    else if (attempt.firstByteReported)
        ++closeDelimitedEnds_.begunStreams;
    else
        ++closeDelimitedEnds_.eventlessStreams;
    log_.seldom(
        "close_delimited_end",
        "host {} ended its answer to {} with the connection alone after {} bytes and {} events passed on",
        field("instance", attempt.instanceId), field("attempt_id", request.request.attemptId),
        field("bytes", attempt.bodyBytes), field("events", request.answer.eventsPassed()));
}

void RequestExchange::endAttempt(dispatch::RequestId id, int number, Outcome outcome,
                                 HostAttempt::State state) {
    OpenRequest* const request = find(id);
    if (!request) return;
    HostAttempt& attempt = request->attempts.at(number);
    if (attempt.state != HostAttempt::State::open) return;
    attempt.state = state;
    dispatch::AttemptEnded event;
    event.id = id;
    event.attempt = number;
    event.outcome = outcome;
    event.warmupLeft = attempt.warmupLeft;
    events_.push_back(std::move(event));
}

}  // namespace beechpoint::gateway
