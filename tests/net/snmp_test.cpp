// The SNMP agent: PDUs by table, a walk over UDP, and the MIB against the code.
#include <fstream>
#include <regex>

#include "check.hpp"
#include "snmp/agent.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using namespace beechpoint::snmp;

namespace {

std::string request(std::uint8_t pdu, const std::vector<Oid>& names, std::int64_t a = 0, std::int64_t b = 0,
                    std::int64_t version = 1, const std::string& community = "public") {
    std::string list;
    for (const Oid& name : names) list += element(kSequence, oid(name) + element(kNull, {}));
    const std::string body = integer(77) + integer(a) + integer(b) + element(kSequence, list);
    return element(kSequence, integer(version) + element(kOctets, community) + element(pdu, body));
}

struct Reply {
    std::int64_t id = 0, status = 0;
    std::vector<std::pair<Oid, Element>> values;
};

Reply readReply(std::string_view bytes) {
    Reply r;
    std::string_view message = *take(bytes, kSequence);
    CHECK(readInteger(*take(message, kInteger)) == 1 && take(message, kOctets) == "public");
    std::string_view pdu = *take(message, kResponse);
    r.id = *readInteger(*take(pdu, kInteger));
    r.status = *readInteger(*take(pdu, kInteger));
    take(pdu, kInteger);
    for (std::string_view list = *take(pdu, kSequence); !list.empty();) {
        std::string_view binding = *take(list, kSequence);
        const Oid name = *readOid(*take(binding, kOid));
        r.values.emplace_back(name, *takeElement(binding));
    }
    return r;
}

Oid under(std::initializer_list<std::uint32_t> tail) {
    Oid name = kRoot;
    name.insert(name.end(), tail);
    return name;
}

void pdus() {
    Clock clock;
    Counters counters;
    for (int i = 0; i < 300; ++i) counters.add(Counter::queriesTaken);
    const Objects objects = objectsOf(counters, "n0", clock);
    const Oid first = under({1, 1, 0}), taken = under({2, 1, 0}), last = under({2, kCounters, 0});
    const struct {
        std::uint8_t pdu;
        std::vector<Oid> names;
        std::int64_t a, b;
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
        const auto bytes = answer(objects, "public", request(c.pdu, c.names, c.a, c.b));
        CHECK(bytes.has_value());
        const Reply reply = readReply(*bytes);
        CHECK(reply.id == 77 && reply.status == 0 && reply.values.size() == c.expected.size());
        for (std::size_t i = 0; i < c.expected.size(); ++i)
            CHECK(reply.values[i].first == c.expected[i].first &&
                  reply.values[i].second.tag == c.expected[i].second);
    }
    const auto value = answer(objects, "public", request(kGet, {taken}));
    CHECK(readInteger(readReply(*value).values[0].second.content) == 300);
    CHECK(readReply(*answer(objects, "public", request(kSet, {taken}))).status == 17);
    CHECK(answer(objects, "public", request(kGetBulk, {{1, 3}}, 0, 1'000'000))->size() < 1500);

    CHECK(!answer(objects, "public", request(kGet, {taken}, 0, 0, 0)));             // version 1
    CHECK(!answer(objects, "public", request(kGet, {taken}, 0, 0, 1, "private")));  // another community
    CHECK(!answer(objects, "public", request(0xa7, {taken})));
    const std::string good = request(kGet, {taken});
    for (std::size_t n = 0; n < good.size(); ++n) CHECK(!answer(objects, "public", good.substr(0, n)));
    for (std::size_t at = 0; at < good.size(); ++at)  // every byte wrong in some ways: an answer or none
        for (const int flip : {0x01, 0x80, 0xff}) {
            std::string bad = good;
            bad[at] = static_cast<char>(bad[at] ^ flip);
            (void)answer(objects, "public", bad);
        }
    for (const std::int64_t n : {0L, 1L, 127L, 128L, 255L, 256L, -1L, -128L, -129L, 2147483647L}) {
        const std::string bytes = integer(n);
        std::string_view rest = bytes;
        CHECK(readInteger(*take(rest, kInteger)) == n);
    }
}

void walk() {
    Rig rig({}, [](Config& c) { c.snmp.emplace(asio::ip::address_v4::loopback(), 0); });
    asio::ip::udp::socket socket(rig.io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto send = [&](const std::string& bytes) {
        socket.send_to(asio::buffer(bytes), rig.gatherer->snmpEndpoint());
    };
    send("\x30\x84nonsense");
    until(rig.io, [&] { return rig.count(Counter::snmpDropped) == 1; });
    std::vector<Oid> seen;
    for (Oid at = {1, 3};;) {
        send(request(kGetNext, {at}));
        std::string bytes(2000, '\0');
        std::size_t size = 0;
        socket.async_receive(asio::buffer(bytes), [&](asio::error_code, std::size_t n) { size = n; });
        until(rig.io, [&] { return size > 0; });
        const Reply reply = readReply({bytes.data(), size});
        if (reply.values[0].second.tag == kEndOfMibView) break;
        at = reply.values[0].first;
        CHECK(seen.empty() || seen.back() < at);
        seen.push_back(at);
    }
    CHECK(seen.size() == kCounters + 2);
}

// Each counter stands in the MIB under its name and number.
void mib() {
    std::ifstream file(BEECHPOINT_ROOT "/mibs/BEECHPOINT-MIB.txt");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::regex object(R"((bp\w+) OBJECT-TYPE[^=]*= \{ (\w+) (\d+) \})");
    std::map<std::string, std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), object), end; it != end; ++it)
        found[(*it)[2].str() + "." + (*it)[3].str()] = (*it)[1].str();
    CHECK(found.size() == kCounters + 2);
    CHECK(found["bpNode.1"] == "bpNodeName" && found["bpNode.2"] == "bpNodeUpTime");
    for (std::size_t i = 0; i < kCounters; ++i) {
        std::string name(kCounterNames[i]);
        name[0] = static_cast<char>(name[0] - 32);
        CHECK(found["bpCounters." + std::to_string(i + 1)] == "bp" + name);
    }
    CHECK(text.find("::= { experimental " + std::to_string(kRoot.back()) + " }") != std::string::npos);
}

}  // namespace

int main() {
    pdus();
    walk();
    mib();
}
