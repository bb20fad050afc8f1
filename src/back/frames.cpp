#include "back/frames.hpp"

#include <algorithm>
#include <asio/write.hpp>

namespace beechpoint::back {

namespace {

constexpr std::size_t kReadSize = 8192;

}  // namespace

void FrameConnection::fill() {
    if (state_ != State::open || writing_ || filling_) return;
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
            out_[std::move(id)] = {a.id, call, false};
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
    for (const Mark& m : marks_)
        if (const auto part = out_.find(m.part);
            part != out_.end() && part->second.call == m.call && m.end <= count)
            part->second.written = true;
    if (state_ == State::closed) return;
    if (error) return close(false);
    used();
    fill();
}

void FrameConnection::read() {
    socket_.async_read_some(
        in_.prepare(kReadSize), [this, self = shared_from_this()](asio::error_code error, std::size_t got) {
            if (state_ == State::closed) return;
            if (error) return close(false);
            in_.commit(got);
            used();
            Frame frame;
            FrameState state;
            while ((state = readFrame(in_.view(), frame)) == FrameState::complete) {
                const bool good = onFrame(frame);
                if (state_ == State::closed) return;
                if (!good) {
                    state = FrameState::bad;
                    break;
                }
                in_.consume(frame.size);
            }
            if (state == FrameState::bad) {  // where the next one begins is unknown
                pool_.counters().add(Counter::badFrames);
                pool_.log().seldom("frame", "host {} sent a bad frame: connection closed", server_);
                return close(false);
            }
            read();
            fill();  // places may have come free
        });
}

bool FrameConnection::onFrame(const Frame& frame) {
    switch (frame.letter) {
        case 'R': {
            const std::optional<Result> result = readResult(frame.rest);
            if (result) onResult(*result);
            return result.has_value();
        }
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
            pool_.log().seldom("refused frame", "host {} could not use a frame: {}", server_, frame.rest);
            return true;  // the host closes the connection
        default:
            return false;
    }
}

void FrameConnection::onResult(const Result& result) {
    const auto found = out_.find(std::string(result.id));
    if (found == out_.end()) return pool_.counters().add(Counter::lateFrames);
    const AttemptId id = found->second.id;
    release(found);
    ended(id, result.outcome, result.value, result.load);
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
    writeFrame(more_, 'C', found->first);
    release(found);
    fill();
}

void FrameConnection::askProbe() {
    const bool reports = pool_.exchange().settings().reports != firkeel::Reports::none;
    writeFrame(more_, reports ? 'M' : 'H', {});
}

std::vector<HostConnection::Lost> FrameConnection::lost() {
    std::vector<Lost> lost;
    // What was being written when the connection ended otherwise may have arrived whole.
    for (const auto& [id, part] : out_) lost.push_back({part.id, part.written || writing_});
    out_.clear();
    calls_.clear();
    return lost;
}

}  // namespace beechpoint::back
