#include "back/frame.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace beechpoint::back {

FrameState readFrame(std::string_view bytes, Frame& frame) {
    if (bytes.size() < 4) return FrameState::more;
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i)
        length = length << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    // Judged by the length alone: a broken peer must not make this wait for, or hold, gigabytes.
    if (length < 1 || length > kMaxFrame) return FrameState::bad;
    if (bytes.size() < 4 + length) return FrameState::more;
    frame = {bytes[4], bytes.substr(5, length - 1), 4 + length};
    return FrameState::complete;
}

std::optional<Load> readReport(std::string_view text) {
    Load load;
    if (text == "-" || text.empty()) return load;
    while (true) {
        const auto comma = text.find(',');
        const std::string_view pair = text.substr(0, comma);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) return std::nullopt;
        const std::string_view figure = pair.substr(equals + 1);
        double value = 0;
        const auto [end, error] = std::from_chars(figure.data(), figure.data() + figure.size(), value);
        if (error != std::errc{} || end != figure.data() + figure.size() || !std::isfinite(value))
            return std::nullopt;
        load.push_back({std::string(pair.substr(0, equals)), value});
        if (comma == std::string_view::npos) return load;
        text.remove_prefix(comma + 1);
    }
}

std::optional<Result> readResult(std::string_view rest) {
    const auto feed = rest.find('\n');
    if (feed == std::string_view::npos) return std::nullopt;
    std::string_view line = rest.substr(0, feed);
    std::string_view words[4];
    for (std::size_t i = 0; i < 4; ++i) {
        const auto blank = line.find(' ');
        if ((blank == std::string_view::npos) != (i == 3)) return std::nullopt;
        words[i] = line.substr(0, blank);
        if (words[i].empty()) return std::nullopt;
        line.remove_prefix(i == 3 ? line.size() : blank + 1);
    }
    Result r;
    r.id = words[0];
    if (words[1] == "done")
        r.outcome = Outcome::served;
    else if (words[1] == "failed")
        r.outcome = Outcome::error;
    else if (words[1] == "full")
        r.outcome = Outcome::turnedAway;
    else
        return std::nullopt;
    r.score = words[2];
    std::optional<Load> load = readReport(words[3]);
    if (!load) return std::nullopt;
    r.load = std::move(*load);
    r.value = rest.substr(feed + 1);
    return r;
}

std::string partId(const Request& request, int slice) { return fmt::format("{}.{}", request.id, slice); }

void writeFrame(std::string& out, char letter, std::string_view rest) {
    const std::size_t length = rest.size() + 1;
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(length >> shift & 0xff);
    out += letter;
    out += rest;
}

void writePart(std::string& out, const std::string& id, int slice, Millis wait, std::string_view text) {
    // Whole milliseconds; 0 would mean that it is already over.
    const auto d = static_cast<long long>(std::max(1.0, std::floor(wait)));
    fmt::format_to(std::back_inserter(out), "{} {} d={} {}\n{}", id, slice, d, text.size(), text);
}

}  // namespace beechpoint::back
