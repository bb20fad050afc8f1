#include <gtest/gtest.h>

#include "configuration/editing.hpp"
#include "examples.hpp"

namespace beechpoint::configuration {
namespace {

using examples::alreadyApplied;
using examples::applyAccepted;

TEST(Evacuation, SetsAndClearsKeyOfZone) {
    Table table = examples::tableWithExample();
    applyAccepted(table, evacuate(table, "hub-hall", true));
    EXPECT_EQ(table.at("evacuated/hub-hall"), "1");
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", true)));
    applyAccepted(table, evacuate(table, "hub-hall", false));
    EXPECT_FALSE(table.contains("evacuated/hub-hall"));
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", false)));
}

TEST(Evacuation, LeavesConfigurationAndSurvivesItsReplacement) {
    Table table = examples::tableWithExample();
    applyAccepted(table, evacuate(table, "hub-hall", true));
    EXPECT_EQ(renderConfiguration(table), examples::completeConfiguration(7));
    applyAccepted(table, putConfiguration(table, "7", examples::completeConfiguration(9)));
    EXPECT_TRUE(table.contains("evacuated/hub-hall"));
}

TEST(Evacuation, IsAcceptedBeforeFirstConfiguration) {
    const Table table;
    EXPECT_TRUE(evacuate(table, "hub-hall", true));
    EXPECT_TRUE(alreadyApplied(evacuate(table, "hub-hall", false)));
}

TEST(Evacuation, RejectsLongNamesAndTooManyZones) {
    Table table;
    EXPECT_EQ(examples::errorKind(evacuate(table, "", true)), ErrorKind::invalid);
    EXPECT_EQ(examples::errorKind(evacuate(table, std::string(kMaxZoneNameBytes + 1, 'z'), true)),
              ErrorKind::invalid);
    for (std::size_t zone = 0; zone < kMaxEvacuatedZones; ++zone)
        applyAccepted(table, evacuate(table, "zone-" + std::to_string(zone), true));
    EXPECT_EQ(examples::errorKind(evacuate(table, "one-more", true)), ErrorKind::invalid);
    applyAccepted(table, evacuate(table, "zone-0", false));
    EXPECT_TRUE(evacuate(table, "one-more", true));
}

}  // namespace
}  // namespace beechpoint::configuration
