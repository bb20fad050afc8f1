#include "backend/search.hpp"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "backend/frame.hpp"

namespace beechpoint::backend {

using asio::ip::tcp;

namespace {

using Json = nlohmann::json;

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostAnswer = 512 * 1024;  // of one slice: more would not fit the memory, times the cap

}  // namespace

std::string searchRequest(const Attempt& a, const std::string& index, Millis wait) {
    const auto ms = static_cast<long long>(std::max(1.0, std::floor(wait)));
    return fmt::format(
        "POST /{}/_search?preference=_shards:{}&allow_partial_search_results=false&timeout={}ms HTTP/1.1\r\n"
        "Host: track-host\r\nContent-Type: application/json\r\nX-Opaque-Id: {}\r\nContent-Length: "
        "{}\r\n\r\n{}",
        index, a.slice, ms, partId(*a.request, a.slice), a.request->text.size(), a.request->text);
}

Outcome searchOutcome(int status, std::string_view body) {
    if (status == 429) return Outcome::turnedAway;  // rejected before it ran
    if (status != 200) return Outcome::error;
    const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
    if (!json.is_object()) return Outcome::error;
    // 200 alone proves nothing: a search that ran out of time or lost its slice says so inside.
    const auto timedOut = json.find("timed_out"), shards = json.find("_shards"), hits = json.find("hits");
    if (timedOut == json.end() || *timedOut != false) return Outcome::error;
    if (json.value("terminated_early", Json(false)) != false) return Outcome::error;
    if (shards == json.end() || !shards->is_object() || shards->value("failed", Json(1)) != 0)
        return Outcome::error;
    const bool listed =
        hits != json.end() && hits->is_object() && hits->contains("hits") && (*hits)["hits"].is_array();
    return listed ? Outcome::served : Outcome::error;
}

SearchConnection::SearchConnection(Pool& pool, std::string server, const IndexOfClass& indexes)
    : HostConnection(pool, std::move(server)),
      indexes_(indexes),
      reader_(net::HttpReader::Kind::response, in_, {}, kMostAnswer) {}

Pool::Make SearchConnection::maker(IndexOfClass indexes) {
    return [held = std::make_shared<const IndexOfClass>(std::move(indexes))](Pool& pool,
                                                                             const std::string& server) {
        // The connection keeps `held` by its pool's maker, which outlives it.
        return std::make_shared<SearchConnection>(pool, server, *held);
    };
}

void SearchConnection::fill() {
    if (state_ != State::open || filling_ || callsOut() > 0 || writing_) return;
    if (waiting_.empty()) takeOver();
    if (!waiting_.empty() && peerEnded()) return close(End::broken);
    filling_ = true;  // claim() may come back here
    while (!out_ && !waiting_.empty()) {
        const std::vector<Attempt> parts = std::move(waiting_.front());
        waiting_.pop_front();
        const Attempt& a = parts.front();  // one part a call: see the pool's limits
        if (!claim(a)) continue;
        out_ = a.id;
        const auto index = indexes_.find(a.request->klass);
        write(searchRequest(a, index == indexes_.end() ? a.request->klass : index->second,
                            a.until - pool_.clock().now()));
    }
    filling_ = false;
    if (out_) return;
    if (probesWaiting_ == 0) return closeIfDone();
    --probesWaiting_;
    probing_ = true;
    write("GET / HTTP/1.1\r\nHost: track-host\r\n\r\n");
}

void SearchConnection::write(std::string text) {
    outgoing_ = std::move(text);
    written_ = false;
    used();
    writeSome();
}

// Where the host's side has no room the rest waits; a search that nobody wants by then is not ended.
void SearchConnection::writeSome() {
    asio::error_code error;
    std::size_t written = 0;
    while (written < outgoing_.size() && !error)
        written +=
            socket_.write_some(asio::buffer(outgoing_.data() + written, outgoing_.size() - written), error);
    outgoing_.erase(0, written);
    if (error && error != asio::error::would_block) return close(End::broken);
    if (!error) {
        written_ = true;
        if (out_) pool_.exchange().written(*out_);
        return;
    }
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [this, self = shared_from_this()](asio::error_code failed) {
        writing_ = false;
        if (state_ == State::closed) return;
        if (failed) return close(End::broken);
        if (out_ && !pool_.exchange().wanted(*out_)) return close(End::spoilt);
        writeSome();
        if (!writing_) fill();  // the answer may have come before the request had gone
    });
}

void SearchConnection::read() {
    socket_.async_read_some(in_.prepare(kReadSize), [this, self = shared_from_this()](asio::error_code error,
                                                                                      std::size_t got) {
        if (state_ == State::closed) return;
        if (!error) in_.commit(got);
        used();
        const auto state = error ? reader_.finish() : reader_.parse();
        if (state == net::HttpReader::State::complete && callsOut() > 0) return onAnswer();
        if (error) return close(End::broken);
        if (state == net::HttpReader::State::more && (callsOut() > 0 || in_.size() == 0)) return read();
        // An answer that is malformed, too large, or to nothing that was asked.
        pool_.counters().add(Counter::badFrames);
        pool_.log().seldom("answer", "host {} sent a bad answer: connection closed", field("host", server_));
        close(End::broken);
    });
}

void SearchConnection::onAnswer() {
    const net::HttpMessage message = reader_.message();
    const bool keep = message.keepAlive;
    if (std::exchange(probing_, false)) {
        probeEnded(message.status == 200 ? Outcome::served : Outcome::error, {});
    } else {
        const AttemptId id = *std::exchange(out_, std::nullopt);
        ended(id, searchOutcome(message.status, message.body), message.body, {});
    }
    if (state_ == State::closed) return;
    if (!keep) return close(End::broken);
    reader_.next();
    read();
    fill();
}

// HTTP has no word for giving up: the connection ends instead.
void SearchConnection::abandon(AttemptId attempt) {
    if (out_ != attempt) return;  // still waiting: claim() will stop it
    out_.reset();
    close(End::broken);
}

std::vector<HostConnection::Lost> SearchConnection::lost() {
    std::vector<Lost> lost;
    if (out_) lost.push_back({*out_, written_});
    out_.reset();
    probing_ = false;
    return lost;
}

}  // namespace beechpoint::backend
