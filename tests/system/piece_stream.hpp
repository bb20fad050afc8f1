// Streams of numbered pieces, and what a client saw of them. Values without I/O.
//
// A stream has a key and a count of pieces, both in its path: PREFIX/KEY/PIECES/PADDING. Each piece is an event that names its number, the key
// and the run of the host that made it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::system_test {

inline constexpr const char* kResumablePath = "/resumable/";
inline constexpr const char* kPartsPath = "/parts/";  // may not be resumed

struct PieceStream {
    std::string key;
    std::uint64_t pieces = 0;   // numbered from 1
    std::uint64_t padding = 0;  // bytes added to each piece

    std::string path(const char* prefix) const;
    static std::optional<PieceStream> ofPath(std::string_view path);
    std::string event(std::uint64_t number, const std::string& run, bool hasId = true) const;
};

struct ReceivedPiece {
    std::uint64_t number = 0;
    std::string key;
    std::string run;
};

// Nothing: the event is no piece.
std::optional<ReceivedPiece> pieceOf(std::string_view event);

enum class StreamEnd { complete, cut, left };

// One request of a client for a stream. Times are in milliseconds since 1970.
struct StreamAttempt {
    std::string id;
    PieceStream stream;
    bool isResumable = false;
    bool isRetry = false;     // of the client, after an attempt that did not bring all
    bool isSlow = false;      // the client reads with pauses
    std::uint64_t after = 0;  // Last-Event-Id; 0: none
    std::size_t gateway = 0;
    Millis sentAt = 0;
    int status = 0;         // 0: no head came
    bool isStream = false;  // its head says so
    StreamEnd end = StreamEnd::cut;
    bool hasVisibleEnd = true;  // its framing tells a cut from the end
    std::vector<ReceivedPiece> pieces;
    std::size_t strangeEvents = 0;  // that are no pieces
    std::string failure;
};

// The forms of disorder, counted over all attempts.
struct StreamDisorder {
    std::size_t missed = 0;
    std::size_t twice = 0;
    std::size_t joinedRuns =
        0;  // a piece of another stream, of another run where none may follow, or of a run that had ended
    std::size_t earlyEnds = 0;
    std::size_t strange = 0;  // events that no host made, or an answer whose end can't be told from a cut
    std::vector<std::string> findings;

    std::size_t total() const { return missed + twice + joinedRuns + earlyEnds + strange; }
};

StreamDisorder findDisorder(const std::vector<StreamAttempt>& attempts);

}  // namespace beechpoint::system_test
