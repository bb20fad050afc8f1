#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return beechpoint::coordinator::simulator_adapter::Host().run(std::cin, std::cout, std::cerr);
}
