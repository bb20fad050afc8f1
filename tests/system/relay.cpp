#include "relay.hpp"

#include <utility>

#include "relay_link.hpp"

namespace beechpoint::system_test {

using Tcp = asio::ip::tcp;

Relay::Relay(Background& background, Identify identify)
    : background_(background), identify_(std::move(identify)) {}

Relay::~Relay() = default;

void Relay::serve(const std::string& node, const Endpoint& at, const Endpoint& to) {
    background_.run([&] {
        auto listener = std::make_unique<Listener>(Listener{node, Tcp::acceptor(background_.io(), at), to});
        listeners_.push_back(std::move(listener));
        accept(listeners_.size() - 1);
    });
}

void Relay::accept(std::size_t listener) {
    listeners_[listener]->acceptor.async_accept(
        [this, listener](const asio::error_code& error, Tcp::socket socket) {
            if (!error) take(std::move(socket), listener);
            if (error != asio::error::operation_aborted) accept(listener);
        });
}

void Relay::take(Tcp::socket caller, std::size_t listener) {
    asio::error_code error;
    const Endpoint from = caller.remote_endpoint(error);
    if (error) return;
    const std::string node = identify_(from, listeners_[listener]->acceptor.local_endpoint());
    const std::string& called = listeners_[listener]->node;
    const auto link =
        std::make_shared<RelayLink>(*this, std::move(caller), node, called, listeners_[listener]->to);
    if (node.empty() || covers(refused_, node, called)) return link->reset();
    links_.remove_if([](const auto& one) { return one->closed(); });
    links_.push_back(link);
    link->start();
}

bool Relay::covers(const std::set<Pair>& pairs, const std::string& from, const std::string& to) {
    return pairs.contains({from, to}) || pairs.contains({kAnyNode, to}) || pairs.contains({from, kAnyNode});
}

bool Relay::loses(const std::string& from, const std::string& to) {
    const auto found = losses_.find({from, to});
    if (found == losses_.end() || found->second == 0) return false;
    --found->second;
    ++answersLost_;
    return true;
}

void Relay::forEachLink(const std::function<void(RelayLink&)>& action) {
    const auto links = links_;  // an action may bring new ones
    for (const auto& link : links) action(*link);
}

void Relay::hold(const std::string& from, const std::string& to) {
    background_.run([&] { held_.insert({from, to}); });
}

void Relay::release(const std::string& from, const std::string& to, Held held) {
    background_.run([&] {
        held_.erase({from, to});
        if (held == Held::lost) resetLinks(from, to);
        forEachLink([](RelayLink& link) { link.look(); });
    });
}

void Relay::isolate(const std::string& node) {
    hold(node, kAnyNode);
    hold(kAnyNode, node);
}

void Relay::rejoin(const std::string& node, Held held) {
    background_.run([&] {
        held_.erase({node, kAnyNode});
        held_.erase({kAnyNode, node});
        if (held == Held::lost) resetLinks(node, kAnyNode);
        forEachLink([](RelayLink& link) { link.look(); });
    });
}

void Relay::refuse(const std::string& one, const std::string& other) {
    background_.run([&] {
        refused_.insert({one, other});
        refused_.insert({other, one});
        resetLinks(one, other);
    });
}

void Relay::admit(const std::string& one, const std::string& other) {
    background_.run([&] {
        refused_.erase({one, other});
        refused_.erase({other, one});
    });
}

void Relay::reset(const std::string& one, const std::string& other) {
    background_.run([&] { resetLinks(one, other); });
}

void Relay::resetLinks(const std::string& one, const std::string& other) {
    forEachLink([&](RelayLink& link) {
        if (link.between(one, other)) link.reset();
    });
}

void Relay::loseAnswers(const std::string& from, const std::string& to, std::size_t count) {
    background_.run([&] { losses_[{from, to}] = count; });
}

std::size_t Relay::answersLost() const {
    return background_.run([this] { return answersLost_; });
}

}  // namespace beechpoint::system_test
