// What the tests measured. Each figure is a line on standard output and, where $BEECHPOINT_SYSTEM_REPORT names a file, in that file:
// kind, what was measured, value (ms where it is a time).
#pragma once

#include <string>

namespace beechpoint::system_test {

void report(const std::string& kind, const std::string& figure, double value);

// Whether the long forms were asked for, by $BEECHPOINT_SYSTEM_LONG.
bool longForm();
// One or the other by the form.
template <class Value>
Value byForm(Value shortForm, Value longForm_) {
    return longForm() ? longForm_ : shortForm;
}

}  // namespace beechpoint::system_test
