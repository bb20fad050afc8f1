// What the operators' interface of control answers: each kind of refusal with its status, headers and body.
#include <fmt/format.h>

#include "control/operator_calls.hpp"
#include "directory/directory_service.hpp"
#include "http_answer.hpp"
#include "loopback.hpp"
#include "net/server.hpp"

namespace beechpoint::golden {
namespace {

using namespace control;

struct Asked {
    std::string method, path, ifMatch, body;
};

std::string nameOf(const Asked& asked) {
    return fmt::format("{} {} If-Match:{} {}", asked.method, asked.path, asked.ifMatch,
                       onOneLine(asked.body));
}

// Revision 3 is in force.
Table configuredTable() {
    auto call = parseOperatorCall("PUT", "/configuration", "0").value();
    call.body = sample("configuration.json");
    const auto decision = decide(call, {});
    Table table;
    apply(std::get<configuration::Accepted>(decision.value()).changes, table);
    return table;
}

std::string refusalOf(const Asked& asked, const Table& table) {
    auto call = parseOperatorCall(asked.method, asked.path, asked.ifMatch);
    if (!call)
        return answerLine(nameOf(asked), statusOfCallError(call.error()), "",
                          configuration::renderError(call.error()));
    call.value().body = asked.body;
    const auto decision = decide(call.value(), table);
    if (decision) return nameOf(asked) + " | taken";
    return answerLine(nameOf(asked), configuration::httpStatus(decision.error().kind), "",
                      configuration::renderError(decision.error()));
}

TEST(GoldenOperatorRefusals, OfSingleCalls) {
    const std::string route = R"({"name":"r","hostname":"a.example","path_prefix":"/","backend":"s"})";
    const std::string tooLong(configuration::kMaxZoneNameBytes + 1, 'z');
    const std::vector<Asked> calls = {
        {"POST", "/configuration", "", ""},
        {"GET", "/evacuate/za", "", ""},
        {"POST", "/evacuate/", "", ""},
        {"POST", "/evacuate/%4", "", ""},
        {"POST", "/evacuate/" + tooLong, "", ""},
        {"POST", "/evacuate/za", "", ""},
        {"GET", "/nowhere", "", ""},
        {"GET", "/configuration", "", ""},
        {"PUT", "/configuration", "", R"({"revision":4})"},
        {"PUT", "/configuration", "2", R"({"revision":4})"},
        {"PUT", "/configuration", "3", ""},
        {"PUT", "/configuration", "3", "[]"},
        {"PUT", "/configuration", "3", "{}"},
        {"PUT", "/configuration", "3", R"({"revision":0})"},
        {"PUT", "/configuration", "3", R"({"revision":3})"},
        {"PUT", "/configuration", "3", R"({"revision":4,"routes":{},"services":[]})"},
        {"PUT", "/configuration", "3", R"({"revision":4,"routes":[{}],"services":[]})"},
        {"PUT", "/configuration", "3", R"({"revision":4,"routes":[],"services":[{}]})"},
        {"PUT", "/configuration", "3",
         R"({"revision":4,"routes":[],"services":[{"name":"s"},{"name":"s"}]})"},
        {"PUT", "/configuration", "3",
         R"({"revision":4,"routes":[],"services":[],"limits":{"max_body_bytes":"x"}})"},
        {"PUT", "/configuration", "3", fmt::format(R"({{"revision":4,"routes":[{}],"services":[]}})", route)},
        {"PUT", "/configuration", "3",
         fmt::format(R"({{"revision":4,"routes":[{0},{0}],"services":[{{"name":"s"}}]}})", route)},
        {"PUT", "/configuration", "3",
         R"({"revision":4,"routes":[{"name":"r","hostname":"a.example",)"
         R"("path_prefix":"x","timeout_ms":-1,"backend":"s"}],"services":[{"name":"s"}]})"},
        {"PATCH", "/configuration", "3", "{}"},
        {"PATCH", "/configuration", "3", R"({"revision":4,"remove":{"services":["s1"]}})"},
        {"PATCH", "/configuration", "3", R"({"revision":4,"upsert":[]})"},
        {"PATCH", "/configuration", "3", R"({"revision":4,"remove":{"routes":"r1"}})"},
        {"PUT", "/configuration", "3", R"({"revision":4})"},
    };
    const Table table = configuredTable();
    Lines lines;
    for (const Asked& call : calls) lines.push_back(refusalOf(call, table));
    EXPECT_TRUE(matchesGolden("operator_refusals", lines));
}

// One call at a member in a scripted state.
class MemberScript {
public:
    MemberScript() {
        replica.table = std::make_shared<const Table>(configuredTable());
        replica.position = {1, 1};
        replica.inView = replica.isHead = replica.isTail = replica.writable = true;
    }
    void come(const std::string& method, const std::string& path) {
        tell(CallReceived{++lastId, parseOperatorCall(method, path, "").value()});
    }
    void tell(OperatorEvent event) { calls.handle(now, replica, std::move(event), actions); }
    std::string lastAnswer(std::string_view name) const {
        const auto* const answer = actions.empty() ? nullptr : std::get_if<Answer>(&actions.back());
        if (!answer) return fmt::format("{} | no answer", name);
        return answerLine(name, answer->status, answer->headers, answer->body);
    }

    OperatorCalls calls;
    ReplicaState replica;
    std::vector<OperatorAction> actions;
    Millis now = 1000;
    CallId lastId = 0;
};

std::string anotherMemberHasTheRole() {
    MemberScript member;
    member.replica.isHead = member.replica.isTail = false;
    member.replica.head = {"10.0.0.1:8", true};
    member.come("POST", "/evacuate/za");
    return member.lastAnswer("another member has the role");
}

std::string outOfReach(const std::string& method, const std::string& path, bool inView) {
    MemberScript member;
    member.replica.inView = inView;
    member.replica.writable = false;
    if (inView) member.replica.isTail = true;
    member.come(method, path);
    if (method == "GET" && inView) member.tell(ReadBarrierDone{member.lastId, false});
    member.now += kOperatorCallTimeout;
    member.tell(Reevaluate{});
    return member.lastAnswer(
        fmt::format("no place for {} {}", method, inView ? "in the view" : "out of the view"));
}

std::string leaving() {
    MemberScript member;
    member.replica.inView = false;
    member.come("GET", "/configuration");
    member.tell(DrainStarted{});
    return member.lastAnswer("leaving");
}

std::string tooMany() {
    MemberScript member;
    member.replica.inView = false;
    for (std::size_t count = 0; count <= kMaxOperatorCalls; ++count) member.come("GET", "/configuration");
    return member.lastAnswer("too many calls");
}

std::string ofWrite(std::string_view name, WriteResult result) {
    MemberScript member;
    member.come("POST", "/evacuate/za");
    member.tell(WriteDone{member.lastId, result});
    return member.lastAnswer(name);
}

TEST(GoldenOperatorRefusals, OfAMember) {
    const Lines lines{anotherMemberHasTheRole(),
                      outOfReach("GET", "/configuration", false),
                      outOfReach("POST", "/evacuate/za", false),
                      outOfReach("GET", "/configuration", true),
                      outOfReach("POST", "/evacuate/za", true),
                      leaving(),
                      tooMany(),
                      ofWrite("write not known", WriteResult::unknown),
                      ofWrite("write committed", WriteResult::committed)};
    EXPECT_TRUE(matchesGolden("operator_member_answers", lines));
}

TEST(GoldenOperatorRefusals, OfTheDirectory) {
    asio::io_context io;
    const Clock clock;
    Logger log(clock, logging::Format::json, -1);
    std::vector<leases::Gateway> gateways;
    directory::DirectoryService directory(
        clock, [&gateways] { return gateways; }, 2);
    net::HttpServer server(io, clock, log, 4,
                           [&directory](const net::HttpMessage& message,
                                        const std::shared_ptr<net::HttpConnection>& connection) {
                               directory.handle(message, connection);
                           });
    server.listen(test::anyPort());
    directory.drain();  // else a client waits for gateways
    Lines lines{answerLine("POST /resolve", ask(io, server.endpoint(), request("POST", "/resolve"))),
                answerLine("no gateway", ask(io, server.endpoint(), request("GET", "/resolve")))};
    gateways.resize(1);
    gateways[0].frontAddress = "10.0.0.1:80";
    gateways[0].ready = true;
    lines.push_back(answerLine("a gateway", ask(io, server.endpoint(), request("GET", "/resolve?zone=za"))));
    EXPECT_TRUE(matchesGolden("directory_answers", lines));
}

}  // namespace
}  // namespace beechpoint::golden
