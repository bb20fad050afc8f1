#include "duties/intent.hpp"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace beechpoint::duties {
namespace {

std::optional<IntentState> stateNamed(std::string_view name) {
    for (const IntentState state : {IntentState::open, IntentState::done, IntentState::refused})
        if (name == nameOf(state)) return state;
    return std::nullopt;
}

}  // namespace

std::string_view nameOf(IntentState state) {
    switch (state) {
        case IntentState::open:
            return "open";
        case IntentState::done:
            return "done";
        case IntentState::refused:
            return "refused";
    }
    return "";
}

std::string intentPrefix(const Subject& subject) { return fmt::format("{}{}/", kDutyPrefix, keyOf(subject)); }

std::string intentKey(const Subject& subject, std::uint64_t number) {
    return fmt::format("{}{:0{}}", intentPrefix(subject), number, kNumberDigits);
}

std::string formatIntent(const Intent& intent) {
    nlohmann::ordered_json json;
    json["state"] = nameOf(intent.state);
    json["token"] = intent.token;
    json["holder"] = intent.holder;
    if (!intent.body.empty()) json["body"] = intent.body;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Intent> parseIntent(std::string_view number, std::string_view value) {
    Intent intent;
    const char* const end = number.data() + number.size();
    const auto [stop, error] = std::from_chars(number.data(), end, intent.number);
    if (error != std::errc{} || stop != end) return std::nullopt;
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) return std::nullopt;
    const auto text = [&json](const char* name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    const auto state = stateNamed(text("state"));
    const auto token = json.find("token");
    if (!state || token == json.end() || !token->is_number_unsigned()) return std::nullopt;
    intent.state = *state;
    intent.token = token->get<std::uint64_t>();
    intent.holder = text("holder");
    intent.body = text("body");
    return intent;
}

}  // namespace beechpoint::duties
