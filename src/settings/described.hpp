// Reading of structs that are described to Boost.Hana (BOOST_HANA_ADAPT_STRUCT). The description is the only list
// of fields: names on the wire follow from the members' names (timeoutMs is timeout_ms), and rules beyond the type
// stand in kFieldRules of the struct. One walk reads and checks; a fault does not end it, so all are found.
//
// A source is a value of the format read, as a small copyable handle:
//   static constexpr char kSeparator             between the names of a place
//   static constexpr std::string_view kRoot      begins each place
//   bool null() const                            to be taken as missing
//   std::optional<Source> member(name) const     of an object; nothing when there is none
//   bool isObject() const, isList() const
//   std::optional<double> number() const; std::optional<bool> boolean() const
//   std::optional<std::string_view> text() const
//   void eachElement(f) const                    f(Source) over a list
//   void eachMember(f) const                     f(std::string_view name, Source) over an object
#pragma once

#include <fmt/format.h>

#include <array>
#include <boost/hana.hpp>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "core/result.hpp"

namespace beechpoint::settings {

// What a text must look like.
enum class Form { any, notEmpty, ipv4Address, ipv4Endpoint, slashed };

// Whether the text has the form; what it should be, for the remedy.
bool hasForm(std::string_view text, Form form);
std::string_view describeForm(Form form);

// A rule on one field beyond its type.
struct FieldRule {
    std::string_view field;  // its name on the wire
    bool required = false;
    Form form = Form::any;     // of a text, or of each text in a list
    std::size_t longest = -1;  // bytes of a text
    double least = -std::numeric_limits<double>::infinity();
    bool aboveLeast = false;  // the least value itself is not allowed
    double most = std::numeric_limits<double>::infinity();
    bool tolerant = false;  // another type is not a fault: the default stays
};

// Specialised for structs with rules.
template <class Struct>
inline constexpr std::array<FieldRule, 0> kFieldRules{};

// Specialised to true for structs that are written as a list of their fields' values.
template <class Struct>
inline constexpr bool kWrittenAsList = false;

inline constexpr FieldRule kNoRule{};

// "timeoutMs" -> "timeout_ms".
std::string wireName(std::string_view memberName);

// Where a value stands; the text is built when there is a fault.
struct FieldPath {
    const FieldPath* parent = nullptr;
    std::string_view name;
    std::optional<std::size_t> index;

    template <class Source>
    std::string text() const {
        const std::string before = parent ? parent->text<Source>() : std::string{Source::kRoot};
        const std::string own = index ? std::to_string(*index) : std::string{name};
        if (before.empty() || before.back() == Source::kSeparator || own.empty()) return before + own;
        return before + Source::kSeparator + own;
    }
};

struct FieldDescription {
    std::string name;
    FieldRule rule;
};

template <class Struct, class Key>
const FieldDescription& describedField() {
    static const FieldDescription description = [] {
        FieldDescription made{wireName(boost::hana::to<const char*>(Key{})), kNoRule};
        for (const FieldRule& rule : kFieldRules<Struct>)
            if (rule.field == made.name) made.rule = rule;
        return made;
    }();
    return description;
}

// The names on the wire of all fields of a struct, in order.
template <class Struct>
std::vector<std::string> fieldNames() {
    std::vector<std::string> names;
    boost::hana::for_each(boost::hana::accessors<Struct>(), [&names](const auto& field) {
        names.push_back(wireName(boost::hana::to<const char*>(boost::hana::first(field))));
    });
    return names;
}

template <class Source>
class DescribedReader {
public:
    explicit DescribedReader(std::vector<Error>& faults) : faults_(faults) {}

    // Reads the fields of a described struct from an object, or from a list where it is written as one.
    template <class Struct>
    requires(boost::hana::Struct<Struct>::value) void read(const Source& source, const FieldPath& path,
                                                           const FieldRule&, Struct& out) {
        if constexpr (kWrittenAsList<Struct>) return readFromList(source, path, out);
        if (!source.isObject()) return wrongType(path, "an object of named values");
        boost::hana::for_each(boost::hana::accessors<Struct>(), [&](const auto& field) {
            const auto& description =
                describedField<Struct, std::decay_t<decltype(boost::hana::first(field))>>();
            readField(source, path, description, boost::hana::second(field)(out));
        });
    }

    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::string& out) {
        const std::optional<std::string_view> text = source.text();
        if (!text) return tolerate(rule, path, "a text");
        if (text->size() > rule.longest)
            return fault(path, fmt::format("is a text of {} bytes", text->size()),
                         fmt::format("use at most {}", rule.longest));
        if (!hasForm(*text, rule.form)) return badForm(path, *text, rule.form);
        out = *text;
    }

    void read(const Source& source, const FieldPath& path, const FieldRule& rule, bool& out) {
        const std::optional<bool> value = source.boolean();
        if (!value) return tolerate(rule, path, "true or false");
        out = *value;
    }

    template <class Number>
    requires(std::is_arithmetic_v<Number> &&
             !std::same_as<Number, bool>) void read(const Source& source, const FieldPath& path,
                                                    const FieldRule& rule, Number& out) {
        const std::optional<double> value = source.number();
        if (!value || std::isnan(*value)) return tolerate(rule, path, "a number");
        if (outside(*value, rule)) return outOfRange(path, *value, rule);
        out = narrowed<Number>(*value);
    }

    // Types with named values: parseName(text, out) is found beside the type.
    template <class Enum>
    requires(std::is_enum_v<Enum>) void read(const Source& source, const FieldPath& path,
                                             const FieldRule& rule, Enum& out) {
        const std::optional<std::string_view> text = source.text();
        if (!text) return tolerate(rule, path, "a text");
        parseName(*text, out);
    }

    template <class Value>
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::optional<Value>& out) {
        read(source, path, rule, out.emplace());
    }

    template <class Value>
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::vector<Value>& out) {
        if (!source.isList()) return tolerate(rule, path, "a list");
        out.clear();
        std::size_t index = 0;
        source.eachElement([&](const Source& element) {
            read(element, FieldPath{&path, {}, index++}, rule, out.emplace_back());
        });
    }

    void read(const Source& source, const FieldPath& path, const FieldRule& rule,
              std::map<std::string, std::string>& out) {
        if (!source.isObject()) return tolerate(rule, path, "a table of texts");
        out.clear();
        source.eachMember([&](std::string_view name, const Source& member) {
            read(member, FieldPath{&path, name, {}}, rule, out[std::string{name}]);
        });
    }

    void fault(const FieldPath& path, std::string message, std::string remedy) {
        faults_.push_back({ErrorKind::invalid, path.text<Source>(), std::move(message), std::move(remedy)});
    }

private:
    template <class Struct>
    void readFromList(const Source& source, const FieldPath& path, Struct& out) {
        constexpr std::size_t kFields = decltype(boost::hana::size(boost::hana::accessors<Struct>()))::value;
        std::vector<Source> elements;
        if (source.isList()) source.eachElement([&](const Source& element) { elements.push_back(element); });
        if (elements.size() != kFields) return wrongType(path, fmt::format("a list of {} values", kFields));
        std::size_t index = 0;
        boost::hana::for_each(boost::hana::accessors<Struct>(), [&](const auto& field) {
            const auto& description =
                describedField<Struct, std::decay_t<decltype(boost::hana::first(field))>>();
            read(elements[index], FieldPath{&path, {}, index}, description.rule,
                 boost::hana::second(field)(out));
            ++index;
        });
    }

    template <class Value>
    void readField(const Source& source, const FieldPath& path, const FieldDescription& description,
                   Value& out) {
        const std::optional<Source> member = source.member(description.name);
        const FieldPath here{&path, description.name, {}};
        if (member && !member->null()) return read(*member, here, description.rule, out);
        if (description.rule.required) fault(here, "is missing", "add it");
    }

    void wrongType(const FieldPath& path, std::string_view wanted) {
        fault(path, fmt::format("is not {}", wanted), fmt::format("write {}", wanted));
    }

    void tolerate(const FieldRule& rule, const FieldPath& path, std::string_view wanted) {
        if (!rule.tolerant) wrongType(path, wanted);
    }

    void badForm(const FieldPath& path, std::string_view text, Form form) {
        constexpr std::size_t kShown = 64;
        fault(path, fmt::format("\"{}\" is not {}", text.substr(0, kShown), describeForm(form)),
              fmt::format("write {}", describeForm(form)));
    }

    static bool outside(double value, const FieldRule& rule) {
        return value < rule.least || value > rule.most || (rule.aboveLeast && value == rule.least);
    }

    void outOfRange(const FieldPath& path, double value, const FieldRule& rule) {
        const std::string below =
            rule.aboveLeast ? fmt::format("above {}", rule.least) : fmt::format("of at least {}", rule.least);
        const std::string range =
            std::isinf(rule.most) ? below : fmt::format("{} and at most {}", below, rule.most);
        fault(path, fmt::format("{} is out of range", value), fmt::format("write a number {}", range));
    }

    // Whole numbers are cut towards zero and kept within their type.
    template <class Number>
    static Number narrowed(double value) {
        if constexpr (std::is_floating_point_v<Number>) {
            return value;
        } else {
            constexpr auto kLeast = std::numeric_limits<Number>::min();
            constexpr auto kMost = std::numeric_limits<Number>::max();
            if (value <= static_cast<double>(kLeast)) return kLeast;
            if (value >= static_cast<double>(kMost)) return kMost;
            return static_cast<Number>(value);
        }
    }

    std::vector<Error>& faults_;
};

}  // namespace beechpoint::settings
