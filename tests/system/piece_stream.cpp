#include "piece_stream.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <set>

#include "upstream/event_stream.hpp"

namespace beechpoint::system_test {
namespace {

std::optional<std::uint64_t> numberIn(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return number;
}

// Takes the text up to the separator off the front of `rest`.
std::string_view takeWord(std::string_view& rest, char separator) {
    const auto end = rest.find(separator);
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return word;
}

std::string describe(const StreamAttempt& attempt, const char* what) {
    constexpr std::array kEnds{"complete", "cut", "left"};
    std::string numbers;
    for (const ReceivedPiece& piece : attempt.pieces)
        numbers += fmt::format(" {}({})", piece.number, piece.run);
    return fmt::format(
        "{}: {} of stream {} ({}{}{}) at edge-{}, sent {:.0f}, status {}, {}, {} pieces, after {}, got{} {}",
        what, attempt.id, attempt.stream.key, attempt.isResumable ? "resumable" : "not resumable",
        attempt.isRetry ? ", retry" : "", attempt.isSlow ? ", slow reader" : "", attempt.gateway + 1,
        attempt.sentAt, attempt.status, kEnds[static_cast<std::size_t>(attempt.end)], attempt.stream.pieces,
        attempt.after, numbers, attempt.failure);
}

// Reads the pieces of one attempt in the order in which they came.
class AttemptReading {
public:
    AttemptReading(const StreamAttempt& attempt, StreamDisorder& disorder)
        : attempt_(attempt), disorder_(disorder), last_(attempt.after) {}

    void read() {
        if (!attempt_.isStream) return readOther();
        for (const ReceivedPiece& piece : attempt_.pieces) take(piece);
        if (attempt_.end == StreamEnd::complete && last_ != attempt_.stream.pieces)
            count(disorder_.earlyEnds, "complete before its last piece");
        if (attempt_.strangeEvents > 0) count(disorder_.strange, "an event that is no piece");
        if (!attempt_.hasVisibleEnd) count(disorder_.strange, "an end that may be a cut");
    }

private:
    void readOther() {
        if (attempt_.strangeEvents > 0 || !attempt_.pieces.empty())
            count(disorder_.joinedRuns, "pieces inside an answer that is no stream");
    }

    void take(const ReceivedPiece& piece) {
        takeRun(piece);
        if (piece.number <= last_) count(disorder_.twice, "a piece twice");
        if (piece.number > last_ + 1) count(disorder_.missed, "a piece missed");
        last_ = piece.number;
    }

    void takeRun(const ReceivedPiece& piece) {
        const bool isNewRun = runs_.empty() || piece.run != run_;
        const bool mayBegin = runs_.empty() || attempt_.isResumable;
        const bool hadEnded = isNewRun && !runs_.insert(piece.run).second;
        if (piece.key != attempt_.stream.key || (isNewRun && !mayBegin) || hadEnded)
            count(disorder_.joinedRuns, "pieces of two runs");
        run_ = piece.run;
    }

    void count(std::size_t& counter, const char* what) {
        ++counter;
        disorder_.findings.push_back(describe(attempt_, what));
    }

    const StreamAttempt& attempt_;
    StreamDisorder& disorder_;
    std::uint64_t last_;
    std::string run_;
    std::set<std::string> runs_;
};

}  // namespace

std::string PieceStream::path(const char* prefix) const {
    return fmt::format("{}{}/{}/{}", prefix, key, pieces, padding);
}

std::optional<PieceStream> PieceStream::ofPath(std::string_view path) {
    for (const std::string_view prefix : {kResumablePath, kPartsPath}) {
        if (!path.starts_with(prefix)) continue;
        path.remove_prefix(prefix.size());
        const std::string_view key = takeWord(path, '/');
        const auto pieces = numberIn(takeWord(path, '/')), padding = numberIn(path);
        if (pieces && padding) return PieceStream{std::string(key), *pieces, *padding};
    }
    return std::nullopt;
}

std::string PieceStream::event(std::uint64_t number, const std::string& run, bool hasId) const {
    const std::string id = hasId ? fmt::format("id: {}\n", number) : "";
    return fmt::format("{}data: {} {} {} {}\n\n", id, number, key, run, std::string(padding, 'x'));
}

std::optional<ReceivedPiece> pieceOf(std::string_view event) {
    std::optional<ReceivedPiece> piece;
    upstream::EventSplitter splitter;
    splitter.feed(event, [&piece](const upstream::StreamEvent& read) {
        std::string_view data = read.field("data").value_or("");
        const auto number = numberIn(takeWord(data, ' '));
        const auto id = read.id ? numberIn(*read.id) : number;
        const std::string key(takeWord(data, ' ')), run(takeWord(data, ' '));
        if (number && number == id) piece = ReceivedPiece{*number, key, run};
    });
    return piece;
}

StreamDisorder findDisorder(const std::vector<StreamAttempt>& attempts) {
    StreamDisorder disorder;
    for (const StreamAttempt& attempt : attempts) AttemptReading(attempt, disorder).read();
    return disorder;
}

}  // namespace beechpoint::system_test
