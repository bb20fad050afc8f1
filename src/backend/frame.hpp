// The frames that gatherer and track host speak: four bytes of length, a letter, the rest.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/exchange.hpp"

namespace beechpoint::backend {

inline constexpr std::size_t kMaxFrame = 128 * 1024;  // a value of 64 KiB and its line fit well

inline constexpr std::string_view kLetters = "SCHMRF";

struct Frame {
    char letter = 0;
    std::string_view rest;  // a slice of what was read
    std::size_t size = 0;   // with its length
};

enum class FrameState { more, complete, bad };

FrameState readFrame(std::string_view bytes, Frame& frame);

struct Result {
    std::string_view id;
    Outcome outcome = Outcome::error;
    std::string_view score;
    Load load;
    std::string_view value;
};

// Of an R frame. A report that can't be read counts as none.
std::optional<Result> readResult(std::string_view rest);
std::optional<Load> readReport(std::string_view text);  // name=value pairs set apart by commas, or "-"
std::string partId(const Request& request, int slice);
void writeFrame(std::string& out, char letter, std::string_view rest);
// What a track host reads: the parts of an S frame's rest. Nothing where it is malformed.
struct PartCall {
    std::string_view id;  // all are slices of `rest`
    int slice = 0;
    Millis wait = 0;
    std::string_view text;
};
std::optional<std::vector<PartCall>> readParts(std::string_view rest);
// One part's entry in an S frame.
void writePart(std::string& out, const std::string& id, int slice, Millis wait, std::string_view text);

}  // namespace beechpoint::backend
