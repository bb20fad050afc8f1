#include "crowd_rounds.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <utility>

#include "crowd_scripts.hpp"
#include "process_figures.hpp"

namespace beechpoint::system_test {
namespace {

constexpr std::size_t kOverlapping = 3;
constexpr std::size_t kMaxClients = 60;
constexpr std::uint64_t kLongestRoundMs = 700;
constexpr std::size_t kFrontBody = 4 * kMegabyte;  // max_body_bytes of a configuration that states none
constexpr std::size_t kControlBody = 8 * kMegabyte;
constexpr std::size_t kOtherBody = 64 * 1024;

struct RequestForm {
    std::string head;
    std::size_t mostBody = 0;
};

RequestForm formOf(CrowdListener::Kind kind, std::mt19937_64& random) {
    static constexpr const char* kPaths[] = {"/steady/x", "/once/x", "/stream/x", "/large/x", "/events/x"};
    switch (kind) {
        case CrowdListener::Kind::front:
            return {frontHead(kPaths[random() % std::size(kPaths)]), kFrontBody};
        case CrowdListener::Kind::control:
            return {putHead(), kControlBody};
        case CrowdListener::Kind::other:
            return {plainHead("/resolve"), kOtherBody};
    }
    return {};
}

CrowdScript drawScript(const RequestForm& form, std::mt19937_64& random) {
    switch (random() % 9) {
        case 0:
            return shortOfEnd(form.head, form.mostBody);
        case 1:
            return chunkedShortOfEnd(form.head, form.mostBody, kLargeChunk / 2);
        case 2:
            return chunkedShortOfEnd(form.head, 2 * kLargeChunk, kSmallChunk);
        case 3:
            return wholeBody(form.head, form.mostBody);
        case 4:
            return shortOfEnd(form.head, 4 * form.mostBody);
        case 5:
            return unfinishedHead();
        case 6:
            return random() % 2 == 0 ? longChunkLines(form.head, 2 * kMegabyte)
                                     : longTrailers(form.head, 2 * kMegabyte);
        case 7:
            return sentAhead(form.head, form.head, form.mostBody);
        default: {
            CrowdScript unread = wholeBody(form.head, 1);
            unread.readsAnswers = false;
            return unread;
        }
    }
}

}  // namespace

CrowdRounds::CrowdRounds(std::vector<CrowdListener> listeners, std::uint64_t seed)
    : listeners_(std::move(listeners)), seed_(seed), thread_([this] { play(); }) {}

CrowdRounds::~CrowdRounds() { end(); }

std::size_t CrowdRounds::end() {
    ends_ = true;
    if (thread_.joinable()) thread_.join();
    return rounds_;
}

void CrowdRounds::play() {
    std::mt19937_64 random(seed_);
    std::deque<std::unique_ptr<Crowd>> crowds;
    asio::io_context io(1);
    while (!ends_) {
        const CrowdListener& listener = listeners_[random() % listeners_.size()];
        const RequestForm form = formOf(listener.kind, random);
        const std::size_t clients = 1 + random() % kMaxClients;
        crowds.push_back(
            std::make_unique<Crowd>(listener.endpoint, copies(clients, drawScript(form, random))));
        ++rounds_;
        if (crowds.size() > kOverlapping) crowds.pop_front();
        asio::steady_timer timer(io, std::chrono::milliseconds(random() % kLongestRoundMs));
        timer.async_wait([](const asio::error_code&) {});
        io.restart();
        io.run();
    }
}

}  // namespace beechpoint::system_test
