#include "figures.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace beechpoint::system_test {

void report(const std::string& kind, const std::string& figure, double value) {
    const std::string line = fmt::format("{},{},{:.0f}\n", kind, figure, value);
    std::cout << "figure " << line << std::flush;
    if (const char* path = std::getenv("BEECHPOINT_SYSTEM_REPORT"))
        std::ofstream(path, std::ios::app) << line;
}

bool longForm() { return std::getenv("BEECHPOINT_SYSTEM_LONG") != nullptr; }

}  // namespace beechpoint::system_test
