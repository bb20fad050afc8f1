// The simulator's wire: lines of tab-separated values. Only this folder knows its words.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/coordinator.hpp"

namespace beechpoint::coordinator::simulator_adapter {

// A line that does not follow the protocol. what() names the message, the field and what was expected.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One line, taken apart. Values are read in order; the last text value may hold tabs.
class Line {
public:
    explicit Line(std::string_view text);
    std::string_view word() const { return word_; }
    std::int64_t integer(const char* field, std::int64_t least, std::int64_t most);
    double number(const char* field);
    bool flag(const char* field);
    std::string text(const char* field);  // "-" reads as empty
    std::string required(const char* field);
    std::string rest(const char* field);  // all that is left of the line
    std::int64_t optionalInteger(const char* field, std::int64_t absent);
    std::vector<LoadValue> load(const char* field);
    void done();

private:
    std::string_view next(const char* field);
    [[noreturn]] void bad(const char* field, const char* expected) const;
    std::string_view word_;
    std::string_view left_;
    bool more_ = false;
};

ServerEntry readServer(Line& line);
ListKind readListKind(std::string_view word);
Outcome readOutcome(std::string_view word, std::string_view message);
void writeAction(const Action& action, std::string& out);

}  // namespace beechpoint::coordinator::simulator_adapter
