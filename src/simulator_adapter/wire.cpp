#include "wire.hpp"

#include <charconv>
#include <cmath>

namespace beechpoint::coordinator::simulator_adapter {

namespace {

template <class... F>
struct Overloaded : F... {
    using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

std::string oneLine(std::string text) {
    for (char& c : text)
        if (c == '\n' || c == '\r') c = ' ';
    return text;
}

}  // namespace

Line::Line(std::string_view text) {
    const auto tab = text.find('\t');
    word_ = text.substr(0, tab);
    more_ = tab != std::string_view::npos;
    if (more_) left_ = text.substr(tab + 1);
}

void Line::bad(const char* field, const char* expected) const {
    throw Malformed("message " + std::string(word_) + ", field " + field + ": expected " + expected);
}

std::string_view Line::next(const char* field) {
    if (!more_) bad(field, "a value, but the line ends before it");
    const auto tab = left_.find('\t');
    const std::string_view value = left_.substr(0, tab);
    more_ = tab != std::string_view::npos;
    left_ = more_ ? left_.substr(tab + 1) : std::string_view{};
    return value;
}

std::int64_t Line::integer(const char* field, std::int64_t least, std::int64_t most) {
    const std::string_view value = next(field);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || number < least || number > most)
        bad(field, ("a whole number from " + std::to_string(least) + " to " + std::to_string(most)).c_str());
    return number;
}

std::int64_t Line::optionalInteger(const char* field, std::int64_t absent) {
    if (more_ && left_.substr(0, left_.find('\t')) == "-") {
        next(field);
        return absent;
    }
    return integer(field, INT64_MIN, INT64_MAX);
}

double Line::number(const char* field) {
    const std::string_view value = next(field);
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(number))
        bad(field, "a number");
    return number;
}

bool Line::flag(const char* field) { return integer(field, 0, 1) == 1; }

std::string Line::text(const char* field) {
    const std::string_view value = next(field);
    return value == "-" ? std::string() : std::string(value);
}

std::string Line::required(const char* field) {
    std::string value = text(field);
    if (value.empty()) bad(field, "a name");
    return value;
}

std::string Line::rest(const char* field) {
    if (!more_) bad(field, "text, but the line ends before it");
    more_ = false;
    return std::string(left_);
}

std::vector<LoadValue> Line::load(const char* field) {
    std::vector<LoadValue> values;
    std::string_view all = next(field);
    if (all == "-" || all.empty()) return values;
    while (true) {
        const auto comma = all.find(',');
        const std::string_view pair = all.substr(0, comma);
        const auto colon = pair.find(':');
        double number = 0;
        if (colon == std::string_view::npos || colon == 0) bad(field, "name:value pairs set apart by commas");
        const std::string_view figure = pair.substr(colon + 1);
        const auto [end, error] = std::from_chars(figure.data(), figure.data() + figure.size(), number);
        if (error != std::errc{} || end != figure.data() + figure.size()) bad(field, "a number in each pair");
        values.push_back({std::string(pair.substr(0, colon)), number});
        if (comma == std::string_view::npos) return values;
        all.remove_prefix(comma + 1);
    }
}

void Line::done() {
    if (more_)
        throw Malformed("message " + std::string(word_) + ": expected the line to end, found more values");
}

ServerEntry readServer(Line& line) {
    ServerEntry entry;
    entry.startedAt = line.optionalInteger("readyAt", 0);
    entry.zone = line.text("campus");
    entry.rating = line.number("rating");
    const std::string state = line.required("condition");
    if (state == "up")
        entry.state = ServerState::up;
    else if (state == "draining")
        entry.state = ServerState::draining;
    else if (state == "removed")
        entry.state = ServerState::removed;
    else
        throw Malformed("message ITEM, field condition: expected up, draining or removed, found " + state);
    entry.id = line.required("server");
    entry.cell = static_cast<int>(line.optionalInteger("cell", 0));
    entry.kind = line.text("generationHw");
    line.done();
    return entry;
}

ListKind readListKind(std::string_view word) {
    if (word == "Partial") return ListKind::changes;
    if (word == "Complete") return ListKind::complete;
    if (word == "Persisted") return ListKind::remembered;
    if (word == "Error") return ListKind::failed;
    throw Malformed("message MEMBERS, field how: expected Partial, Complete, Persisted or Error, found " +
                    std::string(word));
}

Outcome readOutcome(std::string_view word, std::string_view message) {
    if (word == "served") return Outcome::served;
    if (word == "server_error") return Outcome::error;
    if (word == "turned_away") return Outcome::turnedAway;
    if (word == "no_answer") return Outcome::timedOut;
    if (word == "no_connection") return Outcome::noConnection;
    if (word == "connection_lost") return Outcome::connectionLost;
    if (word == "called_off") return Outcome::cancelled;
    if (word == "not_sent") return Outcome::notSent;
    throw Malformed("message " + std::string(message) + ", field code: expected an outcome, found " +
                    std::string(word));
}

void writeAction(const Action& action, std::string& out) {
    const auto line = [&out](const char* word, auto... values) {
        out += word;
        const auto add = [&out](const auto& value) {
            out += '\t';
            if constexpr (std::is_arithmetic_v<std::decay_t<decltype(value)>>)
                out += std::to_string(value);
            else
                out += value;
        };
        (add(values), ...);
        out += '\n';
    };
    std::visit(Overloaded{
                   [&](const Send& a) { line("SEND", a.id, a.server, a.within); },
                   [&](const Cancel& a) { line("DROP_ATTEMPT", a.id, a.attempt); },
                   [&](const Answer& a) { line("GATHER_UP", a.id, a.whole ? 1 : 0); },
                   [&](const Refuse& a) { line("DENY", a.id, a.retryAfter); },
                   [&](const Fail& a) { line("LOSE", a.id); },
                   [&](const SetTimer& a) { line("TIMER", a.mark, a.at); },
                   [&](const Probe& a) { line("TEST", a.server); },
                   [&](const Subscribe&) { line("KEEP_INFORMED", 1); },
                   [&](const Log& a) { line("EMIT", oneLine(a.text)); },
               },
               action);
}

}  // namespace beechpoint::coordinator::simulator_adapter
