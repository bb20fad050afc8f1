#include "gateway/request_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <chrono>
#include <variant>

namespace beechpoint::gateway {

namespace {

using dispatch::Outcome;

constexpr std::size_t kPauseAbove = 256 * 1024;  // bytes that wait for a client before its host is paused
constexpr double kConnectionsUsed = 0.9;         // of a host's connections: others may count them late
constexpr std::size_t kLeastConnections = 2;
constexpr Millis kProbeTimeout = 800;
constexpr Millis kElsewhereAfter = 50;  // advice to a client that is to go to another gateway
constexpr std::string_view kJson = "application/json";

// Statuses that promise that the request has not run and never will.
bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool isEventStream(const upstream::AnswerHead& head) {
    const std::string* const type = upstream::findHeader(head.headers, "Content-Type");
    return type && type->rfind("text/event-stream", 0) == 0;
}

bool notExecuted(const upstream::AnswerHead& head) {
    return head.status == 421 || upstream::findHeader(head.headers, "X-Not-Executed");
}

Millis warmupLeft(const upstream::AnswerHead& head) {
    const std::string* const text = upstream::findHeader(head.headers, "X-Warmup-Remaining");
    double left = 0;
    if (text) std::from_chars(text->data(), text->data() + text->size(), left);
    return std::max(left, 0.0);
}

Outcome outcomeOf(const upstream::Failure& failure) {
    using upstream::FailureKind;
    switch (failure.kind) {
        case FailureKind::noCapacity:
            return Outcome::noCapacity;
        case FailureKind::notConnected:
            return Outcome::notConnected;
        case FailureKind::resetBeforeAnswer:
            return failure.sent ? Outcome::resetBeforeAnswer : Outcome::notConnected;
        case FailureKind::brokenAnswer:
            return Outcome::broken;
        case FailureKind::malformedAnswer:
            return Outcome::malformed;
        case FailureKind::foreignAnswer:
            return Outcome::foreign;
        case FailureKind::timedOut:
            return failure.sent ? Outcome::timedOut : Outcome::notConnected;
        case FailureKind::cancelled:
            break;
    }
    return Outcome::cancelled;
}

Outcome outcomeOf(const upstream::AnswerHead& head) {
    if (notExecuted(head)) return Outcome::notExecuted;
    const bool failed = head.status >= 500 || promisesNotRun(head.status);
    return failed ? Outcome::hostError : Outcome::served;
}

void setHeader(upstream::Headers& headers, std::string_view name, std::string value) {
    std::erase_if(headers, [&](const upstream::Header& header) {
        return header.name.size() == name.size() &&
               std::equal(name.begin(), name.end(), header.name.begin(),
                          [](char a, char b) { return std::tolower(a) == std::tolower(b); });
    });
    headers.push_back({std::string(name), std::move(value)});
}

}  // namespace

RequestExchange::RequestExchange(asio::io_context& io, const Clock& clock, Logger& log,
                                 dispatch::Settings settings, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      log_(log),
      dispatcher_(std::move(settings), seed, clock.now()),
      upstream_(io, clock),
      timer_(io),
      routes_(std::make_shared<routing::RoutingTable>()) {}

void RequestExchange::routes(std::shared_ptr<const routing::RoutingTable> table) {
    routes_ = std::move(table);
}

void RequestExchange::tell(dispatch::Event event) {
    events_.push_back(std::move(event));
    process();
}

// Actions may bring further events at once; they are handled in order, never one inside another.
void RequestExchange::process() {
    if (processing_) return;
    processing_ = true;
    std::vector<dispatch::Action> actions;
    while (!events_.empty()) {
        const dispatch::Event event = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        dispatcher_.handle(clock_.now(), event, actions);
        for (const dispatch::Action& action : actions) carryOut(action);
        if (const auto* const ended = std::get_if<dispatch::AttemptEnded>(&event)) {
            if (LiveRequest* const request = find(ended->id)) {
                const bool whole = request->attempts[ended->attempt].whole;
                request->attempts.erase(ended->attempt);
                if (whole && request->relayed == ended->attempt) finish(*request);
            }
            forget(ended->id);
        }
    }
    processing_ = false;
}

void RequestExchange::take(const net::HttpMessage& message,
                           const std::shared_ptr<net::HttpConnection>& client) {
    if (routes_->revision() == 0)
        return client->respond(503, kJson, R"({"error":"no configuration yet"})", net::retryAfterHeader(500));
    const auto route = routes_->find(message.header("Host"), message.path());
    if (!route) return client->respond(404, kJson, R"({"error":"no route"})");
    ClientRequest asked = readClientRequest(message);
    if (asked.attemptId.empty() || message.count("X-Attempt-Id") != 1)
        return client->respond(400, kJson,
                               R"({"error":"X-Attempt-Id must be there once; send one id a try"})");
    const dispatch::RequestId id = ++lastId_;
    dispatch::RequestArrived event = arrival(id, asked, *route, clock_.now() - client->begunAt());
    if (!mayTake_(event.deadline))
        return client->respond(503, kJson,
                               R"({"error":"ending; not taken and not run; ask another gateway"})",
                               net::retryAfterHeader(kElsewhereAfter));
    LiveRequest& request = requests_[id];
    request.client = client;
    request.asked = std::move(asked);
    if (request.asked.lastEventId) request.progress.startBehind(*request.asked.lastEventId);
    client->whenGone([this, id] { clientGone(id); });
    tell(std::move(event));
}

RequestExchange::LiveRequest* RequestExchange::find(dispatch::RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void RequestExchange::forget(dispatch::RequestId id) {
    const LiveRequest* const request = find(id);
    if (request && request->done && request->attempts.empty()) requests_.erase(id);
}

void RequestExchange::clientGone(dispatch::RequestId id) {
    LiveRequest* const request = find(id);
    if (!request || request->done) return;
    request->done = true;
    tell(dispatch::ClientDisconnected{id});
    forget(id);
}

// ---- actions

void RequestExchange::carryOut(const dispatch::Action& action) {
    std::visit([this](const auto& one) { act(one); }, action);
}

upstream::Request RequestExchange::hostRequest(const LiveRequest& request, const dispatch::Send& send) const {
    upstream::Request out;
    out.method = request.asked.method;
    out.target = request.asked.target;
    out.headers = request.asked.headers;
    out.body = request.asked.body;
    out.attemptId = request.asked.attemptId;
    setHeader(out.headers, "X-Deadline-Remaining", fmt::format("{:.0f}", std::max(send.within, 1.0)));
    setHeader(out.headers, "X-Target-Instance", send.instanceId);
    if (send.engine) setHeader(out.headers, "Priority", std::to_string(send.priority));
    const auto& lastId = request.progress.lastId();
    if (send.resume && lastId) setHeader(out.headers, "Last-Event-Id", *lastId);
    return out;
}

std::size_t RequestExchange::connectionShare(const std::string& service) const {
    const auto entry = routes_->service(service);
    const double all = entry ? entry->service.maxConnections : 0;
    if (all <= 0) return 64;
    const auto share = static_cast<std::size_t>(kConnectionsUsed * all / gateways_);
    return std::max(share, kLeastConnections);
}

void RequestExchange::act(const dispatch::Send& send) {
    LiveRequest* const request = find(send.id);
    const auto address = upstream::HostAddress::parse(send.address);
    if (!request || !address) {
        dispatch::AttemptEnded ended;
        ended.id = send.id;
        ended.attempt = send.attempt;
        ended.outcome = Outcome::notConnected;
        events_.push_back(std::move(ended));
        return;
    }
    Attempt& attempt = request->attempts[send.attempt];
    attempt.instance = send.instanceId;
    attempt.service = send.service;
    if (send.resume) request->relayed = -1;
    upstream::Handlers handlers;
    const auto id = send.id;
    const int number = send.attempt;
    handlers.onHead = [this, id, number](const upstream::AnswerHead& head) { onHead(id, number, head); };
    handlers.onData = [this, id, number](std::string_view bytes) { onData(id, number, bytes); };
    handlers.onEnd = [this, id, number] { onEnd(id, number); };
    handlers.onFailed = [this, id, number](const upstream::Failure& failure) {
        onFailed(id, number, failure);
    };
    attempt.handle = upstream_.send(address.value(), connectionShare(send.service),
                                    hostRequest(*request, send), send.within, std::move(handlers));
}

void RequestExchange::act(const dispatch::Cancel& cancel) {
    LiveRequest* const request = find(cancel.id);
    if (!request) return;
    const auto found = request->attempts.find(cancel.attempt);
    if (found == request->attempts.end() || found->second.ended) return;
    upstream_.cancel(found->second.handle);
    attemptEnded(cancel.id, cancel.attempt, Outcome::cancelled);
}

void RequestExchange::act(const dispatch::Relay& relay) {
    LiveRequest* const request = find(relay.id);
    if (!request || request->done) return;
    const auto found = request->attempts.find(relay.attempt);
    if (found == request->attempts.end()) return;
    Attempt& attempt = found->second;
    request->relayed = relay.attempt;
    if (!request->headSent && !beginAnswer(*request, attempt)) return;
    const std::string held = std::move(attempt.held);
    attempt.held.clear();
    forward(*request, attempt, held);
}

// False where the answer could not be begun: it is over then.
bool RequestExchange::beginAnswer(LiveRequest& request, const Attempt& attempt) {
    request.headSent = true;
    if (promisesNotRun(attempt.head.status) && !notExecuted(attempt.head)) {
        // The host's word is no promise without X-Not-Executed, and must not become one on the way.
        request.done = true;
        request.client->respond(502, kJson, R"({"error":"the host failed; the request may have run"})");
        return false;
    }
    const auto length = attempt.eventStream ? std::nullopt : attempt.head.contentLength;
    return request.client->beginStream(attempt.head.status, upstream::headerLines(attempt.head.headers),
                                       length);
}

void RequestExchange::answer(dispatch::RequestId id, int status, std::string_view error, Millis retryAfter) {
    LiveRequest* const request = find(id);
    if (!request || request->done) return;
    request->done = true;
    if (request->headSent) {
        request->client->abortStream();
    } else {
        const std::string extra = retryAfter > 0 ? net::retryAfterHeader(retryAfter) : "";
        request->client->respond(status, kJson, fmt::format(R"({{"error":"{}"}})", error), extra);
    }
    forget(id);
}

void RequestExchange::act(const dispatch::Refuse& refuse) {
    answer(refuse.id, refuse.status, "not taken and not run; try again later", refuse.retryAfter);
}

void RequestExchange::act(const dispatch::Fail& fail) {
    const bool late = fail.status == 504;
    answer(fail.id, fail.status, late ? "out of time" : "the host failed; the request may have run", 0);
}

void RequestExchange::act(const dispatch::BreakOff& breakOff) {
    answer(breakOff.id, 502, "the host broke off", 0);
}

void RequestExchange::act(const dispatch::Probe& probe) {
    const auto address = upstream::HostAddress::parse(probe.address);
    const auto service = routes_->service(probe.service);
    auto ended = std::make_shared<dispatch::ProbeEnded>();
    ended->instanceId = probe.instanceId;
    if (!address || !service) {
        events_.push_back(*ended);
        return;
    }
    upstream::Request request;
    request.method = "GET";
    request.target = service->service.healthCheckPath;
    request.headers = {{"Host", probe.address}};
    request.requireAttemptId = false;
    upstream::Handlers handlers;
    handlers.onHead = [ended](const upstream::AnswerHead& head) {
        const std::string* const instance = upstream::findHeader(head.headers, "X-Instance-Id");
        ended->answered = instance && *instance == ended->instanceId;
        ended->healthy = ended->answered && head.status == 200;
        ended->warmupLeft = warmupLeft(head);
    };
    handlers.onEnd = [this, ended] { tell(*ended); };
    handlers.onFailed = [this, ended](const upstream::Failure&) {
        ended->healthy = false;
        tell(*ended);
    };
    upstream_.send(address.value(), connectionShare(probe.service), std::move(request), kProbeTimeout,
                   std::move(handlers));
}

void RequestExchange::act(const dispatch::SetTimer& timer) {
    timer_.expires_after(toMicroseconds(timer.at - clock_.now()));
    timer_.async_wait([this](asio::error_code error) {
        if (!error) tell(dispatch::Tick{});
    });
}

void RequestExchange::act(const dispatch::Log& line) {
    log_.seldom(line.kind, "{}: {}", field("what", line.kind), field("detail", line.text));
}

// ---- hosts' answers

void RequestExchange::onHead(dispatch::RequestId id, int number, const upstream::AnswerHead& head) {
    LiveRequest* const request = find(id);
    if (!request) return;
    Attempt& attempt = request->attempts.at(number);
    attempt.head = head;
    attempt.headSeen = true;
    attempt.eventStream = isEventStream(head);
    attempt.warmupLeft = warmupLeft(head);
    dispatch::AttemptHead event;
    event.id = id;
    event.attempt = number;
    event.status = head.status;
    event.notExecuted = notExecuted(head);
    event.sealed = upstream::findHeader(head.headers, "X-Server-Seal") != nullptr;
    event.bodyBytes = head.noBody ? std::optional<std::uint64_t>(0) : head.contentLength;
    tell(std::move(event));
}

void RequestExchange::firstByte(dispatch::RequestId id, int number, Attempt& attempt) {
    if (attempt.firstByteTold) return;
    attempt.firstByteTold = true;
    events_.push_back(dispatch::AttemptFirstByte{id, number});
}

void RequestExchange::onData(dispatch::RequestId id, int number, std::string_view bytes) {
    LiveRequest* const request = find(id);
    if (!request) return;
    Attempt& attempt = request->attempts.at(number);
    firstByte(id, number, attempt);
    const bool relayed = request->relayed == number && request->headSent && !request->done;
    if (relayed)
        forward(*request, attempt, bytes);
    else if (!request->done)
        attempt.held.append(bytes);
    process();
}

void RequestExchange::forward(LiveRequest& request, Attempt& attempt, std::string_view bytes) {
    if (bytes.empty() || request.done) return;
    if (!attempt.eventStream) return write(request, attempt, bytes);
    std::string whole;
    attempt.splitter.feed(bytes, [&](const upstream::StreamEvent& event) {
        if (request.progress.admit(event)) whole.append(event.bytes);
    });
    if (!whole.empty()) write(request, attempt, whole);
}

void RequestExchange::write(LiveRequest& request, const Attempt& attempt, std::string_view bytes) {
    const std::size_t waiting = request.client->writeSome(bytes);
    if (waiting <= kPauseAbove) return;
    const upstream::Handle handle = attempt.handle;
    upstream_.pauseReading(handle);
    request.client->whenDrained([this, handle] { upstream_.resumeReading(handle); });
}

void RequestExchange::onEnd(dispatch::RequestId id, int number) {
    LiveRequest* const request = find(id);
    if (!request) return;
    Attempt& attempt = request->attempts.at(number);
    const bool cutEvent = attempt.eventStream && attempt.splitter.pending() > 0;
    attempt.whole = !cutEvent;
    attemptEnded(id, number, cutEvent ? Outcome::broken : outcomeOf(attempt.head));
    process();
}

void RequestExchange::onFailed(dispatch::RequestId id, int number, const upstream::Failure& failure) {
    if (!find(id)) return;
    attemptEnded(id, number, outcomeOf(failure));
    process();
}

void RequestExchange::attemptEnded(dispatch::RequestId id, int number, Outcome outcome) {
    LiveRequest* const request = find(id);
    if (!request) return;
    Attempt& attempt = request->attempts.at(number);
    if (attempt.ended) return;
    attempt.ended = true;
    dispatch::AttemptEnded event;
    event.id = id;
    event.attempt = number;
    event.outcome = outcome;
    event.lastEventId = request->progress.lastId().value_or("");
    event.warmupLeft = attempt.warmupLeft;
    events_.push_back(std::move(event));
}

// The relayed answer has come whole.
void RequestExchange::finish(LiveRequest& request) {
    if (request.done) return;
    request.done = true;
    request.client->endStream();
}

void RequestExchange::endAll() { tell(dispatch::Closing{}); }

}  // namespace beechpoint::gateway
