#include "gateway/client_answer.hpp"

#include <fmt/format.h>

#include <utility>

#include "gateway/host_answer.hpp"

namespace beechpoint::gateway {

namespace {

constexpr std::string_view kJson = "application/json";

}  // namespace

ClientAnswer::ClientAnswer(std::shared_ptr<net::HttpConnection> client, upstream::Upstream& upstream,
                           const std::optional<std::string>& lastEventId)
    : client_(std::move(client)), upstream_(upstream) {
    if (lastEventId) progress_.startBehind(*lastEventId);
}

void ClientAnswer::relay(HostAttempt& attempt) {
    if (over()) return;
    if (state_ == State::pending && !begin(attempt)) return;
    const std::string pending = std::exchange(attempt.pendingBody, {});
    forward(attempt, attempt.eventStream ? admitted(pending) : pending);
}

std::string ClientAnswer::admitted(std::string_view events) {
    std::string passed;
    upstream::EventSplitter splitter;
    splitter.feed(events, [&](const upstream::StreamEvent& event) {
        if (admit(event)) passed.append(event.bytes);
    });
    return passed;
}

// False where the answer could not be begun.
bool ClientAnswer::begin(const HostAttempt& attempt) {
    const upstream::AnswerHead& head = attempt.head;
    // Without X-Not-Executed the host promises nothing: the status alone must not reach the client as a promise.
    const bool isFalsePromise = promisesNotExecuted(head.status) && !notExecuted(head);
    if (isFalsePromise || attempt.overflowed) {
        state_ = State::over;
        client_->respond(502, kJson, R"({"error":"the host failed; the request may have run"})");
        return false;
    }
    state_ = State::open;
    isEventStream_ = attempt.eventStream;
    const auto length = attempt.eventStream ? std::nullopt : head.contentLength;
    return client_->beginStream(head.status, upstream::headerLines(head.headers), length);
}

void ClientAnswer::forward(const HostAttempt& attempt, std::string_view bytes) {
    if (bytes.empty() || over()) return;
    const std::size_t waiting = client_->writeSome(bytes);
    if (waiting <= kPauseReadingAbove) return;
    upstream_.pauseReading(attempt.handle);
    // The upstream outlives its connections, this answer need not: it is not captured.
    client_->whenDrained(
        [&upstream = upstream_, handle = attempt.handle] { upstream.resumeReading(handle); });
}

void ClientAnswer::complete() {
    if (over()) return;
    state_ = State::over;
    client_->endStream();
}

void ClientAnswer::fail(int status, std::string_view error, Millis retryAfter) {
    if (over()) return;
    const bool begun = open();
    state_ = State::over;
    if (begun) return client_->abortStream();
    const std::string advice = retryAfter > 0 ? net::retryAfterHeader(retryAfter) : "";
    client_->respond(status, kJson, fmt::format(R"({{"error":"{}"}})", error), advice);
}

}  // namespace beechpoint::gateway
