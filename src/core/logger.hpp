// A small logger: one line an event, to standard error, each kind at most so often that a broken peer cannot
// flood it.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace beechpoint {

class Logger {
public:
    explicit Logger(const Clock& clock, std::FILE* out = stderr) : clock_(clock), out_(out) {}

    template <class... A>
    void info(fmt::format_string<A...> form, A&&... values) {
        write("info", fmt::format(form, std::forward<A>(values)...));
    }
    template <class... A>
    void warn(fmt::format_string<A...> form, A&&... values) {
        write("warn", fmt::format(form, std::forward<A>(values)...));
    }
    // At most one line a second of each kind; the next one tells how many were left out.
    template <class... A>
    void seldom(std::string_view kind, fmt::format_string<A...> form, A&&... values) {
        if (kinds_.size() >= kMostKinds)  // kinds may name a host: those of the past are not kept for good
            std::erase_if(kinds_,
                          [now = clock_.now()](const auto& k) { return k.second.last + kEvery <= now; });
        Kind& k = kinds_[std::string(kind)];
        if (k.written && clock_.now() < k.last + kEvery) {
            ++k.skipped;
            return;
        }
        std::string text = fmt::format(form, std::forward<A>(values)...);
        if (k.skipped > 0) text += fmt::format(" ({} more like this left out)", k.skipped);
        k = {true, clock_.now(), 0};
        write("warn", text);
    }

    std::size_t kinds() const { return kinds_.size(); }

private:
    struct Kind {
        bool written = false;
        Millis last = 0;
        unsigned skipped = 0;
    };
    static constexpr Millis kEvery = 1000;
    static constexpr std::size_t kMostKinds = 64;  // more only within one second

    void write(std::string_view level, std::string_view text) {
        std::string line = fmt::format("{:.3f} {} {}", (clock_.now() - Clock::kOrigin) / 1000, level, text);
        for (char& c : line)  // what a peer sent must not forge a second line
            if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = ' ';
        line += '\n';
        std::fwrite(line.data(), 1, line.size(), out_);
        std::fflush(out_);
    }
    const Clock& clock_;
    std::FILE* out_;
    std::map<std::string, Kind> kinds_;
};

}  // namespace beechpoint
