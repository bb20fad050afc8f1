#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return firkeel::wire::Host().run(std::cin, std::cout, std::cerr);
}
