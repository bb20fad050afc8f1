#include "witnesses.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "configuration/editing.hpp"
#include "control_messages/codec.hpp"
#include "figures.hpp"
#include "operator.hpp"
#include "rpc/client.hpp"

namespace beechpoint::system_test {
namespace {

std::future<HttpAnswer> callLater(HttpCall call) {
    return std::async(std::launch::async, [call = std::move(call)] { return exchange(call); });
}

HttpCall putCall(const std::string& address, std::uint64_t revision, const std::string& author, Millis most) {
    HttpCall call{address, "PUT", "/configuration", revision - 1, configurationText(revision, author),
                  {},      most};
    return call;
}

void reportAnswer(const char* call, const HttpAnswer& answer) {
    report(fmt::format("answers beside to {}", call), fmt::format("status {}", answer.status), 1);
}

// No clear answer: the caller goes to another member.
bool unclear(const HttpAnswer& answer) {
    return answer.status == 0 || answer.status == 307 || answer.status == 503;
}

control::PollRequest pollRequest() {
    control::PollRequest request;
    request.gateway.name = "witness";
    request.gateway.session = 1;
    request.gateway.zone = "z1";
    request.gateway.region = "r1";
    request.gateway.frontAddress = "127.0.0.1:1";
    return request;
}

}  // namespace

std::optional<std::uint64_t> pollMember(const std::string& internalAddress, Millis most) {
    Clock clock;
    Logger logger(clock, logging::Format::json, -1);
    asio::io_context io(1);
    rpc::Client client(io, logger);
    std::optional<std::uint64_t> revision;
    client.call(internalAddress, control::encode(pollRequest()), most, [&](Result<std::string> bytes) {
        io.stop();
        if (!bytes) return;
        const auto reply = control::decodePollReply(bytes.value());
        if (!reply || reply.value().status != control::PollStatus::ok || !reply.value().table) return;
        Table table;
        apply(reply.value().table->changes, table);
        revision = configuration::currentRevision(table);
    });
    io.run();
    return revision;
}

Witnesses::Witnesses(const System& system, std::size_t member, std::uint64_t newest, Millis most)
    : name_(system.nodeOf(member)), newest_(newest) {
    const std::string address = system.directControl(member);
    HttpCall read;
    read.address = address;
    read.target = "/configuration";
    read.most = most;
    read_ = callLater(std::move(read));
    again_ = callLater(putCall(address, newest, "first", most));
    other_ = callLater(putCall(address, newest, "witness", most));
    next_ = callLater(putCall(address, newest + 1, "witness", most));
    polled_ = std::async(std::launch::async, [internal = system.directInternal(member), most] {
        return pollMember(internal, most);
    });
}

void Witnesses::check() {
    const HttpAnswer read = read_.get();
    reportAnswer("a read", read);
    EXPECT_TRUE(unclear(read) || read.status == 200) << name_ << " read: " << read.status << read.body;
    if (read.status == 200) {
        EXPECT_GE(revisionOf(read.body), newest_) << name_ << " handed out an old configuration";
    }
    const HttpAnswer again = again_.get();
    reportAnswer("the newest change again", again);
    EXPECT_TRUE(unclear(again) || again.status == 200)
        << name_ << " refused what was acknowledged: " << again.status << again.body;
    const HttpAnswer other = other_.get();
    reportAnswer("another change under its number", other);
    EXPECT_TRUE(unclear(other) || other.status == 412)
        << name_ << " to another change under a number that was given: " << other.status << other.body;
    const HttpAnswer next = next_.get();
    reportAnswer("a change under the next number", next);
    EXPECT_TRUE(unclear(next) || next.status == 412)
        << name_ << " to a change under a number that others gave: " << next.status << next.body;
    const std::optional<std::uint64_t> polled = polled_.get();
    report("answers beside to a poll", polled ? "with a table" : "without", 1);
    if (polled) {
        EXPECT_GE(*polled, newest_) << name_ << " handed a gateway an old configuration";
    }
}

}  // namespace beechpoint::system_test
