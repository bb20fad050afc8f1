// The SNMP agent's objects as a walk finds them, each with its name and syntax in the MIB.
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

#include "golden_list.hpp"
#include "snmp/agent.hpp"

namespace beechpoint::golden {
namespace {

using namespace snmp;

std::string getNext(const Oid& name) {
    const std::string list = element(kSequence, element(kSequence, oid(name) + element(kNull, {})));
    const std::string pdu = element(kGetNext, integer(1) + integer(0) + integer(0) + list);
    return element(kSequence, integer(1) + element(kOctets, "public") + pdu);
}

struct Binding {
    Oid name;
    std::uint8_t tag = 0;
};

Binding bindingIn(std::string_view bytes) {
    std::string_view message = take(bytes, kSequence).value();
    take(message, kInteger);
    take(message, kOctets);
    std::string_view pdu = take(message, kResponse).value();
    for (int figure = 0; figure < 3; ++figure) take(pdu, kInteger);
    std::string_view list = take(pdu, kSequence).value();
    std::string_view binding = take(list, kSequence).value();
    const Oid name = readOid(take(binding, kOid).value()).value();
    return {name, takeElement(binding).value().tag};
}

std::vector<Binding> walk(const Objects& objects) {
    std::vector<Binding> found;
    for (Oid at = {1, 3};; at = found.back().name) {
        const Binding next = bindingIn(answer(objects, "public", getNext(at)).value());
        if (next.tag == kEndOfMibView) return found;
        found.push_back(next);
    }
}

std::string mib() {
    std::ifstream file(BEECHPOINT_SOURCE_DIR "/mibs/BEECHPOINT-MIB.txt");
    return {std::istreambuf_iterator<char>(file), {}};
}

// "NAME SYNTAX" by the number of the object under the root: "2.1".
std::map<std::string, std::string> describedObjects(const std::string& text) {
    const std::regex form(R"((\w+)\s+OBJECT-TYPE\s+SYNTAX\s+(\w+)[^:]*::= \{ (bpNode|bpCounters) (\d+) \})");
    std::map<std::string, std::string> objects;
    for (std::sregex_iterator next(text.begin(), text.end(), form), end; next != end; ++next) {
        const std::smatch& found = *next;
        const std::string arc = found[3] == "bpNode" ? "1" : "2";
        objects[arc + "." + found[4].str()] = found[1].str() + " " + found[2].str();
    }
    return objects;
}

std::string dotted(const Oid& name) { return fmt::format("{}", fmt::join(name, ".")); }

std::string_view typeOf(std::uint8_t tag) {
    if (tag == kOctets) return "octets";
    if (tag == kTimeTicks) return "time ticks";
    return tag == kCounter64 ? "counter64" : "other";
}

TEST(GoldenSnmp, ObjectsOfTheAgentAndTheMib) {
    const Clock clock;
    const Counters counters;
    auto described = describedObjects(mib());
    Lines lines;
    for (const Binding& binding : walk(objectsOf(counters, "n0", clock))) {
        const std::string name = dotted(binding.name), root = dotted(kRoot) + ".";
        ASSERT_TRUE(name.starts_with(root) && name.ends_with(".0")) << name;
        const auto object = described.extract(name.substr(root.size(), name.size() - root.size() - 2));
        lines.push_back(fmt::format("{} {} {}", name, typeOf(binding.tag),
                                    object.empty() ? "not in the MIB" : object.mapped()));
    }
    for (const auto& [number, object] : described) lines.push_back(fmt::format("not served {}", object));
    EXPECT_TRUE(matchesGolden("snmp_objects", lines));
}

TEST(GoldenSnmp, IdentifiersOfTheMib) {
    const std::regex form(R"((\w+)\s+(OBJECT IDENTIFIER|MODULE-IDENTITY|OBJECT-GROUP|MODULE-COMPLIANCE)\s)");
    const std::string text = mib();
    Lines lines;
    for (std::sregex_iterator next(text.begin(), text.end(), form), end; next != end; ++next)
        lines.push_back((*next)[1].str() + " " + (*next)[2].str());
    EXPECT_TRUE(matchesGolden("snmp_identifiers", lines));
}

}  // namespace
}  // namespace beechpoint::golden
