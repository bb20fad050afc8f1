#include "relay_link.hpp"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <utility>

#include "relay.hpp"

namespace beechpoint::system_test {

using Tcp = asio::ip::tcp;

namespace {

bool same(const std::string& pattern, const std::string& node) {
    return pattern == kAnyNode || pattern == node;
}

void resetSocket(Tcp::socket& socket) {
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}  // namespace

RelayLink::RelayLink(Relay& relay, Tcp::socket caller, std::string callerNode, std::string calledNode,
                     Tcp::endpoint to)
    : relay_(relay),
      caller_(std::move(caller)),
      called_(caller_.get_executor()),
      to_(std::move(to)),
      requests_(caller_, called_),
      answers_(called_, caller_) {
    requests_.from = answers_.to = std::move(callerNode);
    requests_.to = answers_.from = std::move(calledNode);
    answers_.answers = true;
}

void RelayLink::look() {
    if (stage_ == Stage::waiting && !heldEitherWay()) dial();
    for (Flow* flow : {&requests_, &answers_})
        if (stage_ == Stage::open && std::exchange(flow->stopped, false)) forward(*flow);
}

// A connection is only made where both directions are open.
bool RelayLink::heldEitherWay() const {
    return relay_.held(requests_.from, requests_.to) || relay_.held(answers_.from, answers_.to);
}

void RelayLink::dial() {
    stage_ = Stage::dialling;
    called_.async_connect(to_, [self = shared_from_this()](const asio::error_code& error) {
        if (self->stage_ == Stage::closed) return;
        if (error) return self->reset();
        self->stage_ = Stage::open;
        asio::error_code ignored;
        self->caller_.set_option(Tcp::no_delay(true), ignored);
        self->called_.set_option(Tcp::no_delay(true), ignored);
        self->read(self->requests_);
        self->read(self->answers_);
    });
}

void RelayLink::read(Flow& flow) {
    flow.in.async_read_some(asio::buffer(flow.piece), [self = shared_from_this(), &flow](
                                                          const asio::error_code& error, std::size_t size) {
        if (self->stage_ == Stage::closed || flow.over || flow.end != End::none) return;
        flow.size = size;
        if (error) flow.end = error == asio::error::eof ? End::closed : End::reset;
        self->forward(flow);
    });
}

void RelayLink::forward(Flow& flow) {
    if (relay_.held(flow.from, flow.to)) {
        flow.stopped = true;
        return;
    }
    if (flow.size > 0) return pass(flow);
    if (flow.end != End::none) return passEnd(flow);
    read(flow);
}

void RelayLink::pass(Flow& flow) {
    if (flow.answers && relay_.loses(flow.from, flow.to)) return reset();
    const std::size_t size = std::exchange(flow.size, 0);
    asio::async_write(flow.out, asio::buffer(flow.piece.data(), size),
                      [self = shared_from_this(), &flow](const asio::error_code& error, std::size_t) {
                          if (self->stage_ == Stage::closed) return;
                          if (!error) return self->forward(flow);
                          // The receiver has gone: the sender learns of it by the opposite flow, unless that is held.
                          Flow& back = self->opposite(flow);
                          flow.over = true;
                          if (back.over || std::exchange(back.end, End::reset) != End::none) return;
                          self->forward(back);
                      });
}

void RelayLink::passEnd(Flow& flow) {
    flow.over = true;
    if (flow.end == End::reset || opposite(flow).over) return reset();
    asio::error_code ignored;
    flow.out.shutdown(Tcp::socket::shutdown_send, ignored);
}

void RelayLink::reset() {
    stage_ = Stage::closed;
    resetSocket(caller_);
    resetSocket(called_);
}

bool RelayLink::flows(const std::string& from, const std::string& to) const {
    return (same(from, requests_.from) && same(to, requests_.to)) ||
           (same(from, answers_.from) && same(to, answers_.to));
}

bool RelayLink::between(const std::string& one, const std::string& other) const {
    return flows(one, other) || flows(other, one);
}

}  // namespace beechpoint::system_test
