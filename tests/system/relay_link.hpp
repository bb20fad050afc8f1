// One relayed connection: the caller's socket, the one to the node called, and a flow of bytes each way.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace beechpoint::system_test {

class Relay;

// To be used on the loop's thread only.
class RelayLink : public std::enable_shared_from_this<RelayLink> {
public:
    RelayLink(Relay& relay, asio::ip::tcp::socket caller, std::string callerNode, std::string calledNode,
              asio::ip::tcp::endpoint to);

    void start() { look(); }
    // Goes on with what is not held any more.
    void look();
    void reset();
    bool closed() const { return stage_ == Stage::closed; }
    bool between(const std::string& one, const std::string& other) const;
    bool flows(const std::string& from, const std::string& to) const;

private:
    static constexpr std::size_t kPiece = 16 * 1024;
    enum class End { none, closed, reset };
    enum class Stage { waiting, dialling, open, closed };

    struct Flow {
        Flow(asio::ip::tcp::socket& in, asio::ip::tcp::socket& out) : in(in), out(out) {}
        asio::ip::tcp::socket& in;
        asio::ip::tcp::socket& out;
        std::string from, to;
        bool answers = false;  // from the node called
        std::array<char, kPiece> piece;
        std::size_t size = 0;  // of the piece that waits to be passed on
        End end = End::none;
        bool stopped = false;  // held with a piece or an end in hand
        bool over = false;     // the end was passed on
    };

    bool heldEitherWay() const;
    void dial();
    void read(Flow& flow);
    void forward(Flow& flow);
    void pass(Flow& flow);
    void passEnd(Flow& flow);
    Flow& opposite(const Flow& flow) { return &flow == &requests_ ? answers_ : requests_; }

    Relay& relay_;
    asio::ip::tcp::socket caller_, called_;
    asio::ip::tcp::endpoint to_;
    Flow requests_, answers_;
    Stage stage_ = Stage::waiting;
};

}  // namespace beechpoint::system_test
