// Discovery's agent on a gatherer's machine: the list, and the watch for its changes, over HTTP.
#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "emulator/real_stage.hpp"
#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::emulator {

class RealAgent {
public:
    // `address` names a host's address as this agent's gatherer is to use it.
    RealAgent(Stage& stage, int gatherer, std::function<std::string(int host)> address);
    ~RealAgent();
    RealAgent(const RealAgent&) = delete;
    RealAgent& operator=(const RealAgent&) = delete;

    const tcp::endpoint& endpoint() const { return endpoint_; }
    void told(const Listing& listing);  // goes to all that watch
    void muted(bool muted);
    std::string text(const Listing& listing) const;

private:
    struct Line;
    using LinePtr = std::shared_ptr<Line>;
    void accept();
    void read(const LinePtr& line);
    void onRequest(const LinePtr& line, std::string_view target);
    void beginWatch(const LinePtr& line);
    void send(const LinePtr& line, std::string bytes);
    void beat();

    Stage& stage_;
    int gatherer_;
    std::function<std::string(int host)> address_;
    tcp::acceptor acceptor_;
    tcp::endpoint endpoint_;
    asio::steady_timer beat_;
    std::list<LinePtr> lines_;
    bool muted_ = false;
};

}  // namespace beechpoint::emulator
