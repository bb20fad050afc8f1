// Lists of names kept as text files, one name a line: a change of any name seen from outside shows as a difference.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::golden {

using Lines = std::vector<std::string>;

// One line for each line that is missing, extra or out of place; empty where the lists are equal.
std::string difference(const Lines& expected, const Lines& actual);

// Compares `actual` with data/NAME.txt line by line. A file that is missing is a failure, and so is an empty list.
::testing::AssertionResult equalsFile(const std::string& name, const Lines& actual);

// The same; but with GOLDEN_WRITE=1 in the environment the file is written instead of compared.
::testing::AssertionResult matchesGolden(const std::string& name, const Lines& actual);

// Content of samples/NAME; throws where it can't be read.
std::string sample(const std::string& name);

// The text on one line: line ends and backslashes escaped.
std::string onOneLine(std::string_view text);

Lines splitLines(const std::string& text);

}  // namespace beechpoint::golden
