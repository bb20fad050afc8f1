// A founded system, an operator, and the checks that all tests share.
#pragma once

#include <gtest/gtest.h>

#include <optional>

#include "figures.hpp"
#include "operator.hpp"
#include "system.hpp"

namespace beechpoint::system_test {

class SystemTest : public ::testing::Test {
protected:
    void TearDown() override;

    // Founds it and has the first configuration taken and served.
    void begin(System::Shape shape = {});
    // The next configuration is offered to these members until it is taken; `kind` names the figure.
    void takeNext(const std::string& kind, const Members& members);
    // All gateways serve the last configuration that was taken; the figure is the time since then.
    void expectServed(const std::string& kind);
    // Each of these members, asked alone, leads to the last configuration that was taken.
    void expectReadBack(const Members& members);
    // The founders in the order of the chain; all must run.
    Members chain();
    Members without(const Members& members, std::size_t member) const;

    std::optional<System> system_;
    std::optional<Operator> operator_;
    std::uint64_t revision_ = 0;      // the last that was acknowledged
    std::size_t acknowledgedBy_ = 0;  // the member that did
    Millis acknowledgedAt_ = 0;
};

}  // namespace beechpoint::system_test
