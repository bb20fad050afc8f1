// A TCP relay between processes: each node is reached at addresses of the relay, which passes bytes on and can cut any pair of nodes,
// in one direction or both. Connections are told apart by the process that opened them (socket_owners.hpp).
//
// Of a silent cut: bytes are held, and new connections are accepted but lead nowhere (a real network would leave them without an
// answer too, though in the state before). Ends of connections, also resets, are held like bytes.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "background.hpp"

namespace beechpoint::system_test {

inline constexpr const char* kAnyNode = "*";

enum class Held {
    delivered,
    lost
};  // what becomes of held bytes when a cut ends; lost: the connection is reset

class RelayLink;

// Its functions may be called on any thread but the loop's own.
class Relay {
public:
    using Endpoint = asio::ip::tcp::endpoint;
    using Identify = std::function<std::string(const Endpoint& caller, const Endpoint& called)>;

    Relay(Background& background, Identify identify);
    ~Relay();  // after the loop has stopped

    void serve(const std::string& node, const Endpoint& at, const Endpoint& to);

    // Bytes from one node to the other are held until release(); kAnyNode stands for all.
    void hold(const std::string& from, const std::string& to);
    void release(const std::string& from, const std::string& to, Held held);
    // Both directions between the node and all others.
    void isolate(const std::string& node);
    void rejoin(const std::string& node, Held held);
    // Connections between the two are reset, new ones at once.
    void refuse(const std::string& one, const std::string& other);
    void admit(const std::string& one, const std::string& other);
    void reset(const std::string& one, const std::string& other);
    // The next answers of `from` to `to` are lost: the connection is reset at their first byte.
    void loseAnswers(const std::string& from, const std::string& to, std::size_t count);
    std::size_t answersLost() const;

private:
    friend class RelayLink;
    using Pair = std::pair<std::string, std::string>;

    void accept(std::size_t listener);
    void take(asio::ip::tcp::socket caller, std::size_t listener);
    static bool covers(const std::set<Pair>& pairs, const std::string& from, const std::string& to);
    bool held(const std::string& from, const std::string& to) const { return covers(held_, from, to); }
    bool loses(const std::string& from, const std::string& to);
    void resetLinks(const std::string& one, const std::string& other);
    void forEachLink(const std::function<void(RelayLink&)>& action);

    struct Listener {
        std::string node;
        asio::ip::tcp::acceptor acceptor;
        Endpoint to;
    };

    Background& background_;
    Identify identify_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::list<std::shared_ptr<RelayLink>> links_;  // closed ones go when the next one comes
    std::set<Pair> held_, refused_;
    std::map<Pair, std::size_t> losses_;
    std::size_t answersLost_ = 0;
};

}  // namespace beechpoint::system_test
