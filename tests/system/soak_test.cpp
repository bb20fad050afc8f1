// Nothing is lost, doubled or given away while all processes of a system come and go (soak_fixture.hpp).
#include "soak_fixture.hpp"

namespace beechpoint::system_test {
namespace {

TEST_F(SoakTest, NothingIsLostDoubledOrGivenAwayWhileProcessesComeAndGo) {
    playSeeds("NothingIsLost*", [this](std::uint64_t seed) { soak(seed); });
}

TEST_F(SoakTest, SeriesOfEventsOverlapAndOneMemberIsLostForGood) {
    playSeeds("Series*", [this](std::uint64_t seed) { soakInSeries(seed); });
}

TEST_F(SoakTest, StreamsAndNumbersStayInOrderBesideSeriesOfEvents) {
    playSeeds("Streams*", [this](std::uint64_t seed) { soakStreams(seed); });
}

TEST_F(SoakTest, CrowdsThatDoNotBehaveBesideSeriesOfEvents) {
    playSeeds("Crowds*", [this](std::uint64_t seed) { soakBesideCrowds(seed); });
}

}  // namespace
}  // namespace beechpoint::system_test
