// Exchanges with a host that misbehaves by chance, under callers who retry as the failures allow, leave, and read slowly. Three
// things must hold on every seed: no answer is taken for another request's, a request that must not be repeated runs at most once,
// and nothing incomplete looks complete.
#include <algorithm>

#include "erratic_host.hpp"
#include "exchange_fixture.hpp"

namespace beechpoint::upstream {
namespace {

using test::Act;
using test::ErraticHost;

constexpr int kSeeds = 8;
constexpr std::size_t kRequests = 250;  // of one seed
constexpr std::size_t kCallers = 6;
constexpr std::size_t kLargeBody = 8 * 1024 * 1024;  // more than the systems hold between them
constexpr int kMostAttempts = 4;
constexpr Millis kPatience = 150;  // short, since not answering is one of the host's ways

struct Tally {
    std::map<std::string, bool> idempotent;  // the requests of this seed
    std::size_t complete = 0, failed = 0, refused = 0, again = 0, left = 0, reused = 0;
};

// One caller after another request; a request is sent again only where that can't make it run twice.
class Caller {
public:
    Caller(Upstream& upstream, HostAddress address, ErraticHost& host, std::mt19937_64& random,
           std::size_t& begun, Tally& tally)
        : upstream_(upstream),
          address_(std::move(address)),
          host_(host),
          random_(random),
          begun_(begun),
          tally_(tally) {}

    bool idle() const { return handle_ == 0; }
    void next() {
        if (begun_ >= kRequests) return;
        id_ = "r" + std::to_string(++begun_);
        idempotent_ = tally_.idempotent[id_] = random_() % 2 == 0;
        const std::size_t size = random_() % 4 == 0 ? random_() % kLargeBody : random_() % 5000;
        body_ =
            random_() % 2 == 0 ? std::make_shared<const std::string>(test::requestBody(id_, size)) : nullptr;
        attempts_ = 0;
        send();
    }
    void leave() {
        if (idle()) return;
        ++tally_.left;
        upstream_.cancel(std::exchange(handle_, 0));
    }
    void pauseReading() { upstream_.pauseReading(handle_); }
    void resumeReading() { upstream_.resumeReading(handle_); }

private:
    void send() {
        ++attempts_;
        Request request{body_ ? "POST" : "GET", "/" + id_, {{"Host", "h"}}, body_, id_};
        Handlers handlers;
        handlers.onHead = [this](const AnswerHead& head) {
            head_ = head;
            tally_.reused += head.reused ? 1 : 0;
        };
        handlers.onData = [this](std::string_view bytes) { got_ += bytes; };
        handlers.onEnd = [this] { onEnd(); };
        handlers.onFailed = [this](const Failure& failure) { onFailed(failure); };
        got_.clear();
        head_ = {};
        handle_ = upstream_.send(address_, kCallers, std::move(request), kPatience, std::move(handlers));
    }
    void onEnd() {
        handle_ = 0;
        const ErraticHost::Request& seen = host_.requests[id_];
        if (head_.status == 503) {
            ++tally_.refused;
            if (!idempotent_) {
                EXPECT_EQ(seen.runs, 0) << id_ << ": reported as not executed";
            }
            return again();
        }
        ++tally_.complete;
        EXPECT_TRUE(seen.completeBodies.contains(got_)) << id_ << ": " << got_.substr(0, 60);
    }
    void onFailed(const Failure& failure) {
        handle_ = 0;
        ++tally_.failed;
        if (idempotent_ || !failure.sent) again();
    }
    void again() {
        if (attempts_ >= kMostAttempts) return;
        ++tally_.again;
        send();
    }

    Upstream& upstream_;
    HostAddress address_;
    ErraticHost& host_;
    std::mt19937_64& random_;
    std::size_t& begun_;
    Tally& tally_;
    std::string id_, got_;
    AnswerHead head_;
    bool idempotent_ = false;
    std::shared_ptr<const std::string> body_;
    int attempts_ = 0;
    Handle handle_ = 0;
};

class RandomExchanges : public Exchanges {
protected:
    void play(std::uint64_t seed) {
        ErraticHost erratic(io, seed);
        upstream = std::make_unique<Upstream>(io, clock);
        std::mt19937_64 random(seed * 7919);
        std::size_t begun = 0;
        tally.idempotent.clear();
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t i = 0; i < kCallers; ++i)
            callers.push_back(std::make_unique<Caller>(*upstream, addressOf(erratic.endpoint()), erratic,
                                                       random, begun, tally));
        const auto done = [&] {
            return begun >= kRequests &&
                   std::all_of(callers.begin(), callers.end(), [](const auto& c) { return c->idle(); });
        };
        ASSERT_TRUE(until(io,
                          [&] {
                              if (done()) return true;
                              for (const auto& caller : callers) {
                                  if (caller->idle()) caller->next();
                              }
                              Caller& one = *callers[random() % callers.size()];
                              const auto draw = random() % 400;
                              if (draw == 0) one.leave();
                              if (draw == 1) one.pauseReading();
                              for (const auto& caller : callers) caller->resumeReading();
                              return done();
                          }))
            << "seed " << seed;
        runReadyHandlers(io);
        for (const auto& [id, request] : erratic.requests) {
            if (!tally.idempotent.at(id)) {
                EXPECT_LE(request.runs, 1) << id << " of seed " << seed;
            }
        }
        EXPECT_TRUE(erratic.offences.empty()) << "seed " << seed << ": " << erratic.offences.front();
        for (std::size_t act = 0; act < test::kActs; ++act) met[act] += erratic.met[act];
        early += erratic.early;
        lateCopiesAhead += erratic.lateCopiesAhead;
        EXPECT_EQ(upstream->exchanges(), 0u);
        upstream.reset();
        runReadyHandlers(io);
    }

    Tally tally;
    std::array<std::size_t, test::kActs> met{};
    std::size_t early = 0, lateCopiesAhead = 0;
};

TEST_F(RandomExchanges, AreReportedTruly) {
    for (int seed = 1; seed <= kSeeds; ++seed) play(static_cast<std::uint64_t>(seed));
    for (std::size_t act = 0; act < test::kActs; ++act) EXPECT_GT(met[act], 5u) << "way " << act;
    EXPECT_GT(early, 50u);
    EXPECT_GT(lateCopiesAhead, 15u);
    EXPECT_GT(tally.complete, kSeeds * kRequests / 4);
    EXPECT_GT(tally.failed, 80u);
    EXPECT_GT(tally.refused, 50u);
    EXPECT_GT(tally.again, 100u);
    EXPECT_GT(tally.reused, 300u);
    EXPECT_GT(tally.left, 5u);
    std::cout << fmt::format(
        "complete {}, failed {}, refused {}, sent again {}, left {}, reused {}, early {}, copies ahead {}\n",
        tally.complete, tally.failed, tally.refused, tally.again, tally.left, tally.reused, early,
        lateCopiesAhead);
}

}  // namespace
}  // namespace beechpoint::upstream
