// The client's calls over loopback sockets, against members that answer by script.
#include "operator_client/client.hpp"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <functional>
#include <thread>

#include "net/http.hpp"
#include "net/server.hpp"

namespace beechpoint::operator_client {
namespace {

// One member on its own loop and thread.
class ScriptedMember {
public:
    using Script = std::function<void(const net::HttpMessage&, net::HttpConnection&)>;

    explicit ScriptedMember(Script script)
        : logger_(clock_, logging::Format::json, -1),
          server_(io_, clock_, logger_, 16,
                  [script](const net::HttpMessage& message,
                           const std::shared_ptr<net::HttpConnection>& connection) {
                      script(message, *connection);
                  }) {
        server_.listen({asio::ip::address_v4::loopback(), 0});
        address = "127.0.0.1:" + std::to_string(server_.endpoint().port());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~ScriptedMember() {
        asio::post(io_, [this] {
            server_.closeAll();
            io_.stop();
        });
        thread_.join();
    }

    std::string address;

private:
    Clock clock_;
    Logger logger_;
    asio::io_context io_;
    net::HttpServer server_;
    std::thread thread_;
};

std::string closedAddress() {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

class ClientTest : public ::testing::Test {
protected:
    Reply perform(std::vector<std::string> members, const Call& call, Millis total = 10'000) {
        Client client(clock, {std::move(members), total, 1},
                      [this](std::string_view line) { lines.emplace_back(line); });
        return client.perform(call);
    }

    Clock clock;
    std::vector<std::string> lines;
};

TEST_F(ClientTest, SendsCallAndReturnsAnswer) {
    ScriptedMember member([](const net::HttpMessage& message, net::HttpConnection& connection) {
        const bool expected = message.method == "PUT" && message.target == "/configuration" &&
                              message.header("If-Match") == "5" && message.body == "{}";
        connection.respond(expected ? 200 : 400, "application/json", R"({"revision":7})");
    });
    const Reply reply = perform({member.address}, {"PUT", "/configuration", "{}", 5});
    EXPECT_EQ(reply.ending, Ending::done);
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, R"({"revision":7})");
    EXPECT_EQ(reply.address, member.address);
    EXPECT_EQ(lines.front(), "asking " + member.address);
}

TEST_F(ClientTest, CallsNextMemberAfterClosedOrBusyOneAndFollowsRedirects) {
    ScriptedMember head([](const net::HttpMessage& message, net::HttpConnection& connection) {
        connection.respond(message.body == "{}" ? 200 : 400, "application/json", "{}");
    });
    ScriptedMember busy([](const net::HttpMessage&, net::HttpConnection& connection) {
        connection.respond(503, "application/json", "{}");
    });
    ScriptedMember other([&](const net::HttpMessage& message, net::HttpConnection& connection) {
        connection.respond(307, "application/json", "{}",
                           "Location: http://" + head.address + std::string(message.target) + "\r\n");
    });
    const Reply reply =
        perform({closedAddress(), busy.address, other.address}, {"PATCH", "/configuration", "{}", 0});
    EXPECT_EQ(reply.ending, Ending::done);
    EXPECT_EQ(reply.address, head.address);
}

// The answer is lost on the way: the same bytes go to the next member, which answers for what the first has taken.
TEST_F(ClientTest, RetriesChangeUnchangedWhenAnswerWasLost) {
    const auto textOf = [](const net::HttpMessage& message) {
        return std::string(message.method) + ' ' + std::string(message.target) + ' ' +
               std::string(message.header("If-Match")) + ' ' + std::string(message.body);
    };
    std::vector<std::string> lost, again;
    ScriptedMember first([&](const net::HttpMessage& message, net::HttpConnection& connection) {
        lost.push_back(textOf(message));
        connection.reset();
    });
    ScriptedMember second([&](const net::HttpMessage& message, net::HttpConnection& connection) {
        again.push_back(textOf(message));
        connection.respond(200, "application/json", R"({"revision":7})");
    });
    const Reply reply =
        perform({first.address, second.address}, {"PATCH", "/configuration", R"({"a":1})", 5});
    EXPECT_EQ(reply.ending, Ending::done);
    EXPECT_EQ(lost, std::vector<std::string>{R"(PATCH /configuration 5 {"a":1})"});
    EXPECT_EQ(again, lost);
}

// Answers of members bear no id, so a second answer to one call must not be taken for the answer to the same call made again.
TEST_F(ClientTest, RetriesSameMemberOnNewConnection) {
    std::vector<std::weak_ptr<net::HttpConnection>> asked;
    ScriptedMember member([&](const net::HttpMessage&, net::HttpConnection& connection) {
        asked.push_back(connection.weak_from_this());
        connection.respond(asked.size() == 1 ? 503 : 200, "application/json", "{}");
    });
    EXPECT_EQ(perform({member.address}, {"PUT", "/configuration", "{}", 5}).ending, Ending::done);
    ASSERT_EQ(asked.size(), 2u);
    EXPECT_TRUE(asked[0].owner_before(asked[1]) || asked[1].owner_before(asked[0]));
}

TEST_F(ClientTest, ReturnsBodyOfRefusal) {
    ScriptedMember member([](const net::HttpMessage&, net::HttpConnection& connection) {
        connection.respond(412, "application/json", R"({"error":{"message":"m"}})");
    });
    const Reply reply = perform({member.address}, {"PUT", "/configuration", "{}", 0});
    EXPECT_EQ(reply.ending, Ending::refused);
    EXPECT_EQ(reply.status, 412);
    EXPECT_EQ(reply.body, R"({"error":{"message":"m"}})");
}

TEST_F(ClientTest, EndsAsUnknownForChangeAndUnreachableForReadWhenMemberDoesNotAnswer) {
    ScriptedMember unresponsive([](const net::HttpMessage&, net::HttpConnection&) {});
    EXPECT_EQ(perform({unresponsive.address}, {"POST", "/evacuate/z", {}, {}}, 300).ending, Ending::unknown);
    EXPECT_EQ(perform({unresponsive.address}, {"GET", "/configuration", {}, {}}, 300).ending,
              Ending::unreachable);
    EXPECT_EQ(perform({closedAddress()}, {"POST", "/evacuate/z", {}, {}}, 300).ending, Ending::unreachable);
    EXPECT_EQ(perform({"nowhere"}, {"POST", "/evacuate/z", {}, {}}, 300).ending, Ending::unreachable);
}

TEST_F(ClientTest, ReturnsLastAnswerWhenLaterCallsGetNone) {
    int calls = 0;
    ScriptedMember member([&](const net::HttpMessage&, net::HttpConnection& connection) {
        if (calls++ == 0) connection.respond(503, "application/json", "reason");
    });
    const Reply reply = perform({member.address, closedAddress()}, {"GET", "/resolve", {}, {}}, 600);
    EXPECT_EQ(reply.ending, Ending::unreachable);
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(reply.body, "reason");
    EXPECT_EQ(reply.address, member.address);
}

TEST(PercentEncoded, EncodesAllButUnreservedBytes) {
    EXPECT_EQ(percentEncoded("trakia-hall_1.~"), "trakia-hall_1.~");
    EXPECT_EQ(percentEncoded("a/b c?%\xC3\xA9"), "a%2Fb%20c%3F%25%C3%A9");
}

}  // namespace
}  // namespace beechpoint::operator_client
