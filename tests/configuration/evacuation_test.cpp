#include <gtest/gtest.h>

#include "configuration/editing.hpp"
#include "examples.hpp"

namespace beechpoint::configuration {
namespace {

using examples::alreadyApplied;
using examples::take;

TEST(Evacuation, IsAStateOfTheTable) {
    Table table = examples::started();
    take(table, evacuate(table, "hub-hall", true));
    EXPECT_EQ(table.at("evacuated/hub-hall"), "1");
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", true)));
    take(table, evacuate(table, "hub-hall", false));
    EXPECT_FALSE(table.contains("evacuated/hub-hall"));
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", false)));
}

TEST(Evacuation, LeavesTheConfigurationAndSurvivesItsChange) {
    Table table = examples::started();
    take(table, evacuate(table, "hub-hall", true));
    EXPECT_EQ(renderConfiguration(table), examples::whole(7));
    take(table, putConfiguration(table, "7", examples::whole(9)));
    EXPECT_TRUE(table.contains("evacuated/hub-hall"));
}

TEST(Evacuation, WorksBeforeTheFirstConfiguration) {
    const Table table;
    EXPECT_TRUE(evacuate(table, "hub-hall", true));
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", false)));
}

TEST(Evacuation, BoundsNamesAndTheirNumber) {
    Table table;
    EXPECT_EQ(examples::refusal(evacuate(table, "", true)), ErrorKind::invalid);
    EXPECT_EQ(examples::refusal(evacuate(table, std::string(kMaxZoneNameBytes + 1, 'z'), true)),
              ErrorKind::invalid);
    for (std::size_t zone = 0; zone < kMaxEvacuatedZones; ++zone)
        take(table, evacuate(table, "zone-" + std::to_string(zone), true));
    EXPECT_EQ(examples::refusal(evacuate(table, "one-more", true)), ErrorKind::invalid);
    take(table, evacuate(table, "zone-0", false));
    EXPECT_TRUE(evacuate(table, "one-more", true));
}

}  // namespace
}  // namespace beechpoint::configuration
