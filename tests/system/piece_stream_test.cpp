// The checks of streams find each form of disorder, and nothing in a sound stream.
#include "piece_stream.hpp"

#include <gtest/gtest.h>

namespace beechpoint::system_test {
namespace {

const PieceStream kStream{"k", 3, 0};

StreamAttempt attemptWith(const std::vector<ReceivedPiece>& pieces, StreamEnd end = StreamEnd::complete) {
    StreamAttempt attempt;
    attempt.stream = kStream;
    attempt.status = 200;
    attempt.isStream = true;
    attempt.end = end;
    attempt.pieces = pieces;
    return attempt;
}

StreamDisorder disorderOf(const StreamAttempt& attempt) { return findDisorder({attempt}); }

const std::vector<ReceivedPiece> kWhole{{1, "k", "r"}, {2, "k", "r"}, {3, "k", "r"}};

TEST(PieceStreamTest, NothingIsFoundInSoundStreams) {
    EXPECT_EQ(disorderOf(attemptWith(kWhole)).total(), 0u);
    EXPECT_EQ(disorderOf(attemptWith({{1, "k", "r"}}, StreamEnd::cut)).total(), 0u);
    EXPECT_EQ(disorderOf(attemptWith({}, StreamEnd::left)).total(), 0u);
    StreamAttempt resumed = attemptWith({{2, "k", "r"}, {3, "k", "s"}});
    resumed.after = 1;
    resumed.isResumable = true;
    EXPECT_EQ(disorderOf(resumed).total(), 0u);
}

TEST(PieceStreamTest, EachFormOfDisorderIsCounted) {
    EXPECT_EQ(disorderOf(attemptWith({{1, "k", "r"}, {3, "k", "r"}})).missed, 1u);
    EXPECT_EQ(disorderOf(attemptWith({{1, "k", "r"}, {1, "k", "r"}}, StreamEnd::cut)).twice, 1u);
    EXPECT_EQ(disorderOf(attemptWith({{1, "k", "r"}, {2, "k", "s"}}, StreamEnd::cut)).joinedRuns, 1u);
    EXPECT_EQ(disorderOf(attemptWith({{1, "other", "r"}}, StreamEnd::cut)).joinedRuns, 1u);
    EXPECT_EQ(disorderOf(attemptWith({{1, "k", "r"}, {2, "k", "r"}})).earlyEnds, 1u);
    EXPECT_EQ(disorderOf(attemptWith({})).earlyEnds, 1u);
}

TEST(PieceStreamTest, PiecesInsideAnotherAnswerAreFound) {
    StreamAttempt attempt = attemptWith({}, StreamEnd::cut);
    attempt.isStream = false;
    EXPECT_EQ(disorderOf(attempt).total(), 0u);
    attempt.strangeEvents = 1;
    EXPECT_EQ(disorderOf(attempt).joinedRuns, 1u);
}

TEST(PieceStreamTest, RunThatHadEndedMayNotComeBack) {
    StreamAttempt attempt = attemptWith({{1, "k", "r"}, {2, "k", "s"}, {3, "k", "r"}});
    attempt.isResumable = true;
    EXPECT_EQ(disorderOf(attempt).joinedRuns, 1u);
}

TEST(PieceStreamTest, EndThatMayBeACutIsFound) {
    StreamAttempt attempt = attemptWith(kWhole);
    attempt.hasVisibleEnd = false;
    EXPECT_EQ(disorderOf(attempt).strange, 1u);
}

TEST(PieceStreamTest, EventsAndPathsAreReadBack) {
    const auto piece = pieceOf(PieceStream{"c1-2", 5, 9}.event(4, "s-1.7"));
    ASSERT_TRUE(piece);
    EXPECT_EQ(piece->number, 4u);
    EXPECT_EQ(piece->key, "c1-2");
    EXPECT_EQ(piece->run, "s-1.7");
    EXPECT_TRUE(pieceOf("data: 4 k r\n\n"));
    EXPECT_FALSE(pieceOf("id: 3\ndata: 4 k r\n\n"));
    EXPECT_FALSE(pieceOf("data: x\n\n"));
    const auto stream = PieceStream::ofPath(PieceStream{"c1-2", 5, 9}.path(kPartsPath));
    ASSERT_TRUE(stream);
    EXPECT_EQ(stream->key, "c1-2");
    EXPECT_EQ(stream->pieces, 5u);
    EXPECT_EQ(stream->padding, 9u);
}

}  // namespace
}  // namespace beechpoint::system_test
