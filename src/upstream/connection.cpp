#include "upstream/connection.hpp"

#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <asio/post.hpp>
#include <functional>

namespace beechpoint::upstream {

using asio::ip::tcp;

namespace {

constexpr int kMaxInterimHeads = 16;  // 1xx answers before the final one

std::chrono::steady_clock::duration fromMillis(Millis ms) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
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
    exchange_ = std::move(exchange);
    dialBegan_ = clock_.now();
    ++counts_.dials;
    connect();
}

void Connection::connect() {
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    asio::error_code error;
    const tcp::endpoint to(asio::ip::make_address(host_.ip, error), host_.port);
    if (!error) socket_.open(to.protocol(), error);
    if (error) {  // out of descriptors, most likely; reported from the loop
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->onConnected(error); });
        return;
    }
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.set_option(UserTimeout(static_cast<int>(settings_.userTimeout)), ignored);
    socket_.non_blocking(true, ignored);
    const Timepoint dialDeadline = std::chrono::steady_clock::now() + fromMillis(settings_.dialTimeout);
    setTimer(std::min(exchange_->deadline, dialDeadline));
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
    writer_.begin(exchange_->request);
    answerBegun_ = false;
    interimHeads_ = 0;
    reusable_ = false;
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
    // An equal hash of another id costs a dial.
    const std::size_t hash = std::hash<std::string_view>{}(attemptId);
    return std::find(carriedIds_.begin(), carriedIds_.end(), hash) != carriedIds_.end();
}

// A write that fails is not the end yet: the host may have answered before it closed.
void Connection::write() {
    const RequestWriter::State state = writer_.write(socket_);
    exchange_->sent = exchange_->sent || writer_.written() > 0;
    if (state != RequestWriter::State::writing) return;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code) {
        const bool unfinished = self->writer_.state() == RequestWriter::State::writing;
        if (self->state_ == State::busy && unfinished) self->write();
    });
}

void Connection::read() {
    if (awaitsReadable_ || state_ == State::closed) return;
    awaitsReadable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->awaitsReadable_ = false;
        if (self->state_ == State::closed) return;
        if (error)
            self->onHostEnded(error);
        else
            self->onReadable();
    });
}

void Connection::resumeReading() { read(); }

void Connection::onReadable() {
    if (exchange_ && exchange_->paused) return;
    if (state_ == State::unused) return onUnusedReadable();
    asio::error_code error;
    const std::size_t size = socket_.read_some(buffer_.prepare(settings_.readSize), error);
    if (error == asio::error::would_block) return read();
    if (error) return onHostEnded(error);
    buffer_.commit(size);
    readAnswer();
    if (state_ != State::busy) return;  // read() is under way where it is unused
    buffer_.release();
    if (!exchange_->paused) read();
}

// Its end, or bytes that belong to no request.
void Connection::onUnusedReadable() {
    if (socket_.available() > 0) ++counts_.surplus;
    ++counts_.idleClosed;
    close();
}

void Connection::onHostEnded(asio::error_code error) {
    if (state_ == State::unused) {
        ++counts_.idleClosed;
        return close();
    }
    // A reset is reported once: where a write was told of it, what is read is an end.
    const bool writeFailed = writer_.state() == RequestWriter::State::failed;
    const bool clean = error == asio::error::eof && !writeFailed;
    const std::string message = clean ? "the host closed the connection" : error.message();
    if (!answerBegun_) {
        const bool begun = buffer_.size() > 0 || interimHeads_ > 0;
        return fail(begun ? FailureKind::brokenAnswer : FailureKind::resetBeforeAnswer, message);
    }
    reusable_ = false;
    if (clean && decoder_.finish() == net::BodyDecoder::State::complete) return finishAnswer();
    fail(FailureKind::brokenAnswer, message);
}

void Connection::readAnswer() {
    while (state_ == State::busy && !answerBegun_)
        if (!readHead()) return;
    if (state_ == State::busy && answerBegun_) readBody();
}

// False: more bytes are needed, or the exchange has ended.
bool Connection::readHead() {
    const ReceivedHead received =
        readAnswerHead(buffer_.view(), exchange_->request.method, settings_.maxHead);
    switch (received.status) {
        case HeadStatus::incomplete:
            return false;
        case HeadStatus::malformed:
            fail(FailureKind::malformedAnswer, "the bytes received form no answer");
            return false;
        case HeadStatus::interim:
            return readInterimHead(received.size);
        case HeadStatus::final:
            break;
    }
    if (!belongsTo(received.head, exchange_->request)) {
        fail(FailureKind::foreignAnswer,
             fmt::format("X-Attempt-Id is \"{}\"", received.head.header("X-Attempt-Id")));
        return false;
    }
    answerBegun_ = true;
    passHead(received);
    buffer_.consume(received.size);  // only now: the head's slices hold until then
    return true;
}

bool Connection::readInterimHead(std::size_t size) {
    buffer_.consume(size);
    if (++interimHeads_ <= kMaxInterimHeads) return true;
    fail(FailureKind::malformedAnswer, "no final answer among the interim ones");
    return false;
}

void Connection::passHead(const ReceivedHead& received) {
    const ExchangePtr exchange = exchange_;  // the handler may cancel it
    decoder_ = net::BodyDecoder(received.framing);
    reusable_ = received.head.keepAlive() && received.framing.kind != net::BodyFraming::Kind::toEnd;
    hostIdle_ = statedIdleTime(received.head);
    AnswerHead answer = answerHead(received.head, received.framing);
    answer.reused = exchange->reused;
    answer.connectTime = connectTime_;
    exchange->headSeen = true;
    if (exchange->handlers.onHead) exchange->handlers.onHead(answer);
}

void Connection::readBody() {
    const ExchangePtr exchange = exchange_;
    std::size_t used = 0;
    const auto state = decoder_.feed(buffer_.view(), used, [&](std::string_view bytes) {
        if (exchange_ == exchange && exchange->handlers.onData) exchange->handlers.onData(bytes);
    });
    if (exchange_ != exchange) return;  // cancelled meanwhile
    buffer_.consume(used);
    if (state == net::BodyDecoder::State::complete) return finishAnswer();
    if (state == net::BodyDecoder::State::bad) fail(FailureKind::brokenAnswer, "the body is not well formed");
}

void Connection::finishAnswer() {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    if (buffer_.size() > 0) ++counts_.surplus;
    // After an early answer the host still waits for the rest of the request: nothing else may follow.
    const bool requestSent = writer_.state() == RequestWriter::State::complete;
    if (reusable_ && requestSent && buffer_.size() == 0 && idleTime() > 0)
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
    return std::min(stated, settings_.idleMax);
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
            return fail(FailureKind::timedOut, "no complete answer in time");
        case State::unused:
            ++counts_.idleClosed;
            return close();
        case State::closed:
            return;
    }
}

void Connection::fail(FailureKind kind, std::string message) {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    resetOnClose();
    close();
    if (!exchange) return;
    owner_.onExchangeOver(exchange);
    const Failure failure{kind, exchange->sent, exchange->headSeen, exchange->reused, std::move(message)};
    if (exchange->handlers.onFailed) exchange->handlers.onFailed(failure);
}

void Connection::abandon() {
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    resetOnClose();
    close();
    if (exchange) owner_.onExchangeOver(exchange);
}

// What the system has still to send of the request must not reach the host any more.
void Connection::resetOnClose() {
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
