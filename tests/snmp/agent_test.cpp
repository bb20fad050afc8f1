// The SNMP agent: PDUs by table, and a walk over UDP.
#include "snmp/agent.hpp"

#include <gtest/gtest.h>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using namespace beechpoint::snmp;

namespace {

// `first` and `second` are the error fields, or those of GetBulk: non-repeaters and max-repetitions.
std::string request(std::uint8_t pdu, const std::vector<Oid>& names, std::int64_t first = 0,
                    std::int64_t second = 0, std::int64_t version = 1,
                    const std::string& community = "public") {
    std::string list;
    for (const Oid& name : names) list += element(kSequence, oid(name) + element(kNull, {}));
    const std::string body = integer(77) + integer(first) + integer(second) + element(kSequence, list);
    return element(kSequence, integer(version) + element(kOctets, community) + element(pdu, body));
}

struct Reply {
    std::int64_t id = 0, status = 0;
    std::vector<std::pair<Oid, Element>> values;
};

Reply readReply(std::string_view bytes) {
    Reply reply;
    std::string_view message = *take(bytes, kSequence);
    EXPECT_EQ(readInteger(*take(message, kInteger)), 1);
    EXPECT_EQ(take(message, kOctets), "public");
    std::string_view pdu = *take(message, kResponse);
    reply.id = *readInteger(*take(pdu, kInteger));
    reply.status = *readInteger(*take(pdu, kInteger));
    take(pdu, kInteger);
    for (std::string_view list = *take(pdu, kSequence); !list.empty();) {
        std::string_view binding = *take(list, kSequence);
        const Oid name = *readOid(*take(binding, kOid));
        reply.values.emplace_back(name, *takeElement(binding));
    }
    return reply;
}

// The name of an object below the MIB's root.
Oid under(std::initializer_list<std::uint32_t> tail) {
    Oid name = kRoot;
    name.insert(name.end(), tail);
    return name;
}

// The objects of a gatherer that has taken 300 queries.
struct AgentFixture {
    AgentFixture() {
        for (int i = 0; i < 300; ++i) counters.add(Counter::queriesTaken);
    }
    Clock clock;
    Counters counters;
    const Objects objects = objectsOf(counters, "n0", clock);
    const Oid first = under({1, 1, 0}), taken = under({2, 1, 0}), last = under({2, kCounters, 0});
};

TEST(SnmpAgent, AnswersEachPduByTable) {
    const AgentFixture fixture;
    const Objects& objects = fixture.objects;
    const Oid &first = fixture.first, &taken = fixture.taken, &last = fixture.last;
    const struct {
        std::uint8_t pdu;
        std::vector<Oid> names;
        std::int64_t first, second;
        std::vector<std::pair<Oid, std::uint8_t>> expected;
    } cases[] = {
        {kGet, {first, taken}, 0, 0, {{first, kOctets}, {taken, kCounter64}}},
        {kGet, {under({2, 1, 7})}, 0, 0, {{under({2, 1, 7}), kNoSuchInstance}}},
        {kGet, {under({9})}, 0, 0, {{under({9}), kNoSuchObject}}},
        {kGetNext, {{1, 3}}, 0, 0, {{first, kOctets}}},
        {kGetNext, {under({1, 2, 0})}, 0, 0, {{taken, kCounter64}}},
        {kGetNext, {last}, 0, 0, {{last, kEndOfMibView}}},
        {kGetBulk,
         {{1, 3}, taken},
         1,
         2,
         {{first, kOctets}, {under({2, 2, 0}), kCounter64}, {under({2, 3, 0}), kCounter64}}},
        {kGetBulk, {last}, 0, 2, {{last, kEndOfMibView}, {last, kEndOfMibView}}},
        {kGetBulk, {first}, -1, -1, {}},
    };
    for (const auto& c : cases) {
        const auto bytes = answer(objects, "public", request(c.pdu, c.names, c.first, c.second));
        ASSERT_TRUE(bytes.has_value());
        const Reply reply = readReply(*bytes);
        EXPECT_EQ(reply.id, 77);
        EXPECT_EQ(reply.status, 0);
        ASSERT_EQ(reply.values.size(), c.expected.size());
        for (std::size_t i = 0; i < c.expected.size(); ++i) {
            EXPECT_EQ(reply.values[i].first, c.expected[i].first);
            EXPECT_EQ(reply.values[i].second.tag, c.expected[i].second);
        }
    }
}

TEST(SnmpAgent, AnswersValuesErrorsAndBoundedSizes) {
    const AgentFixture fixture;
    const Objects& objects = fixture.objects;
    const Oid& taken = fixture.taken;
    const auto value = answer(objects, "public", request(kGet, {taken}));
    EXPECT_EQ(readInteger(readReply(*value).values[0].second.content), 300);
    EXPECT_EQ(readReply(*answer(objects, "public", request(kSet, {taken}))).status, 17);
    EXPECT_LT(answer(objects, "public", request(kGetBulk, {{1, 3}}, 0, 1'000'000))->size(), 1500);
}

TEST(SnmpAgent, DropsRequestsThatAreForeignOrCorrupt) {
    const AgentFixture fixture;
    const Objects& objects = fixture.objects;
    const Oid& taken = fixture.taken;

    EXPECT_FALSE(answer(objects, "public", request(kGet, {taken}, 0, 0, 0)));             // version 1
    EXPECT_FALSE(answer(objects, "public", request(kGet, {taken}, 0, 0, 1, "private")));  // another community
    EXPECT_FALSE(answer(objects, "public", request(0xa7, {taken})));
    const std::string good = request(kGet, {taken});
    for (std::size_t n = 0; n < good.size(); ++n) EXPECT_FALSE(answer(objects, "public", good.substr(0, n)));
    for (std::size_t at = 0; at < good.size(); ++at)  // every byte wrong in some ways: an answer or none
        for (const int flip : {0x01, 0x80, 0xff}) {
            std::string bad = good;
            bad[at] = static_cast<char>(bad[at] ^ flip);
            (void)answer(objects, "public", bad);
        }
}

TEST(SnmpInteger, IsReadAsWritten) {
    for (const std::int64_t number : {0L, 1L, 127L, 128L, 255L, 256L, -1L, -128L, -129L, 2147483647L}) {
        const std::string bytes = integer(number);
        std::string_view rest = bytes;
        EXPECT_EQ(readInteger(*take(rest, kInteger)), number);
    }
}

TEST(SnmpAgent, ReturnsAllObjectsInOrderWhenWalkedOverUdp) {
    GathererFixture fixture({}, [](Config& c) { c.snmp.emplace(asio::ip::address_v4::loopback(), 0); });
    asio::ip::udp::socket socket(fixture.io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto send = [&](const std::string& bytes) {
        socket.send_to(asio::buffer(bytes), fixture.gatherer->snmpEndpoint());
    };
    send("\x30\x84nonsense");
    runUntil(fixture.io, [&] { return fixture.count(Counter::snmpDropped) == 1; });
    std::vector<Oid> names;
    for (Oid at = {1, 3};;) {
        send(request(kGetNext, {at}));
        std::string bytes(2000, '\0');
        std::size_t size = 0;
        socket.async_receive(asio::buffer(bytes), [&](asio::error_code, std::size_t n) { size = n; });
        runUntil(fixture.io, [&] { return size > 0; });
        const Reply reply = readReply({bytes.data(), size});
        if (reply.values[0].second.tag == kEndOfMibView) break;
        at = reply.values[0].first;
        ASSERT_TRUE(names.empty() || names.back() < at);
        names.push_back(at);
    }
    ASSERT_EQ(names.size(), kCounters + 2);
}

}  // namespace
