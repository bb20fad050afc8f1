#include <gtest/gtest.h>
#include "emulator/linear.hpp"
TEST(Linear, X) { EXPECT_TRUE(beechpoint::emulator::linearizable({})); }
