// The frames that a connection to a track host carries, as the host gets them: from the exchange's query to the bytes on a
// loopback socket, and from the host's bytes to the client's answer. Time stands still, so that each wait is the same.
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>

#include "backend/frames.hpp"
#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using asio::ip::tcp;

constexpr const char* kFamily = "host_connection";

coordinator::Settings settingsWith(coordinator::Reports reports) {
    coordinator::ClassSettings klass;
    klass.name = "pallet-lookup";
    klass.aim = 1'200'000'000;
    klass.deadline = 3'000'000'000;
    coordinator::Settings settings;
    settings.classes = {klass};
    settings.shards = settings.cells = settings.span = 1;
    settings.maxAttempts = 1;
    settings.openCap = 128;
    settings.cancelling = true;
    settings.reports = reports;
    return settings;
}

// A gatherer's side with one track host, which the test plays.
class Bed {
public:
    explicit Bed(coordinator::Reports reports = coordinator::Reports::withAnswers)
        : exchange_(settingsWith(reports), 1, clock_, counters_, log_, [](Millis) {}),
          pool_(io_, clock_, counters_, log_, exchange_, limits(), backend::FrameConnection::make) {
        clock_.set(Clock::kOrigin);
        exchange_.attach(pool_);
        HostEntry host;
        host.entry.id = "host-17";
        host.entry.state = coordinator::ServerState::up;
        host.address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        exchange_.list({coordinator::ListKind::remembered, {host}});
        acceptor_.async_accept(host_, [this](asio::error_code error) {
            if (!error) receive();
        });
    }
    ~Bed() {
        pool_.close();
        asio::error_code ignored;
        acceptor_.close(ignored);
        host_.close(ignored);
        io_.restart();
        io_.poll();  // what is queued already
    }
    Ticket take(const std::string& id) {
        Request request;
        request.id = id;
        request.klass = "pallet-lookup";
        request.expires = clock_.now() + 2500;
        request.parts = {{0, 1}};
        request.text = "{\"query\":\"büche\"}";
        return exchange_.take(std::move(request), [this](const Final& final) {
            kind_ = final.kind;
            for (const PartAnswer& part : final.parts) value_ += part.value;
            ended_ = true;
        });
    }
    void leave(Ticket ticket) { exchange_.gone(ticket); }
    void probe() { pool_.probe("host-17"); }
    void answer(const std::string& bytes) { asio::write(host_, asio::buffer(bytes)); }

    // The next frame's bytes, as the host gets them; empty where none comes.
    std::string nextFrame() {
        backend::Frame frame;
        while (backend::readFrame(received_, frame) != backend::FrameState::complete)
            if (!runOne()) return "";
        const std::string bytes = received_.substr(0, frame.size);
        received_.erase(0, bytes.size());
        return bytes;
    }
    // The client's whole answer; empty where it gets none.
    std::string nextAnswer() {
        while (!ended_)
            if (!runOne()) return "";
        return kind_ == Final::Kind::answered ? value_ : "";
    }

private:
    // Places for more calls than are given up: with half of them gone, a connection closes instead of cancelling.
    static backend::ConnectionLimits limits() {
        backend::ConnectionLimits limits;
        limits.calls = 32;
        return limits;
    }
    bool runOne() { return io_.run_one_until(deadline_) > 0; }
    void receive() {
        host_.async_read_some(asio::buffer(chunk_), [this](asio::error_code error, std::size_t size) {
            if (error) return;
            received_.append(chunk_, size);
            receive();
        });
    }

    const std::chrono::steady_clock::time_point deadline_ =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    asio::io_context io_;
    tcp::acceptor acceptor_{io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    tcp::socket host_{io_};
    char chunk_[4096];
    std::string received_;
    Clock clock_;
    Counters counters_;
    Logger log_{clock_, logging::Format::text, -1};
    Exchange exchange_;
    backend::Pool pool_;
    Final::Kind kind_ = Final::Kind::failed;
    std::string value_;
    bool ended_ = false;
};

TEST(HostConnection, RequestAndAnswer) {
    Bed bed;
    bed.take("trace-7_A");
    expectGolden(kFamily, "request", bed.nextFrame());
    std::string result;
    backend::writeFrame(result, 'R', "trace-7_A.0 done 0.5 cpu=0.25\nvalue");
    bed.answer(expectGolden(kFamily, "result", result));
    EXPECT_EQ(bed.nextAnswer(), "value");
}

TEST(HostConnection, Cancel) {
    Bed bed;
    const Ticket ticket = bed.take("trace-7_A");
    EXPECT_NE(bed.nextFrame(), "");
    bed.leave(ticket);
    expectGolden(kFamily, "cancel", bed.nextFrame());
}

TEST(HostConnection, Probes) {
    Bed reporting;
    reporting.probe();
    expectGolden(kFamily, "probe_with_report", reporting.nextFrame());
    Bed silent(coordinator::Reports::none);
    silent.probe();
    expectGolden(kFamily, "probe", silent.nextFrame());
}

}  // namespace
}  // namespace beechpoint::golden
