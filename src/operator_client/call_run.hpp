/// One call of an operator, from the first member asked to the end: carries out what its CallPlan decides. Private to the module.
/// Owns its Asio loop, which runs inside run().
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "operator_client/call_plan.hpp"
#include "operator_client/client.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::operator_client {

class CallRun {
public:
    /// All arguments must outlive it.
    CallRun(const Clock& clock, const Client::Settings& settings, const Call& call,
            const Client::Report& report);

    /// Blocks until the end of the call. Once.
    [[nodiscard]] Reply run();

private:
    enum class Sent { no, maybe };

    void carryOut(const Step& step);
    void act(const Send& send);
    void act(const Backoff& backoff);
    void act(const Over& over);
    void failLater(Sent sent);
    upstream::Request requestTo(const Send& send) const;
    upstream::Handlers handlers();
    void onData(std::string_view bytes);
    void onEnd();
    void onFailed(const upstream::Failure& failure);
    void dropAnswer();

    const Clock& clock_;
    const Call& call_;
    const Client::Report& report_;
    std::shared_ptr<const std::string> body_;  // null: none
    CallPlan plan_;
    asio::io_context io_{1};
    upstream::Upstream upstream_;
    asio::steady_timer timer_;
    upstream::Handle handle_ = 0;
    std::string location_;  // of the answer that comes in
    Reply current_;         // to the call in flight
    Reply reply_;           // the last complete answer
};

}  // namespace beechpoint::operator_client
