// A host of streams on loopback that is killed and comes back as the kernel does it to a process: its listener and its connections close,
// by FIN where nothing is unread. By draw it frames its answers in each of the ways of HTTP/1.1, breaks them off, and takes no notice of
// Last-Event-Id. Each answer that it begins is a run of its own.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>

#include "piece_stream.hpp"

namespace beechpoint::system_test {

class StreamHost {
public:
    // Probabilities, each drawn for each answer.
    struct Habits {
        double closeDelimited = 0.2;  // neither a length nor chunks
        double statedLength = 0.2;    // else chunks
        double closesEarly = 0.08;    // FIN before its last piece
        double resetsEarly = 0.08;
        double fallsSilent = 0.02;
        double ignoresLastEventId = 0.05;
        double failsFirst = 0.02;    // 500 in place of a stream
        double answersOther = 0.03;  // a part of a 404 or of plain text, then FIN
        double leavesOutIds = 0.03;  // of all events
    };

    // `instance`: its name in X-Instance-Id. All calls on the loop's thread.
    StreamHost(asio::io_context& io, asio::ip::tcp::endpoint at, std::string instance, const Habits& habits,
               std::uint64_t seed);
    ~StreamHost();

    void start();
    void kill();
    std::uint64_t runs() const { return runs_; }
    std::uint64_t earlyEnds() const { return earlyEnds_; }

private:
    class Connection;
    friend class Connection;

    struct Script {
        enum class Framing { chunked, statedLength, closeDelimited };
        enum class Ending { whole, close, reset, silence };
        Framing framing = Framing::chunked;
        Ending ending = Ending::whole;
        std::uint64_t first = 1;  // piece
        std::uint64_t last = 0;
        bool fails = false;
        bool isOther = false;
        bool hasIds = true;
    };

    void accept();
    bool happens(double probability) { return std::bernoulli_distribution(probability)(random_); }
    std::uint64_t between(std::uint64_t low, std::uint64_t high) {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(random_);
    }
    Script drawScript(const PieceStream& stream, std::uint64_t after);
    std::string nextRun();

    asio::io_context& io_;
    asio::ip::tcp::endpoint at_;
    std::string instance_;
    Habits habits_;
    std::mt19937_64 random_;
    asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::uint64_t runs_ = 0, earlyEnds_ = 0;
};

}  // namespace beechpoint::system_test
