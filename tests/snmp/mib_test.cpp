// The MIB file against the code.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

#include "core/counters.hpp"
#include "snmp/agent.hpp"

using namespace beechpoint;
using namespace beechpoint::snmp;

namespace {

TEST(Mib, NamesEachCounterWithItsNumber) {
    std::ifstream file(BEECHPOINT_ROOT "/mibs/BEECHPOINT-MIB.txt");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::regex object(R"((bp\w+) OBJECT-TYPE[^=]*= \{ (\w+) (\d+) \})");
    std::map<std::string, std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), object), end; it != end; ++it)
        found[(*it)[2].str() + "." + (*it)[3].str()] = (*it)[1].str();
    ASSERT_EQ(found.size(), kCounters + 2);
    EXPECT_EQ(found["bpNode.1"], "bpNodeName");
    EXPECT_EQ(found["bpNode.2"], "bpNodeUpTime");
    for (std::size_t i = 0; i < kCounters; ++i) {
        std::string name(kCounterNames[i]);
        name[0] = static_cast<char>(name[0] - 32);
        EXPECT_EQ(found["bpCounters." + std::to_string(i + 1)], "bp" + name);
    }
    EXPECT_NE(text.find("::= { experimental " + std::to_string(kRoot.back()) + " }"), std::string::npos);
}

}  // namespace
