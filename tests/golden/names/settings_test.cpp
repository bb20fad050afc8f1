// The settings of a process and the members of the configuration's items: name, type, unit, default and rules of each.
#include <fmt/format.h>

#include <type_traits>

#include "configuration/configuration_fields.hpp"
#include "dispatch/mechanisms.hpp"
#include "golden_list.hpp"
#include "settings/process_settings_fields.hpp"

namespace beechpoint::golden {
namespace {

using settings::FieldRule;

template <class T>
concept Described = boost::hana::Struct<T>::value;

template <class T>
inline constexpr bool kIsVector = false;
template <class T>
inline constexpr bool kIsVector<std::vector<T>> = true;
template <class T>
inline constexpr bool kIsOptional = false;
template <class T>
inline constexpr bool kIsOptional<std::optional<T>> = true;

template <class T>
std::string typeOf() {
    if constexpr (std::is_same_v<T, bool>) return "boolean";
    if constexpr (std::is_same_v<T, std::string>) return "text";
    if constexpr (std::is_enum_v<T>) return "word";
    if constexpr (std::is_integral_v<T>) return "whole number";
    if constexpr (std::is_floating_point_v<T>) return "number";
    if constexpr (Described<T>) return settings::kWrittenAsList<T> ? "list of fields" : "object";
    if constexpr (kIsVector<T>) return "list of " + typeOf<typename T::value_type>();
    if constexpr (kIsOptional<T>) return "optional " + typeOf<typename T::value_type>();
    return "object of texts";
}

template <class T>
std::string defaultOf(const T& value) {
    if constexpr (std::is_same_v<T, std::string>)
        return fmt::format("\"{}\"", value);
    else if constexpr (std::is_arithmetic_v<T>)
        return fmt::format("{}", value);
    else if constexpr (std::is_enum_v<T>)
        return fmt::format("word {}", static_cast<int>(value));
    else if constexpr (Described<T>)
        return "its fields'";
    else if constexpr (kIsOptional<T>)
        return value ? "present" : "absent";
    else
        return value.empty() ? "empty" : "filled";
}

std::string_view unitOf(std::string_view name) {
    for (const std::string_view unit : {"per_s", "mbps", "ms", "mb", "s", "bytes", "ratio", "tokens"})
        if (name.ends_with(fmt::format("_{}", unit))) return unit;
    return "none";
}

std::string rulesOf(const FieldRule& rule) {
    std::string text = rule.required ? " required" : "";
    if (rule.form != settings::Form::any)
        text += fmt::format(" form=[{}]", settings::describeForm(rule.form));
    if (rule.longest != static_cast<std::size_t>(-1)) text += fmt::format(" longest={}", rule.longest);
    if (std::isfinite(rule.least))
        text += fmt::format(" {}{}", rule.aboveLeast ? "above=" : "least=", rule.least);
    if (std::isfinite(rule.most)) text += fmt::format(" most={}", rule.most);
    return text + (rule.tolerant ? " tolerant" : "");
}

template <class Struct>
void describe(const std::string& place, const Struct& defaults, Lines& lines);

template <class T>
void describeInner(const std::string& place, const T& value, Lines& lines) {
    if constexpr (Described<T>)
        describe(place + ".", value, lines);
    else if constexpr (kIsVector<T> || kIsOptional<T>)
        describeInner(place + (kIsVector<T> ? "[]" : ""), typename T::value_type{}, lines);
}

template <class Struct>
void describe(const std::string& place, const Struct& defaults, Lines& lines) {
    boost::hana::for_each(boost::hana::accessors<Struct>(), [&](const auto& field) {
        using Key = std::decay_t<decltype(boost::hana::first(field))>;
        const auto& value = boost::hana::second(field)(defaults);
        using Value = std::decay_t<decltype(value)>;
        const auto& description = settings::describedField<Struct, Key>();
        lines.push_back(fmt::format("{}{} type=[{}] unit={} default={}{}", place, description.name,
                                    typeOf<Value>(), unitOf(description.name), defaultOf(value),
                                    rulesOf(description.rule)));
        describeInner(place + description.name, value, lines);
    });
}

template <class Struct>
Lines fieldsOf() {
    Lines lines;
    describe("", Struct{}, lines);
    return lines;
}

TEST(GoldenSettings, OfAProcess) {
    EXPECT_TRUE(matchesGolden("process_settings", fieldsOf<settings::ProcessSettings>()));
}

TEST(GoldenSettings, OfARoute) {
    EXPECT_TRUE(matchesGolden("configuration_route", fieldsOf<configuration::Route>()));
}

TEST(GoldenSettings, TypesOfRoutes) {
    Lines lines;
    for (const char* word : {"idempotent", "non_idempotent", "streaming", "unknown"}) {
        const auto route = configuration::parseRoute(fmt::format(
            R"({{"name":"r","hostname":"a","path_prefix":"/","type":"{}","backend":"s"}})", word));
        lines.push_back(fmt::format("{} {}", word, static_cast<int>(route.value().type)));
    }
    EXPECT_TRUE(matchesGolden("configuration_route_types", lines));
}

TEST(GoldenSettings, OfAService) {
    EXPECT_TRUE(matchesGolden("configuration_service", fieldsOf<configuration::Service>()));
}

TEST(GoldenSettings, OfTheLimits) {
    EXPECT_TRUE(matchesGolden("configuration_limits", fieldsOf<configuration::Limits>()));
}

TEST(GoldenSettings, WordsOfAProcess) {
    Lines lines{fmt::format("variable {}", settings::kNodeFileVariable),
                fmt::format("file {}", settings::kDefaultNodeFile),
                fmt::format("role {}", settings::kServesEdge),
                fmt::format("role {}", settings::kServesControlPlane),
                fmt::format("role {}", settings::kServesDirectory)};
    for (const auto& each : dispatch::kMechanismNames)
        lines.push_back(fmt::format("mechanism {}", each.name));
    EXPECT_TRUE(matchesGolden("process_words", lines));
}

}  // namespace
}  // namespace beechpoint::golden
