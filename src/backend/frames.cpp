#include "backend/frames.hpp"

#include <algorithm>
#include <ranges>
#include <set>

#include "net/utf8.hpp"

namespace beechpoint::backend {

using asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = 8192;
// A track host writes a frame in one go: where the rest is not there by then, the length was wrong or the end
// is lost, and all that is out on the connection waits for nothing.
constexpr Millis kRestWithin = 60;

}  // namespace

FrameConnection::FrameConnection(Pool& pool, std::string server)
    : HostConnection(pool, std::move(server)), stall_(pool.io()) {}

// What is claimed is written in the same turn. Frames that the host's side has no room for are not kept as bytes: their parts
// wait on as parts, and pass claim again once there is room.
void FrameConnection::fill() {
    // Not before all that has come is read: the bytes behind an answer may spoil the connection.
    if (state_ != State::open || writing_ || filling_ || parsing_) return;
    if (waiting_.empty()) takeOver();
    filling_ = true;  // claim() and wanted() may come back here
    const bool over = hopeless();
    if (over || (!waiting_.empty() && calls_.empty() && outgoing_.empty() && peerEnded())) {
        filling_ = false;
        return close(over ? End::spoilt : End::broken);
    }
    while (!waiting_.empty() && calls_.size() < pool_.limits().calls) {
        std::vector<Attempt> parts = std::move(waiting_.front());
        waiting_.pop_front();
        claimCall(std::move(parts));
    }
    for (const std::string& frame :
         std::exchange(more_, {})) {  // behind the calls, one of which may have been given up above
        filled_.push_back({outgoing_.size(), outgoing_.size() + frame.size(), 0, {}, false});
        outgoing_ += frame;
    }
    filling_ = false;
    if (!outgoing_.empty()) {
        used();
        writeSome();
    }
    if (state_ == State::closed) return;
    if (!waiting_.empty() && clogged())
        return shed();  // else they would wait for places that nobody gives back
    if (outgoing_.empty()) closeIfDone();
}

void FrameConnection::claimCall(std::vector<Attempt> parts) {
    const std::uint64_t call = ++lastCall_;
    std::string body;
    Filled filled;
    for (Attempt& a : parts) {
        if (!claim(a)) continue;
        std::string id = partId(*a.request, a.slice);
        if (out_.contains(id)) {  // two at once on one connection could not be told apart
            ended(a.id, Outcome::notSent, {}, {});
            continue;
        }
        writePart(body, id, a.slice, a.until - pool_.clock().now(), a.request->text);
        ++calls_[call];
        out_[std::move(id)] = {a.id, call, false, pool_.clock().now()};
        filled.parts.push_back(std::move(a));
    }
    if (body.empty()) return;
    filled.call = call;
    filled.begin = outgoing_.size();
    writeFrame(outgoing_, 'S', body);
    filled.end = outgoing_.size();
    filled_.push_back(std::move(filled));
}

void FrameConnection::writeSome() {
    std::size_t written = 0;
    asio::error_code error;
    while (written < outgoing_.size() && !error)
        written +=
            socket_.write_some(asio::buffer(outgoing_.data() + written, outgoing_.size() - written), error);
    settle(written);
    if (error && error != asio::error::would_block) return close(End::broken);
    if (!error) return;
    writing_ = true;  // until there is room
    socket_.async_wait(tcp::socket::wait_write, [this, self = shared_from_this()](asio::error_code failed) {
        writing_ = false;
        if (state_ == State::closed) return;
        failed ? close(End::broken) : fill();
    });
}

// So many bytes of `outgoing_` have gone. A frame that has begun has to be ended; whole ones behind it are taken back.
void FrameConnection::settle(std::size_t written) {
    std::vector<Filled> cut;
    std::size_t keep = written;
    for (Filled& f :
         filled_ | std::views::reverse) {  // from the last, so that calls taken back stay in order
        if (f.end <= written) {
            for (const Attempt& a : f.parts) {
                pool_.exchange().written(a.id);  // also where it was given up meanwhile
                if (const auto part = out_.find(partId(*a.request, a.slice));
                    part != out_.end() && part->second.call == f.call)
                    part->second.written = true;
            }
        } else if (f.begun || f.begin < written) {
            keep = f.end;
            cut.push_back(std::move(f));
        } else if (f.parts.empty()) {
            more_.insert(more_.begin(), outgoing_.substr(f.begin, f.end - f.begin));
        } else {
            for (const Attempt& a : f.parts) out_.erase(partId(*a.request, a.slice));
            calls_.erase(f.call);
            std::erase_if(givenUp_,
                          [&](const auto& late) { return late.second == f.call; });  // in this very turn
            waiting_.push_front(std::move(f.parts));
        }
    }
    outgoing_ = outgoing_.substr(written, keep - written);
    filled_ = std::move(cut);
    for (Filled& f : filled_) f.begin = 0, f.end = outgoing_.size(), f.begun = true;
}

// A frame was cut in the middle, and all it brings has been given up since: it must not be ended now, so the connection goes.
bool FrameConnection::hopeless() const {
    if (filled_.empty() || filled_.front().parts.empty()) return false;
    const auto& parts = filled_.front().parts;
    return std::none_of(parts.begin(), parts.end(),
                        [&](const Attempt& a) { return pool_.exchange().wanted(a.id); });
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
    if (part != out_.end()) failed = release(part);
    close(End::spoilt);
    if (failed) ended(*failed, Outcome::error, {}, {});
}

// What is left in the buffer is the beginning of a frame, or noise behind an answer.
void FrameConnection::watchRest(bool progress) {
    if (in_.size() == 0 || (out_.empty() && givenUp_.empty())) {
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
    if (!result || !net::isUtf8(result->value)) return false;
    std::string part(result->id);
    const auto found = out_.find(part);
    const auto late = givenUp_.find(part);
    // Where the part was given up here and sent here again, either may be meant: a value is as good from both, anything else
    // is taken for the earlier's end, so that the later never counts as not run while it may be running.
    if (found != out_.end() && (late == givenUp_.end() || result->outcome == Outcome::served)) {
        const Millis sentAt = found->second.sentAt;
        const AttemptId id = release(found);
        answered_ = std::move(part);
        ended(id, result->outcome, result->value, result->load);
        pool_.answered(server_, sentAt);  // last: what it closes may bring anything
        return true;
    }
    if (late != givenUp_.end()) {
        free(late->second);
        givenUp_.erase(late);
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

void FrameConnection::free(std::uint64_t call) {
    if (const auto place = calls_.find(call); place != calls_.end() && --place->second == 0)
        calls_.erase(place);
}

AttemptId FrameConnection::release(OutParts::iterator part) {
    const AttemptId id = part->second.id;
    free(part->second.call);
    out_.erase(part);
    return id;
}

void FrameConnection::abandon(AttemptId attempt) {
    const auto found =
        std::find_if(out_.begin(), out_.end(), [&](const auto& p) { return p.second.id == attempt; });
    if (found == out_.end()) return;  // still waiting: claim() will stop it
    const auto self = shared_from_this();
    // Given up with nothing heard in all that time: the connection may be dead, and must not draw what is
    // new.
    if (quiet()) retired_ = true;
    std::string frame;
    writeFrame(frame, 'C', found->first);
    more_.push_back(std::move(frame));
    givenUp_.emplace(found->first, found->second.call);
    out_.erase(found);
    if (!filling_ && clogged()) shed();  // while filling: fill() itself looks, at its end
    if (state_ != State::closed) fill();
}

// Places that the host may still hold are no places: where they are the half, the connection takes nothing new, and once
// nothing else is out it closes, which gives up what is left at the host.
bool FrameConnection::clogged() const {
    std::set<std::uint64_t> live;
    for (const auto& [id, part] : out_) live.insert(part.call);
    return 2 * (calls_.size() - live.size()) >= pool_.limits().calls;
}

void FrameConnection::shed() {
    if (!std::exchange(retired_, true)) pool_.counters().add(Counter::connectionsClogged);
    if (out_.empty() && outgoing_.empty()) return close(End::spoilt);
    handBack();
    pool_.flush();
}

void FrameConnection::askProbe() {
    const bool reports = pool_.exchange().settings().reports != coordinator::Reports::none;
    std::string frame;
    writeFrame(frame, reports ? 'M' : 'H', {});
    more_.push_back(std::move(frame));
}

std::optional<Millis> FrameConnection::oldestOut() const {
    std::optional<Millis> oldest;
    for (const auto& [id, part] : out_) oldest = std::min(oldest.value_or(part.sentAt), part.sentAt);
    return oldest;
}

std::vector<HostConnection::Lost> FrameConnection::lost() {
    std::vector<Lost> lost;
    stall_.cancel();
    for (const auto& [id, part] : out_) lost.push_back({part.id, part.written});
    out_.clear();
    calls_.clear();
    return lost;
}

}  // namespace beechpoint::backend
