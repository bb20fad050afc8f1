#include "upstream/connection.hpp"

#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <functional>

namespace beechpoint::upstream {

using asio::ip::tcp;

namespace {

constexpr int kMostInterimHeads = 16;  // 1xx answers before the final one
constexpr std::string_view kAnswerBegin = "HTTP/1.";
constexpr std::string_view kAttemptId = "X-Attempt-Id";
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

std::chrono::steady_clock::duration fromMillis(Millis ms) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

bool carriesBody(std::string_view method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

std::string requestHead(const Request& request) {
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    const Headers headers = endToEndHeaders(request.headers);
    head += headerLines(headers);
    if (!request.attemptId.empty() && findHeader(headers, kAttemptId) == nullptr)
        head += fmt::format("{}: {}\r\n", kAttemptId, request.attemptId);
    const std::size_t size = request.body ? request.body->size() : 0;
    if (size > 0 || carriesBody(request.method)) head += fmt::format("Content-Length: {}\r\n", size);
    return head += "\r\n";
}

// The time of "timeout=N" in a Keep-Alive header.
std::optional<Millis> statedIdle(const net::MessageHead& head) {
    constexpr std::string_view kTimeout = "timeout=";
    std::string_view rest = head.header("Keep-Alive");
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        std::string_view part = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        while (part.starts_with(' ')) part.remove_prefix(1);
        if (!net::sameName(part.substr(0, kTimeout.size()), kTimeout)) continue;
        const auto seconds = net::decimalNumber(part.substr(kTimeout.size()));
        if (seconds) return static_cast<Millis>(*seconds) * 1000;
    }
    return std::nullopt;
}

}  // namespace

Connection::Connection(asio::io_context& io, const Clock& clock, const UpstreamSettings& settings,
                       UpstreamCounts& counts, ConnectionOwner& owner, HostAddress host)
    : socket_(io),
      timer_(io),
      clock_(clock),
      settings_(settings),
      counts_(counts),
      owner_(owner),
      host_(std::move(host)) {}

void Connection::dial(ExchangePtr exchange) {
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    exchange_ = std::move(exchange);
    dialBegan_ = clock_.now();
    ++counts_.dials;
    asio::error_code error;
    const tcp::endpoint to(asio::ip::make_address(host_.ip, error), host_.port);
    if (!error) socket_.open(to.protocol(), error);
    if (error) {  // out of descriptors, most likely; told from the loop
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->onConnected(error); });
        return;
    }
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.set_option(UserTimeout(static_cast<int>(settings_.userTimeout)), ignored);
    socket_.non_blocking(true, ignored);
    setTimer(
        std::min(exchange_->deadline, std::chrono::steady_clock::now() + fromMillis(settings_.dialTimeout)));
    socket_.async_connect(to, [self = shared_from_this()](asio::error_code e) { self->onConnected(e); });
}

void Connection::onConnected(asio::error_code error) {
    if (state_ != State::dialling) return;
    if (error) {
        ++counts_.dialFailures;
        return fail(FailureKind::notConnected, error.message());
    }
    connectTime_ = clock_.now() - dialBegan_;
    sendRequest();
}

void Connection::use(ExchangePtr exchange) {
    exchange_ = std::move(exchange);
    exchange_->reused = true;
    connectTime_ = 0;
    ++counts_.reuses;
    sendRequest();
}

void Connection::sendRequest() {
    state_ = State::busy;
    rememberId(exchange_->request.attemptId);
    head_ = requestHead(exchange_->request);
    written_ = 0;
    writeFailed_ = requestSent_ = answerBegun_ = reusable_ = false;
    interimHeads_ = 0;
    hostIdle_.reset();
    setTimer(exchange_->deadline);
    write();
    read();
}

void Connection::rememberId(std::string_view attemptId) {
    const std::size_t hash = std::hash<std::string_view>{}(attemptId);
    if (carriedIds_.size() < kIdsRemembered)
        carriedIds_.push_back(hash);
    else
        carriedIds_[carried_ % kIdsRemembered] = hash;
    ++carried_;
}

bool Connection::hasCarried(std::string_view attemptId) const {
    const std::size_t hash =
        std::hash<std::string_view>{}(attemptId);  // an equal one of another id costs a dial
    return std::find(carriedIds_.begin(), carriedIds_.end(), hash) != carriedIds_.end();
}

// A write that fails is not the end yet: the host may have answered before it closed.
void Connection::write() {
    const auto& body = exchange_->request.body;
    const std::size_t bodySize = body ? body->size() : 0;
    const std::size_t size = head_.size() + bodySize;
    asio::error_code error;
    while (!error && written_ < size) {
        const std::size_t headLeft = head_.size() - std::min(written_, head_.size());
        const std::size_t bodyAt = written_ - std::min(written_, head_.size());
        const std::array<asio::const_buffer, 2> parts = {
            asio::buffer(head_.data() + head_.size() - headLeft, headLeft),
            bodySize > 0 ? asio::buffer(body->data() + bodyAt, bodySize - bodyAt) : asio::const_buffer()};
        written_ += socket_.write_some(parts, error);
        exchange_->sent = exchange_->sent || written_ > 0;
    }
    requestSent_ = written_ == size;
    if (requestSent_) std::string().swap(head_);
    writeFailed_ = error && error != asio::error::would_block;
    if (requestSent_ || writeFailed_) return;
    waitsWritable_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code) {
        self->waitsWritable_ = false;
        if (self->state_ == State::busy && !self->requestSent_) self->write();
    });
}

void Connection::read() {
    if (waitsReadable_ || state_ == State::closed) return;
    waitsReadable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->waitsReadable_ = false;
        if (self->state_ == State::closed) return;
        error ? self->onHostEnded(error) : self->onReadable();
    });
}

void Connection::resumeReading() { read(); }

void Connection::onReadable() {
    if (exchange_ && exchange_->paused) return;
    if (state_ == State::unused) {  // its end, or bytes that belong to no request
        if (socket_.available() > 0) ++counts_.surplus;
        ++counts_.idleClosed;
        return close();
    }
    asio::error_code error;
    const std::size_t got = socket_.read_some(buffer_.prepare(settings_.readSize), error);
    if (error == asio::error::would_block) return read();
    if (error) return onHostEnded(error);
    buffer_.commit(got);
    takeAnswer();
    if (state_ != State::busy) return;  // read() is under way where it is unused
    buffer_.release();
    if (!exchange_->paused) read();
}

void Connection::onHostEnded(asio::error_code error) {
    if (state_ == State::unused) {
        ++counts_.idleClosed;
        return close();
    }
    // A reset is told once: where a write was told of it, what is read is an end.
    const bool clean = error == asio::error::eof && !writeFailed_;
    const std::string message = clean ? "the host closed the connection" : error.message();
    if (!answerBegun_) {
        const bool begun = buffer_.size() > 0 || interimHeads_ > 0;
        return fail(begun ? FailureKind::brokenAnswer : FailureKind::resetBeforeAnswer, message);
    }
    reusable_ = false;
    if (clean && decoder_.finish() == net::BodyDecoder::State::complete) return finishAnswer();
    fail(FailureKind::brokenAnswer, message);
}

void Connection::takeAnswer() {
    while (state_ == State::busy && !answerBegun_)
        if (!takeHead()) return;
    if (state_ == State::busy && answerBegun_) takeBody();
}

// False: more bytes are needed, or the exchange has ended.
bool Connection::takeHead() {
    const std::string_view bytes = buffer_.view();
    const std::size_t size = std::min(bytes.size(), kAnswerBegin.size());
    const std::size_t end = net::headEnd(bytes);
    const std::string_view text = bytes.substr(0, end > 0 ? end : bytes.size());
    const bool sound = bytes.substr(0, size) == kAnswerBegin.substr(0, size) &&
                       text.size() <= settings_.maxHead && !net::holdsBareLineEnd(text);
    if (sound && end == 0) return false;
    const auto head = sound ? net::parseAnswerHead(text) : std::nullopt;
    const auto framing = head ? net::answerFraming(*head, exchange_->request.method) : std::nullopt;
    if (!framing || head->status == kSwitchingProtocols) {
        fail(FailureKind::malformedAnswer, "the bytes received form no answer");
        return false;
    }
    if (head->status < kFirstFinalStatus) {
        buffer_.consume(end);
        if (++interimHeads_ <= kMostInterimHeads) return true;
        fail(FailureKind::malformedAnswer, "no final answer among the interim ones");
        return false;
    }
    if (!belongs(*head)) {
        fail(FailureKind::foreignAnswer, fmt::format("{} is \"{}\"", kAttemptId, head->header(kAttemptId)));
        return false;
    }
    answerBegun_ = true;
    passHead(*head, *framing);
    buffer_.consume(end);  // only now: the head's slices hold until then
    return true;
}

bool Connection::belongs(const net::MessageHead& head) const {
    const Request& request = exchange_->request;
    const std::size_t count = head.count(kAttemptId);
    if (count == 0) return request.attemptId.empty() || !request.requireAttemptId;
    return count == 1 && head.header(kAttemptId) == request.attemptId;
}

void Connection::passHead(const net::MessageHead& head, const net::BodyFraming& framing) {
    using Kind = net::BodyFraming::Kind;
    const ExchangePtr exchange = exchange_;
    decoder_ = net::BodyDecoder(framing);
    reusable_ = head.keepAlive() && framing.kind != Kind::toEnd;
    hostIdle_ = statedIdle(head);
    AnswerHead answer;
    answer.status = head.status;
    answer.headers = endToEndHeaders(head.headers);
    if (head.count("Content-Length") == 1)
        answer.contentLength = net::decimalNumber(head.header("Content-Length"));
    answer.noBody = framing.kind == Kind::none;
    answer.reused = exchange->reused;
    answer.hostCloses = !head.keepAlive();
    answer.connectTime = connectTime_;
    exchange->headSeen = true;
    if (exchange->handlers.onHead) exchange->handlers.onHead(answer);
}

void Connection::takeBody() {
    const ExchangePtr exchange = exchange_;
    std::size_t used = 0;
    const auto state = decoder_.feed(buffer_.view(), used, [&](std::string_view piece) {
        if (exchange_ == exchange && exchange->handlers.onData) exchange->handlers.onData(piece);
    });
    if (exchange_ != exchange) return;  // cancelled meanwhile
    buffer_.consume(used);
    if (state == net::BodyDecoder::State::complete) return finishAnswer();
    if (state == net::BodyDecoder::State::bad) fail(FailureKind::brokenAnswer, "the body is not well formed");
}

void Connection::finishAnswer() {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    if (buffer_.size() > 0) ++counts_.surplus;
    if (reusable_ && requestSent_ && buffer_.size() == 0 && idleTime() > 0)
        becomeUnused();
    else
        close();
    owner_.onExchangeOver(exchange);
    if (exchange->handlers.onEnd) exchange->handlers.onEnd();
}

void Connection::becomeUnused() {
    state_ = State::unused;
    buffer_.release();
    setTimer(std::chrono::steady_clock::now() + fromMillis(idleTime()));
    read();
    owner_.onUnused(shared_from_this());
}

Millis Connection::idleTime() const {
    const Millis stated = hostIdle_ ? *hostIdle_ - settings_.idleMargin : settings_.idleWithoutKeepAlive;
    return std::min(stated, settings_.idleMost);
}

bool Connection::usable() {
    if (state_ != State::unused) return false;
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block) return true;
    if (!error) ++counts_.surplus;
    return false;
}

void Connection::setTimer(Timepoint at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this(), turn = ++timerTurn_](asio::error_code error) {
        if (!error && turn == self->timerTurn_) self->onTimer();
    });
}

void Connection::onTimer() {
    switch (state_) {
        case State::dialling:
            ++counts_.dialFailures;
            return fail(FailureKind::notConnected, "no connection in time");
        case State::busy:
            return fail(FailureKind::timedOut, "no whole answer in time");
        case State::unused:
            ++counts_.idleClosed;
            return close();
        case State::closed:
            return;
    }
}

void Connection::fail(FailureKind kind, std::string message) {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    resetSocket();
    close();
    if (!exchange) return;
    owner_.onExchangeOver(exchange);
    const Failure failure{kind, exchange->sent, exchange->headSeen, exchange->reused, std::move(message)};
    if (exchange->handlers.onFailed) exchange->handlers.onFailed(failure);
}

void Connection::abandon() {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    resetSocket();
    close();
    if (exchange) owner_.onExchangeOver(exchange);
}

// What the system still holds of the request must not reach the host any more.
void Connection::resetSocket() {
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void Connection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    ++timerTurn_;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
    owner_.onClosed(shared_from_this());
}

}  // namespace beechpoint::upstream
