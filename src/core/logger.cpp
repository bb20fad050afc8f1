#include "core/logger.hpp"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <nlohmann/json.hpp>

namespace beechpoint {

namespace {

constexpr Millis kEvery = 1000;
constexpr std::size_t kMostKinds = 64;  // more only within one second
// A pipe that is ready takes so much at once (PIPE_BUF), so a line of this size never blocks its writer.
constexpr std::size_t kLongestLine = 4096;
constexpr std::size_t kLongestText =
    400;  // in JSON, where a line that is cut is none; each byte may take six
constexpr std::size_t kLongestField = 60;

// Writes whole lines, or leaves them out where the reader does not keep up: the loop must not wait for
// whoever reads the log.
class ReadyDescriptor final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit ReadyDescriptor(int descriptor) : descriptor_(descriptor) {}
    std::uint64_t lost() const { return lost_; }
    std::uint64_t untold() const { return untold_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        std::string line(message.payload.data(), message.payload.size());
        if (line.size() >= kLongestLine) line.resize(kLongestLine - 1);
        line += '\n';
        pollfd ready{descriptor_, POLLOUT, 0};
        ssize_t written = -1;
        if (::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT)) do
                written = ::write(descriptor_, line.data(), line.size());
            while (written < 0 && errno == EINTR);
        if (written < 0) {
            ++lost_;
            ++untold_;
        } else {
            untold_ = 0;
        }
    }
    void flush_() override {}

private:
    int descriptor_;
    std::uint64_t lost_ = 0, untold_ = 0;
};

// What a peer sent must not forge a second line.
void plain(std::string& line) {
    for (char& c : line)
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = ' ';
}

// The form's words, joined: "host {} sent a bad frame: closed" is host-sent-a-bad-frame-closed.
std::string kindOf(std::string_view form) {
    std::string kind;
    bool inside = false, gap = false;
    for (const char c : form) {
        if (c == '{') inside = true;
        const bool letter =
            !inside && ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'));
        if (letter) {
            if (gap && !kind.empty()) kind += '-';
            kind += static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
        }
        if (c != '\'') gap = !letter;  // "can't" is one word
        if (c == '}') inside = false;
    }
    return kind.empty() ? "decision" : kind;  // a line of the decision module's own has no words here
}

}  // namespace

struct Logger::Sink {
    explicit Sink(int descriptor)
        : lines(std::make_shared<ReadyDescriptor>(descriptor)), logger("beechpoint", lines) {}
    std::shared_ptr<ReadyDescriptor> lines;
    spdlog::logger logger;
};

Logger::Logger(const Clock& clock, logging::Format format, int descriptor)
    : clock_(clock),
      json_(format == logging::Format::json),
      sink_(descriptor < 0 ? nullptr : std::make_unique<Sink>(descriptor)) {}

Logger::~Logger() = default;

std::uint64_t Logger::lost() const { return sink_ ? sink_->lines->lost() : 0; }

bool Logger::due(std::string_view kind, unsigned& skipped) {
    if (kinds_.size() >= kMostKinds)  // kinds may name a host: those of the past are not kept for good
        std::erase_if(kinds_, [now = clock_.now()](const auto& k) { return k.second.last + kEvery <= now; });
    Kind& k = kinds_[std::string(kind)];
    if (k.written && clock_.now() < k.last + kEvery) {
        ++k.skipped;
        return false;
    }
    skipped = k.skipped;
    k = {true, clock_.now(), 0};
    return true;
}

void Logger::put(logging::Level level, std::string_view form, const std::string& text, unsigned skipped,
                 const logging::Fields& fields) {
    const double seconds = (clock_.now() - Clock::kOrigin) / 1000;
    const bool warning = level == logging::Level::warn;
    const std::uint64_t untold = sink_->lines->untold();
    std::string line;
    if (json_) {
        nlohmann::ordered_json object = {{"time", std::round(seconds * 1000) / 1000},
                                         {"level", warning ? "warn" : "info"},
                                         {"kind", kindOf(form)},
                                         {"text", text.substr(0, kLongestText)}};
        if (skipped > 0) object["left_out"] = skipped;
        if (untold > 0) object["lost"] = untold;
        object["fields"] = nlohmann::ordered_json::object();
        for (const auto& [name, value] : fields) object["fields"][name] = value.substr(0, kLongestField);
        // What a peer sent need not be UTF-8; a line must be JSON all the same.
        line = object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    } else {
        line = fmt::format("{:.3f} {} {}", seconds, warning ? "warn" : "info", text);
        if (skipped > 0) line += fmt::format(" ({} more like this left out)", skipped);
        if (untold > 0) line += fmt::format(" ({} lines before this were lost: nobody read them)", untold);
        plain(line);
    }
    sink_->logger.log(warning ? spdlog::level::warn : spdlog::level::info, line);
}

}  // namespace beechpoint
