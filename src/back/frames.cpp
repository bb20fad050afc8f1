#include "back/frames.hpp"

#include <algorithm>
#include <asio/write.hpp>

namespace beechpoint::back {

namespace {

constexpr std::size_t kReadSize = 8192;
// A track host writes a frame in one go: where the rest is not there by then, the length was wrong or the end
// is lost, and all that is out on the connection waits for nothing.
constexpr Millis kRestWithin = 60;
constexpr std::size_t kCancelledKept = 128;

}  // namespace

FrameConnection::FrameConnection(Pool& pool, std::string server)
    : HostConnection(pool, std::move(server)), stall_(pool.io()) {}

void FrameConnection::fill() {
    // Not before all that has come is read: the bytes behind an answer may spoil the connection.
    if (state_ != State::open || writing_ || filling_ || parsing_) return;
    filling_ = true;  // claim() may come back here
    outgoing_ = std::exchange(more_, {});
    marks_.clear();
    while (!waiting_.empty() && calls_.size() < pool_.limits().calls) {
        const std::vector<Attempt> parts = std::move(waiting_.front());
        waiting_.pop_front();
        const std::uint64_t call = ++lastCall_;
        std::string body;
        for (const Attempt& a : parts) {
            if (!claim(a)) continue;
            std::string id = partId(*a.request, a.slice);
            writePart(body, id, a.slice, a.until - pool_.clock().now(), a.request->text);
            ++calls_[call];
            marks_.push_back({0, id, call});
            out_[std::move(id)] = {a.id, call, false, pool_.clock().now()};
        }
        if (body.empty()) continue;
        writeFrame(outgoing_, 'S', body);
        for (Mark& m : marks_)
            if (m.call == call) m.end = outgoing_.size();
    }
    filling_ = false;
    if (outgoing_.empty()) return closeIfDone();
    writing_ = true;
    used();
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [this, self = shared_from_this()](asio::error_code error, std::size_t count) {
                          onWritten(error, count);
                      });
}

void FrameConnection::onWritten(asio::error_code error, std::size_t count) {
    writing_ = false;
    for (const Mark& m : marks_) {
        if (m.end > count) continue;
        pool_.exchange().written();  // also where it was given up meanwhile
        if (const auto part = out_.find(m.part);
            part != out_.end() && part->second.call == m.call)
            part->second.written = true;
    }
    if (state_ == State::closed) return;
    if (error) return close(End::broken);
    used();
    fill();
}

void FrameConnection::read() {
    socket_.async_read_some(in_.prepare(kReadSize),
                            [this, self = shared_from_this()](asio::error_code error, std::size_t got) {
                                if (state_ == State::closed) return;
                                if (error) return close(End::broken);
                                in_.commit(got);
                                used();
                                heard();
                                onBytes();
                            });
}

void FrameConnection::onBytes() {
    parsing_ = true;
    Frame frame;
    FrameState state;
    bool progress = false;
    while ((state = readFrame(in_.view(), frame)) == FrameState::complete) {
        const bool good = onFrame(frame);
        if (state_ == State::closed) return;
        if (!good) {
            state = FrameState::bad;
            break;
        }
        in_.consume(frame.size);
        progress = true;
    }
    parsing_ = false;
    if (state == FrameState::bad) return onSpoilt();
    watchRest(progress);
    if (state_ == State::closed) return;
    read();
    fill();  // places may have come free
}

// Where the next frame begins is unknown, or what was to come is lost. The part whose answer is spoilt has
// failed, as far as its line can be read; the others are only given up.
void FrameConnection::onSpoilt() {
    const std::string_view rest =
        in_.size() > 5 && in_.view()[4] == 'R' ? in_.view().substr(5) : std::string_view{};
    pool_.counters().add(Counter::badFrames);
    pool_.log().seldom("frame", "host {} sent a bad frame: connection closed", field("host", server_));
    auto part = out_.find(std::string(rest.substr(0, rest.find_first_of(" \n"))));
    if (part == out_.end() && out_.size() == 1) part = out_.begin();
    const auto self = shared_from_this();
    std::optional<AttemptId> failed;
    if (part != out_.end()) {
        failed = part->second.id;
        release(part);
    }
    close(End::spoilt);
    if (failed) ended(*failed, Outcome::error, {}, {});
}

// What is left in the buffer is the beginning of a frame, or noise behind an answer.
void FrameConnection::watchRest(bool progress) {
    if (in_.size() == 0 || out_.empty()) {
        stall_.cancel();
        resting_ = suspect_ = false;
        if (in_.size() == 0) return;
        // Nothing is out, so nothing can begin here.
        pool_.counters().add(Counter::extraBytes);
        return close(End::spoilt);
    }
    if (std::exchange(resting_, true) && !progress) return;  // it counts from the frame's first byte
    suspect_ = true;
    onStall(true);
}

void FrameConnection::onStall(bool again) {
    stall_.expires_after(micros(kRestWithin));
    stall_.async_wait([this, self = shared_from_this(), again](asio::error_code error) {
        if (error || state_ == State::closed || !resting_) return;
        asio::error_code ignored;  // this side may be the late one: what has come is read first
        if (again && socket_.available(ignored) > 0) return onStall(false);
        onSpoilt();
    });
}

bool FrameConnection::onFrame(const Frame& frame) {
    switch (frame.letter) {
        case 'R':
            return onResult(frame);
        case 'H':
            if (frame.rest != "done" && frame.rest != "failed") return false;
            probeEnded(frame.rest == "done" ? Outcome::served : Outcome::error, {});
            return true;
        case 'M': {
            if (frame.rest == "failed") return probeEnded(Outcome::error, {}), true;
            std::optional<Load> load = readReport(frame.rest);
            if (load) probeEnded(Outcome::served, std::move(*load));
            return load.has_value();
        }
        case 'F':
            pool_.log().seldom("refused frame", "host {} could not use a frame: {}", field("host", server_),
                               field("words", frame.rest));
            retired_ = true;  // the host closes the connection
            return true;
        default:
            return false;
    }
}

// False: spoilt, and with it all that may follow.
bool FrameConnection::onResult(const Frame& frame) {
    const std::optional<Result> result = readResult(frame.rest);
    // A value that is no text can't be handed to a client: another try may bring one that can.
    if (!result || !isText(result->value)) return false;
    std::string part(result->id);
    const auto found = out_.find(part);
    if (found != out_.end()) {
        const AttemptId id = found->second.id;
        const Millis sentAt = found->second.sentAt;
        release(found);
        answered_ = std::move(part);
        ended(id, result->outcome, result->value, result->load);
        pool_.answered(server_, sentAt);  // last: what it closes may bring anything
        return true;
    }
    if (const auto late = std::find(cancelled_.begin(), cancelled_.end(), part); late != cancelled_.end()) {
        cancelled_.erase(late);
        pool_.counters().add(Counter::lateFrames);
        return true;
    }
    // A second copy of an answer: what follows is not to be relied upon, but what came is good.
    if (part != answered_) return false;
    pool_.counters().add(Counter::extraBytes);
    handBack();
    retire();
    pool_.flush();
    return true;
}

void FrameConnection::release(OutParts::iterator part) {
    if (const auto call = calls_.find(part->second.call); call != calls_.end() && --call->second == 0)
        calls_.erase(call);
    out_.erase(part);
}

void FrameConnection::abandon(AttemptId attempt) {
    const auto found =
        std::find_if(out_.begin(), out_.end(), [&](const auto& p) { return p.second.id == attempt; });
    if (found == out_.end()) return;  // still waiting: claim() will stop it
    // Given up with nothing heard in all that time: the connection may be dead, and must not draw what is
    // new.
    if (quiet()) retired_ = true;
    writeFrame(more_, 'C', found->first);
    cancelled_.push_back(found->first);
    if (cancelled_.size() > kCancelledKept) cancelled_.pop_front();
    release(found);
    fill();
}

void FrameConnection::askProbe() {
    const bool reports = pool_.exchange().settings().reports != firkeel::Reports::none;
    writeFrame(more_, reports ? 'M' : 'H', {});
}

std::optional<Millis> FrameConnection::oldestOut() const {
    std::optional<Millis> oldest;
    for (const auto& [id, part] : out_) oldest = std::min(oldest.value_or(part.sentAt), part.sentAt);
    return oldest;
}

std::vector<HostConnection::Lost> FrameConnection::lost() {
    std::vector<Lost> lost;
    stall_.cancel();
    // What was being written when the connection ended otherwise may have arrived whole.
    for (const auto& [id, part] : out_) lost.push_back({part.id, part.written || writing_});
    out_.clear();
    calls_.clear();
    return lost;
}

}  // namespace beechpoint::back
