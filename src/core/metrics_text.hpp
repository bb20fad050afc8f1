// Writes figures in Prometheus's text format, one family of one figure at a time.
#pragma once

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint {

inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

// A label's value, of letters, digits and underscores, and the figure that belongs to it.
struct LabelledFigure {
    std::string_view value;
    double figure = 0;
};

class MetricsText {
public:
    // `name` of letters, digits and underscores; `help` without line ends or backslashes. A gauge goes up and down.
    void gauge(std::string_view name, std::string_view help, double value) {
        add("gauge", name, help, value);
    }
    // Left out where the figure is not known.
    void gauge(std::string_view name, std::string_view help, std::optional<double> value) {
        if (value) add("gauge", name, help, *value);
    }
    // Only rises while the process runs; its name ends in _total.
    void counter(std::string_view name, std::string_view help, double value) {
        add("counter", name, help, value);
    }

    // One counter of a family for each value of a label, in the order given.
    void counters(std::string_view name, std::string_view help, std::string_view label,
                  const std::vector<LabelledFigure>& figures) {
        text_ += fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n", name, help);
        for (const LabelledFigure& figure : figures)
            text_ += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, figure.value, figure.figure);
    }

    const std::string& text() const { return text_; }

private:
    void add(std::string_view type, std::string_view name, std::string_view help, double value) {
        text_ += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n{0} {3}\n", name, help, type, value);
    }

    std::string text_;
};

}  // namespace beechpoint
