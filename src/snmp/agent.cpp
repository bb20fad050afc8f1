#include "snmp/agent.hpp"

#include <algorithm>

namespace beechpoint::snmp {

namespace {

constexpr std::int64_t kVersion2c = 1;
constexpr std::int64_t kNotWritable = 17;
constexpr std::size_t kMostAnswer = 1400;  // a bulk answer fits one packet
constexpr std::int64_t kMostRepetitions = 100;

struct Binding {
    Oid name;
    std::string value;
};

std::string bindings(const std::vector<Binding>& list) {
    std::string all;
    for (const Binding& b : list) all += element(kSequence, oid(b.name) + b.value);
    return element(kSequence, all);
}

Binding get(const Objects& objects, const Oid& name) {
    if (const auto found = objects.find(name); found != objects.end()) return {name, found->second()};
    // A known object with another instance, or none at all (RFC 3416, 4.2.1).
    Oid scalar = name;
    if (!scalar.empty()) scalar.back() = 0;
    const bool known = objects.contains(scalar);
    return {name, element(known ? kNoSuchInstance : kNoSuchObject, {})};
}

Binding next(const Objects& objects, const Oid& name) {
    const auto found = objects.upper_bound(name);
    if (found == objects.end()) return {name, element(kEndOfMibView, {})};
    return {found->first, found->second()};
}

std::vector<Binding> bulk(const Objects& objects, const std::vector<Oid>& names, std::int64_t nonRepeaters,
                          std::int64_t repetitions) {
    std::vector<Binding> out;
    const auto once = static_cast<std::size_t>(
        std::clamp<std::int64_t>(nonRepeaters, 0, static_cast<std::int64_t>(names.size())));
    for (std::size_t i = 0; i < once; ++i) out.push_back(next(objects, names[i]));
    std::vector<Oid> row(names.begin() + static_cast<std::ptrdiff_t>(once), names.end());
    std::size_t size = 0;
    for (std::int64_t r = std::min(repetitions, kMostRepetitions); r > 0 && !row.empty(); --r)
        for (Oid& name : row) {
            Binding b = next(objects, name);
            size += oid(b.name).size() + b.value.size() + 4;
            if (size > kMostAnswer) return out;  // as much as fits
            name = b.name;
            out.push_back(std::move(b));
        }
    return out;
}

}  // namespace

Objects objectsOf(const Counters& counters, const std::string& name, const Clock& clock) {
    Objects objects;
    const auto at = [](std::initializer_list<std::uint32_t> tail) {
        Oid oid = kRoot;
        oid.insert(oid.end(), tail);
        return oid;
    };
    objects[at({1, 1, 0})] = [name] { return element(kOctets, name); };
    objects[at({1, 2, 0})] = [&clock] {
        const auto ticks = static_cast<std::uint64_t>((clock.now() - Clock::kOrigin) / 10);
        return unsignedValue(kTimeTicks, ticks & 0xffffffffu);
    };
    for (std::size_t i = 0; i < kCounters; ++i)
        objects[at({2, static_cast<std::uint32_t>(i + 1), 0})] = [&counters, i] {
            return unsignedValue(kCounter64, counters.at(i));
        };
    return objects;
}

std::optional<std::string> answer(const Objects& objects, std::string_view community,
                                  std::string_view datagram) {
    auto message = take(datagram, kSequence);
    if (!message || !datagram.empty()) return std::nullopt;
    const auto version = take(*message, kInteger);
    const auto given = take(*message, kOctets);
    auto pdu = takeElement(*message);
    if (!version || readInteger(*version) != kVersion2c || !given || *given != community || !pdu ||
        !message->empty())
        return std::nullopt;
    std::int64_t figures[3];  // request id; error status and index, or the two of a bulk
    for (std::int64_t& figure : figures) {
        const auto content = take(pdu->content, kInteger);
        const auto value = content ? readInteger(*content) : std::nullopt;
        if (!value || *value > INT32_MAX || *value < INT32_MIN) return std::nullopt;
        figure = *value;
    }
    auto list = take(pdu->content, kSequence);
    if (!list || !pdu->content.empty()) return std::nullopt;
    const std::string_view asked = *list;
    std::vector<Oid> names;
    while (!list->empty()) {
        auto binding = take(*list, kSequence);
        const auto content = binding ? take(*binding, kOid) : std::nullopt;
        const auto name = content ? readOid(*content) : std::nullopt;
        if (!name || !takeElement(*binding) || !binding->empty()) return std::nullopt;
        names.push_back(*name);
    }
    std::vector<Binding> out;
    std::int64_t status = 0, index = 0;
    std::string body;
    switch (pdu->tag) {
        case kGet:
            for (const Oid& name : names) out.push_back(get(objects, name));
            break;
        case kGetNext:
            for (const Oid& name : names) out.push_back(next(objects, name));
            break;
        case kGetBulk:
            out = bulk(objects, names, figures[1], figures[2]);
            break;
        case kSet:  // nothing here can be written
            status = kNotWritable;
            index = names.empty() ? 0 : 1;
            body = element(kSequence, asked);
            break;
        default:
            return std::nullopt;
    }
    if (body.empty()) body = bindings(out);
    const std::string reply = integer(figures[0]) + integer(status) + integer(index) + body;
    return element(kSequence, integer(kVersion2c) + element(kOctets, community) + element(kResponse, reply));
}

Agent::Agent(asio::io_context& io, Counters& counters, Objects objects, std::string community)
    : counters_(counters), objects_(std::move(objects)), community_(std::move(community)), socket_(io) {}

void Agent::listen(const asio::ip::udp::endpoint& at) {
    socket_.open(at.protocol());
    socket_.bind(at);
    socket_.non_blocking(true);
    receive();
}

void Agent::close() {
    asio::error_code ignored;
    socket_.close(ignored);
}

void Agent::receive() {
    socket_.async_receive_from(
        asio::buffer(datagram_), from_, [this](asio::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted) return;
            if (!error) {
                counters_.add(Counter::snmpRequests);
                const auto reply = answer(objects_, community_, {datagram_.data(), size});
                asio::error_code ignored;  // a reply that can't go out is asked for again
                if (reply)
                    socket_.send_to(asio::buffer(*reply), from_, 0, ignored);
                else
                    counters_.add(Counter::snmpDropped);
            }
            receive();
        });
}

}  // namespace beechpoint::snmp
