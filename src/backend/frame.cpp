#include "backend/frame.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace beechpoint::backend {

namespace {

// A score or a figure of a report: plain decimal, and finite.
std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

}  // namespace

FrameState readFrame(std::string_view bytes, Frame& frame) {
    if (bytes.size() < 4) return FrameState::more;
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i)
        length = length << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    // Judged by the length alone: a broken peer must not make this wait for, or hold, gigabytes.
    if (length < 1 || length > kMaxFrame) return FrameState::bad;
    // A letter that no track host sends tells early that the stream is out of step.
    if (bytes.size() > 4 && kLetters.find(bytes[4]) == std::string_view::npos) return FrameState::bad;
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
        const std::optional<double> value = number(pair.substr(equals + 1));
        if (!value) return std::nullopt;
        load.push_back({std::string(pair.substr(0, equals)), *value});
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
        if (words[i].empty() && i < 3) return std::nullopt;
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
    if (!number(r.score)) return std::nullopt;
    // The report is news beside the answer: where it can't be read, the answer is as good without.
    r.load = readReport(words[3]).value_or(Load{});
    r.value = rest.substr(feed + 1);
    return r;
}

std::optional<std::vector<PartCall>> readParts(std::string_view rest) {
    const auto whole = [](std::string_view text, auto& into) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
        return error == std::errc{} && end == text.data() + text.size();
    };
    std::vector<PartCall> parts;
    while (!rest.empty()) {
        const auto feed = rest.find('\n');
        if (feed == std::string_view::npos) return std::nullopt;
        std::string_view line = rest.substr(0, feed);
        rest.remove_prefix(feed + 1);
        std::string_view words[4];
        for (std::size_t i = 0; i < 4; ++i) {
            const auto blank = line.find(' ');
            if ((blank == std::string_view::npos) != (i == 3)) return std::nullopt;
            words[i] = line.substr(0, blank);
            line.remove_prefix(i == 3 ? line.size() : blank + 1);
        }
        PartCall part;
        part.id = words[0];
        std::size_t length = 0;
        int wait = 0;
        if (part.id.empty() || !whole(words[1], part.slice) || part.slice < 0 ||
            words[2].substr(0, 2) != "d=" || !whole(words[2].substr(2), wait) || wait < 0 ||
            !whole(words[3], length) || length > rest.size())
            return std::nullopt;
        part.wait = wait;
        part.text = rest.substr(0, length);
        rest.remove_prefix(length);
        parts.push_back(part);
    }
    return parts;
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

}  // namespace beechpoint::backend
