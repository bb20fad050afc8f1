// One client connection of an HttpServer: reading, answers whole and streamed, and its orderly end.
#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "net/server.hpp"

namespace beechpoint::net {

using asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kReadAhead =
    16 * kReadSize;  // while a request is in hand, so that an end behind bytes is soon seen
// A client may send ahead while its request is in hand. More than this is read and thrown away: it can't fill the memory, and its
// end, which lies behind, is seen.
constexpr std::size_t kHeadsAhead = 2;
constexpr std::size_t kSmallMessage = 16 * 1024;    // a strict connection reads in larger steps from there on
constexpr std::size_t kKeptOutput = 64 * 1024;      // bytes already sent that may stay before those that wait
constexpr std::size_t kChunkFraming = 32;           // bytes at most round a chunk
constexpr std::size_t kConnectionBytes = 4 * 1024;  // of a connection without any buffer
constexpr std::size_t kHeaderBytes = 192;           // of a header line of a request in hand, with its copies
constexpr std::size_t kSmallAnswer = 4 * 1024;      // is sent whatever the memory
constexpr Millis kOverloadRetryAfter = 1000;
constexpr Millis kLinger = 500;         // for the client's end after the last answer
constexpr Millis kLingerBroken = 3000;  // while it still sends what was refused

}  // namespace

HttpConnection::HttpConnection(HttpServer& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      reader_(HttpReader::Kind::request, buffer_),
      strict_(server.limits_.strict),
      since_(server.clock_.now()),
      receivedAt_(since_),
      account_(server.budget_->open(*this)) {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);  // a read that finds nothing after all must not hold up the loop
    if (strict_) reader_.strict();
    recordMemory();
}

// Waits for bytes without a buffer for them: hundreds of idle connections must not hold one each.
void HttpConnection::read() {
    if (readOut_ || state_ == State::closed) return;
    readOut_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->readOut_ = false;
        if (self->state_ == State::closed) return;
        error ? self->onEnd() : self->onReadable();
    });
}

void HttpConnection::onReadable() {
    asio::error_code error;
    if (state_ != State::lingering && !farAhead_ && buffer_.size() > mostAhead()) {
        farAhead_ = broken_ = true;
        server_.log_.seldom("far ahead",
                            "a client sent over {} bytes ahead of its answer: the rest is thrown away",
                            field("bytes", mostAhead()));
        if (server_.farAhead_) server_.farAhead_();
    }
    if (state_ == State::lingering || farAhead_)
        discardSome(error);
    else if (!readSome(error))
        return read();
    if (state_ == State::closed) return;
    if (error && error != asio::error::would_block) return onEnd();
    if (state_ == State::reading) buffer_.release();
    recordMemory();
    read();
}

void HttpConnection::discardSome(asio::error_code& error) {
    // MSG_TRUNC: the system drops the bytes without copying them, so that 60 MB cost next to nothing.
    static std::array<char, 256 * 1024> sink;
    socket_.receive(asio::buffer(sink), MSG_TRUNC, error);
}

// False: there was no memory for more, and the connection has been told so.
bool HttpConnection::readSome(asio::error_code& error) {
    const std::size_t room = readRoom(), most = mostAhead() + kReadSize;
    const std::size_t capacity = buffer_.capacityFor(room, most);
    // While it grows, the old bytes stay beside the new ones.
    if (capacity > buffer_.capacity() && !reserve(capacity)) {
        state_ == State::reading ? refuseOverloaded() : dropAhead();
        return false;
    }
    const asio::mutable_buffer space = buffer_.prepare(room, most);
    // In steps while the head is not whole: the reader sees between two of them whether it is too large.
    const std::size_t step = reader_.inHead() ? room : space.size();
    const std::size_t got = socket_.read_some(asio::buffer(space, step), error);
    if (error) return true;
    receivedAt_ = server_.clock_.now();
    buffer_.commit(got);
    recordMemory();
    if (state_ != State::reading) return true;
    parse();
    // Header lines take room beside the buffer.
    if (state_ == State::reading && !reserve(0)) refuseOverloaded();
    return true;
}

std::size_t HttpConnection::mostAhead() const {
    return server_.limits_.body + kHeadsAhead * server_.limits_.head;
}

std::size_t HttpConnection::readRoom() const {
    if (state_ != State::reading)
        return std::min(kReadAhead, mostAhead() + kReadSize - std::min(buffer_.size(), mostAhead()));
    return strict_ && buffer_.size() >= kSmallMessage ? kReadAhead : kReadSize;
}

void HttpConnection::onEnd() {
    if (state_ == State::streaming && streamEnd_ != StreamEnd::open) return;
    if (state_ == State::writing) return;  // the answer is on its way; its write tells the rest
    close();
}

void HttpConnection::parse() {
    reader_.limits(server_.limits_.head, server_.limits_.body);
    const HttpReader::State state = reader_.parse();
    if (state == HttpReader::State::more) {
        partialSince_ = buffer_.size() == 0 ? 0 : partialSince_ > 0 ? partialSince_ : server_.clock_.now();
        if (reader_.awaitsContinue()) sayContinue();
        return;
    }
    state_ = State::handling;
    begunAt_ = partialSince_ > 0 ? partialSince_ : receivedAt_;
    partialSince_ = 0;
    if (state == HttpReader::State::complete) return takeMessage(reader_.message());
    keepAlive_ = noBody_ = false;  // where the next message begins is unknown
    broken_ = true;
    const bool large = state == HttpReader::State::tooLarge;
    if (large && reader_.inHead()) return respond(431, "text/plain", "the head is too large\n");
    respond(large ? 413 : 400, "text/plain", large ? "message too large\n" : "malformed request\n");
}

void HttpConnection::takeMessage(const HttpMessage& message) {
    if (!std::exchange(asked_, true)) ++server_.askers_;
    keepAlive_ = message.keepAlive;
    noBody_ = strict_ && message.method == "HEAD";
    oldClient_ = message.minorVersion == 0;
    const auto self = shared_from_this();
    inHandler_ = true;
    recordMemory();
    // Whoever handles it keeps a copy for as long as the answer takes.
    const std::size_t size = reader_.messageSize() + message.headers.size() * kHeaderBytes;
    if (server_.budget_->admit(account_, size, server_.clock_.now())) {
        pinned_ = size;
        server_.handler_(message, self);
    } else {
        refuseOverloaded();
    }
    inHandler_ = false;
    if (state_ == State::closed) return;
    reader_.next();  // a large body must not stay for as long as its answer takes
    buffer_.release();
    recordMemory();
}

void HttpConnection::sayContinue() {
    if (std::exchange(continueSaid_, true)) return;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::error_code ignored;  // a connection that can't take it shows so when it is read
    socket_.write_some(asio::buffer(kContinue), ignored);
}

// A strict connection is not closed behind this answer where another request has come already: that one counts as read.
void HttpConnection::decideKeepAlive() {
    const bool leave = server_.closing_ || server_.crowded();
    // Where the answer is given while its request is being handed over, the buffer still holds that.
    const bool moreCame = strict_ && (buffer_.size() > reader_.messageSize() || unread());
    if (farAhead_ || (leave && !moreCame)) keepAlive_ = false;
}

std::string HttpConnection::connectionLines() const {
    if (!keepAlive_) return "Connection: close\r\n";
    const auto seconds =
        static_cast<long>(server_.limits_.idle / 1000) - 1;  // so that the client is first to leave
    if (!server_.limits_.announceIdle || seconds < 1) return {};
    return fmt::format("Keep-Alive: timeout={}\r\n", seconds);
}

void HttpConnection::respond(int status, std::string_view type, std::string_view body, std::string_view extra,
                             std::function<void()> handedOver) {
    if (state_ != State::handling) return;  // the client has gone
    handedOver_ = std::move(handedOver);
    gone_ = nullptr;
    if (!reserveAnswer(body.size())) return;
    decideKeepAlive();
    if (keepAlive_)
        out_ = response(status, type, body, keepAlive_, connectionLines().append(extra));
    else
        out_ = response(status, type, body, keepAlive_, extra);
    if (noBody_) out_.resize(out_.size() - body.size());
    state_ = State::writing;
    since_ = server_.clock_.now();
    releaseRequest();
    write();
}

// An answer that there is no memory for is not sent: its connection ends without one.
bool HttpConnection::reserveAnswer(std::size_t size) {
    if (size <= kSmallAnswer || reserve(size)) return true;
    ++server_.budget_->counts().closedAnswers;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reset(); });
    return false;
}

void HttpConnection::write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          if (self->state_ == State::closed) return;
                          if (error) return self->close();
                          if (self->handedOver_) std::exchange(self->handedOver_, nullptr)();
                          self->afterAnswer();
                      });
}

void HttpConnection::afterAnswer() {
    // Far ahead: what came while it was written is not whole any more.
    if (!keepAlive_ || farAhead_) return linger();
    state_ = State::reading;
    continueSaid_ = false;
    since_ = server_.clock_.now();
    reader_.next();
    std::string().swap(out_);
    buffer_.release();
    releaseRequest();
    server_.connections_.splice(server_.connections_.end(), server_.connections_, place_);
    parse();  // what the client sent ahead
    read();
}

bool HttpConnection::beginStream(int status, std::string_view headers,
                                 std::optional<std::uint64_t> contentLength) {
    if (state_ != State::handling) return false;
    decideKeepAlive();
    bodyless_ = noBody_ || status < 200 || status == 204 || status == 304;
    lengthLeft_ = contentLength;
    chunked_ = !contentLength && !oldClient_ && !bodyless_;
    if (endsWithConnection()) keepAlive_ = false;
    state_ = State::streaming;
    streamEnd_ = StreamEnd::open;
    since_ = server_.clock_.now();
    out_ = streamHead(status, headers, contentLength);
    outSent_ = 0;
    writeOut_ = true;  // within this turn of the loop, so that the first bytes of the body go with the head
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (!std::exchange(self->writeOut_, false) || self->state_ != State::streaming) return;
        self->writeStream();
    });
    return true;
}

std::string HttpConnection::streamHead(int status, std::string_view headers,
                                       std::optional<std::uint64_t> contentLength) const {
    std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n{}{}", status, reasonOf(status), headers, connectionLines());
    const bool lengthAllowed = status >= 200 && status != 204;
    if (contentLength && lengthAllowed) head += fmt::format("Content-Length: {}\r\n", *contentLength);
    if (chunked_) head += "Transfer-Encoding: chunked\r\n";
    return head += "\r\n";
}

std::size_t HttpConnection::writeSome(std::string_view bytes) {
    const bool open = state_ == State::streaming && streamEnd_ == StreamEnd::open;
    if (!open || bodyless_ || bytes.empty()) return queued();  // an empty chunk would be the last one
    if (lengthLeft_ && bytes.size() > *lengthLeft_) {
        failStream();
        return queued();
    }
    const std::size_t size = out_.size() + bytes.size() + kChunkFraming;
    if (size > out_.capacity() && !reserve(std::max(size, 2 * out_.capacity()))) {
        ++server_.budget_->counts().closedAnswers;
        failStream();
        return queued();
    }
    if (lengthLeft_) *lengthLeft_ -= bytes.size();
    if (chunked_) out_ += fmt::format("{:x}\r\n", bytes.size());
    out_ += bytes;
    if (chunked_) out_ += "\r\n";
    sendStream();
    recordMemory();
    if (queued() > server_.limits_.streamQueue) failStream();
    return queued();
}

void HttpConnection::endStream(std::function<void()> handedOver) {
    if (state_ != State::streaming || streamEnd_ != StreamEnd::open) return;
    if (lengthLeft_ && *lengthLeft_ > 0 && !bodyless_) return abortStream();
    if (chunked_) out_ += "0\r\n\r\n";
    handedOver_ = std::move(handedOver);
    gone_ = nullptr;
    streamEnd_ = StreamEnd::whole;
    sendStream();
}

void HttpConnection::abortStream() {
    if (state_ != State::streaming || streamEnd_ != StreamEnd::open) return;
    gone_ = nullptr;
    keepAlive_ = false;
    streamEnd_ = StreamEnd::broken;
    sendStream();
}

void HttpConnection::whenDrained(std::function<void()> drained) {
    if (state_ != State::streaming) return;
    drained_ = std::move(drained);
    if (queued() > 0) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->queued() == 0 && self->drained_) std::exchange(self->drained_, nullptr)();
    });
}

// Writes at once where nothing waits for the socket. The head alone waits for the loop's turn; not once a body comes.
void HttpConnection::sendStream() {
    if (waitsWritable_) return;
    writeOut_ = false;
    writeStream();
}

void HttpConnection::writeStream() {
    asio::error_code error;
    while (!error && outSent_ < out_.size()) {
        const std::size_t sent =
            socket_.write_some(asio::buffer(out_.data() + outSent_, out_.size() - outSent_), error);
        if (error) break;
        outSent_ += sent;
        since_ = server_.clock_.now();
    }
    if (error == asio::error::would_block) return waitWritable();
    if (error) return failStream();
    out_.clear();
    outSent_ = 0;
    queuedSince_ = 0;
    if (out_.capacity() > kKeptOutput) std::string().swap(out_);
    recordMemory();
    if (streamEnd_ == StreamEnd::open) {
        if (drained_) std::exchange(drained_, nullptr)();
        return;
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finishStream(); });
}

void HttpConnection::waitWritable() {
    if (outSent_ > kKeptOutput) {
        out_.erase(0, outSent_);
        outSent_ = 0;
    }
    waitsWritable_ = true;
    if (queuedSince_ == 0) queuedSince_ = server_.clock_.now();
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code error) {
        self->waitsWritable_ = false;
        if (self->state_ != State::streaming) return;
        error ? self->close() : self->writeStream();
    });
}

void HttpConnection::finishStream() {
    if (state_ != State::streaming) return;
    const bool whole = streamEnd_ == StreamEnd::whole;
    if (!whole && endsWithConnection()) return reset();
    if (whole && handedOver_) std::exchange(handedOver_, nullptr)();
    if (state_ == State::streaming) afterAnswer();
}

// The answer can't go on: nothing more is sent. Its end is told from the loop, not within the call that found it.
void HttpConnection::failStream() {
    streamEnd_ = StreamEnd::broken;
    std::string().swap(out_);
    outSent_ = 0;
    recordMemory();
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reset(); });
}

void HttpConnection::reset() {
    if (state_ == State::closed) return;
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

// Closing with bytes unread would reset the connection and could cost the client the answer: its end is
// awaited for a while.
void HttpConnection::linger() {
    state_ = State::lingering;
    since_ = server_.clock_.now();
    std::string().swap(out_);
    buffer_.consume(buffer_.size());
    buffer_.release();
    releaseRequest();
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

// ---- memory

bool HttpConnection::reserve(std::size_t more) {
    recordMemory();
    return server_.budget_->grow(account_, more, server_.clock_.now());
}

void HttpConnection::releaseRequest() {
    pinned_ = 0;
    recordMemory();
}

void HttpConnection::recordMemory() {
    if (state_ == State::closed) return;
    MemoryBudget::Holding holding;
    holding.bytes = kConnectionBytes + buffer_.capacity() + out_.capacity() + reader_.headerMemory();
    holding.pinned = pinned_;
    holding.since = since_;
    if (inHandler_) {
        holding.use = MemoryUse::inUse;
    } else if (state_ == State::reading) {
        holding.use = MemoryUse::partialRequest;
        holding.since = partialSince_ > 0 ? partialSince_ : server_.clock_.now();  // not of its idle time
    } else {
        const bool mostlyAhead = buffer_.capacity() > out_.capacity();
        holding.use = mostlyAhead ? MemoryUse::requestAhead : MemoryUse::queuedAnswer;
    }
    server_.budget_->hold(account_, holding);
}

void HttpConnection::freeMemory() {
    if (state_ == State::reading) return refuseOverloaded();
    if (buffer_.capacity() > out_.capacity()) return dropAhead();
    ++server_.budget_->counts().closedAnswers;
    if (state_ == State::streaming) return failStream();
    reset();
}

// The request has not been passed on, whether it has come whole or not.
void HttpConnection::refuseOverloaded() {
    ++server_.budget_->counts().refusedRequests;
    server_.log_.seldom("overloaded", "a request was refused with {}: no memory for it",
                        field("status", server_.limits_.overloadStatus));
    if (!inHandler_) {
        reader_.next();
        buffer_.consume(buffer_.size());
        buffer_.release();
    }
    state_ = State::handling;
    keepAlive_ = noBody_ = false;
    farAhead_ = broken_ = true;
    partialSince_ = 0;
    respond(server_.limits_.overloadStatus, "text/plain",
            "overloaded: not taken and not run; try again later\n", retryAfterHeader(kOverloadRetryAfter));
}

// What was sent ahead is not answered: the connection ends behind the answer in hand.
void HttpConnection::dropAhead() {
    ++server_.budget_->counts().droppedAhead;
    farAhead_ = broken_ = true;
    buffer_.consume(buffer_.size());
    buffer_.release();
    recordMemory();
}

bool HttpConnection::unread() const {
    asio::error_code error;
    return socket_.available(error) > 0 && !error;
}

bool HttpConnection::left() {
    if (state_ == State::closed) return true;
    pollfd look{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
    if (::poll(&look, 1, 0) <= 0) return false;
    if ((look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

// Whether it has had its time, whatever it is about. Who is owed an answer never has.
bool HttpConnection::late(Millis now) const {
    const HttpLimits& limits = server_.limits_;
    switch (state_) {
        case State::reading:
            if (partialSince_ > 0 && limits.bodyPause > 0)
                return reader_.inHead() ? now - partialSince_ > limits.partialHead
                                        : now - receivedAt_ > limits.bodyPause;
            if (!asked_) return now - since_ > limits.silent;
            return partialSince_ > 0 ? now - partialSince_ > limits.partialHead : now - since_ > limits.idle;
        case State::streaming:
            return queued() > 0 && now - since_ > limits.writePause;
        case State::writing:
            return now - since_ > limits.writePause;
        case State::lingering:
            return now - since_ > (broken_ ? kLingerBroken : kLinger);
        default:
            return false;
    }
}

// A message that is late although more of it has come: this side may be the late one, for so long.
bool HttpConnection::lateToRead(Millis now) const {
    if (!unread()) return false;
    const HttpLimits& limits = server_.limits_;
    if (idle()) return true;
    if (limits.bodyPause > 0 && !reader_.inHead()) return now - receivedAt_ < 2 * limits.bodyPause;
    return now - partialSince_ < 2 * limits.partialHead;
}

void HttpConnection::close() {
    if (state_ == State::closed) return;
    asio::error_code ignored;
    // A close must not look like the end of an answer that lasts until it.
    if (state_ == State::streaming && endsWithConnection())
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    state_ = State::closed;
    const auto self = shared_from_this();
    socket_.close(ignored);
    server_.connections_.erase(place_);
    server_.budget_->close(account_);
    if (asked_) --server_.askers_;
    handedOver_ = drained_ = nullptr;
    if (gone_) std::exchange(gone_, nullptr)();
}

}  // namespace beechpoint::net
