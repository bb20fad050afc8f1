#include "host_discovery/poller.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "host_discovery/platform_client.hpp"

namespace beechpoint::host_discovery {

class Poller::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, Settings settings, std::uint64_t seed,
         std::uint64_t readerId, OnReading onReading)
        : clock_(clock),
          logger_(logger),
          address_(settings.address),
          reader_(settings.reader, seed, readerId),
          client_(io, settings.address),
          timer_(io),
          onReading_(std::move(onReading)) {}

    void start(std::uint64_t fencingToken, std::uint64_t lastNumber, std::shared_ptr<const HostList> known) {
        if (reader_.running() && reader_.fencingToken() == fencingToken) return;
        stop();
        reader_.start(clock_.now(), fencingToken, lastNumber, std::move(known));
        arm();
    }

    void stop() {
        reader_.stop();
        client_.cancel();
        timer_.cancel();
        generation_++;
    }

    ListReader& reader() { return reader_; }
    std::uint64_t calls() const { return calls_; }

private:
    void arm() {
        const auto at = reader_.nextAt();
        if (!at) return;
        const Millis wait = std::max(0.0, *at - clock_.now());
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1000)));
        timer_.async_wait([weak = weak_from_this(), generation = generation_](const asio::error_code& error) {
            // A timer that has expired calls back also after its poller was destroyed.
            const auto self = weak.lock();
            if (!error && self && generation == self->generation_) self->call();
        });
    }

    void call() {
        const Millis now = clock_.now();
        const auto call = reader_.nextCall(now);
        if (!call) return arm();
        calls_++;
        client_.get(call->target, call->deadline - now,
                    [this](int status, std::string_view body) { onAnswer(status, body); });
    }

    void onAnswer(int status, std::string_view body) {
        const std::uint64_t generation = generation_;
        const Millis now = clock_.now();
        const auto outcome = status == 0 ? reader_.onFailure(now) : reader_.onAnswer(now, status, body);
        if (outcome == ListReader::Outcome::failed) {
            logger_.seldom(
                "platform", "can't read the platform's host list at {}: {}; the previous list stays in use",
                field("address", address_),
                field("cause", status == 0 ? std::string(body) : fmt::format("status {}", status)));
        }
        const bool read =
            outcome == ListReader::Outcome::changed || outcome == ListReader::Outcome::confirmed;
        if (read) onReading_(reader_.list(), reader_.confirmedAt(), outcome == ListReader::Outcome::changed);
        if (generation == generation_) arm();
    }

    const Clock& clock_;
    Logger& logger_;
    std::string address_;
    ListReader reader_;
    PlatformClient client_;
    asio::steady_timer timer_;
    OnReading onReading_;
    std::uint64_t generation_ = 0;  // timers of an earlier start have another one
    std::uint64_t calls_ = 0;
};

Poller::Poller(asio::io_context& io, const Clock& clock, Logger& logger, Settings settings,
               std::uint64_t seed, std::uint64_t readerId, OnReading onReading)
    : impl_(std::make_shared<Impl>(io, clock, logger, std::move(settings), seed, readerId,
                                   std::move(onReading))) {}

Poller::~Poller() { impl_->stop(); }

void Poller::start(std::uint64_t fencingToken, std::uint64_t lastNumber,
                   std::shared_ptr<const HostList> known) {
    impl_->start(fencingToken, lastNumber, std::move(known));
}
void Poller::stop() { impl_->stop(); }
bool Poller::running() const { return impl_->reader().running(); }
void Poller::raiseNumber(std::uint64_t number) { impl_->reader().raiseNumber(number); }
int Poller::failures() const { return impl_->reader().failures(); }
std::uint64_t Poller::calls() const { return impl_->calls(); }

}  // namespace beechpoint::host_discovery
