/// Reading of structs that are described to Boost.Hana (BOOST_HANA_ADAPT_STRUCT). The description is the only list
/// of fields: names on the wire follow from the members' names (timeoutMs is timeout_ms), and rules beyond the type
/// are in kFieldRules of the struct. One walk reads and checks; a fault does not end it, so all are found.
///
/// Not here: the formats (toml_source.hpp, configuration/json_source.hpp) and rules between fields (process_settings.cpp,
/// configuration/items.cpp).
///
/// A source is a value of the format that is read, as a small copyable handle:
///   static constexpr char kSeparator             between the names of a location
///   static constexpr std::string_view kRoot      begins each location
///   bool null() const                            to be read as missing
///   std::optional<Source> member(name) const     of an object; nothing when there is none
///   bool isObject() const, isList() const
///   std::optional<double> number() const; std::optional<bool> boolean() const
///   std::optional<std::string_view> text() const
///   void eachElement(f) const                    f(Source) for each element of a list
///   void eachMember(f) const                     f(std::string_view name, Source) for each member of an object
///
/// One thread uses a reader at a time.
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

/// Which texts are valid.
enum class Form { any, notEmpty, headerValue, ipv4Address, ipv4Endpoint, slashed };

/// Whether the text has the form.
[[nodiscard]] bool hasForm(std::string_view text, Form form);
/// What a text of the form is, for error messages: "an IPv4 address such as ...".
[[nodiscard]] std::string_view describeForm(Form form);

/// A rule on one field beyond its type.
struct FieldRule {
    std::string_view field;  ///< its name on the wire
    bool required = false;
    Form form = Form::any;     ///< of a text, or of each text in a list
    std::size_t longest = -1;  ///< bytes of a text
    double least = -std::numeric_limits<double>::infinity();
    bool aboveLeast = false;  ///< the least value itself is invalid
    double most = std::numeric_limits<double>::infinity();
    bool tolerant = false;  ///< another type is not a fault: the default stays
};

/// Specialised for structs with rules.
template <class Struct>
inline constexpr std::array<FieldRule, 0> kFieldRules{};

/// Specialised to true for structs that are written as a list of their fields' values.
template <class Struct>
inline constexpr bool kWrittenAsList = false;

inline constexpr FieldRule kNoRule{};

/// "timeoutMs" -> "timeout_ms". A trailing underscore is left out: a member may be named after a keyword, "public_" -> "public".
[[nodiscard]] std::string wireName(std::string_view memberName);

/// Where a value is in the document, as a list of names and indexes through `parent`, which must stay valid. The text is built
/// only when there is a fault.
struct FieldPath {
    const FieldPath* parent = nullptr;
    std::string_view name;
    std::optional<std::size_t> index;  ///< of an element of a list, in place of a name

    /// In the form of the source's format, e.g. "limits.cpu_share" or "/routes/0/name".
    template <class Source>
    [[nodiscard]] std::string text() const {
        const std::string before = parent ? parent->text<Source>() : std::string{Source::kRoot};
        const std::string own = index ? std::to_string(*index) : std::string{name};
        if (before.empty() || before.back() == Source::kSeparator || own.empty()) return before + own;
        return before + Source::kSeparator + own;
    }
};

/// One field of a struct: its name on the wire, and its rule.
struct FieldDescription {
    std::string name;
    FieldRule rule;
};

/// The description of the field with Hana's key `Key`; made once.
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

/// The names on the wire of all fields of a struct, in order.
template <class Struct>
[[nodiscard]] std::vector<std::string> fieldNames() {
    std::vector<std::string> names;
    boost::hana::for_each(boost::hana::accessors<Struct>(), [&names](const auto& field) {
        names.push_back(wireName(boost::hana::to<const char*>(boost::hana::first(field))));
    });
    return names;
}

/// Reads values of every type that a described struct may have, by overloads of read(source, path, rule, out). Each leaves `out` as
/// it is and adds a fault when the value is invalid; `path` is the value's location and `rule` that of its field.
template <class Source>
class DescribedReader {
public:
    /// Faults are appended to `faults`, which must stay valid.
    explicit DescribedReader(std::vector<Error>& faults) : faults_(faults) {}

    /// A described struct, from an object, or from a list where it is written as one (kWrittenAsList).
    template <class Struct>
    requires(boost::hana::Struct<Struct>::value) void read(const Source& source, const FieldPath& path,
                                                           const FieldRule&, Struct& out) {
        if constexpr (kWrittenAsList<Struct>)
            readFromList(source, path, out);
        else
            readFromObject(source, path, out);
    }

    /// A text.
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::string& out) {
        const std::optional<std::string_view> text = source.text();
        if (!text)
            wrongTypeUnlessTolerant(rule, path, "a text");
        else if (text->size() > rule.longest)
            tooLong(path, text->size(), rule);
        else if (!hasForm(*text, rule.form))
            wrongForm(path, *text, rule.form);
        else
            out = *text;
    }

    /// A boolean.
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, bool& out) {
        const std::optional<bool> value = source.boolean();
        if (value)
            out = *value;
        else
            wrongTypeUnlessTolerant(rule, path, "true or false");
    }

    /// A number; integers also from numbers with a fraction.
    template <class Number>
    requires(std::is_arithmetic_v<Number> &&
             !std::same_as<Number, bool>) void read(const Source& source, const FieldPath& path,
                                                    const FieldRule& rule, Number& out) {
        const std::optional<double> value = source.number();
        if (!value || std::isnan(*value))
            wrongTypeUnlessTolerant(rule, path, "a number");
        else if (isOutOfRange(*value, rule))
            outOfRange(path, *value, rule);
        else
            out = narrowed<Number>(*value);
    }

    /// An enum with names: parseName(text, out) is found beside the type.
    template <class Enum>
    requires(std::is_enum_v<Enum>) void read(const Source& source, const FieldPath& path,
                                             const FieldRule& rule, Enum& out) {
        const std::optional<std::string_view> text = source.text();
        if (text)
            parseName(*text, out);
        else
            wrongTypeUnlessTolerant(rule, path, "a text");
    }

    /// A value that may be missing.
    template <class Value>
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::optional<Value>& out) {
        read(source, path, rule, out.emplace());
    }

    /// A list; the rule is that of its elements.
    template <class Value>
    void read(const Source& source, const FieldPath& path, const FieldRule& rule, std::vector<Value>& out) {
        if (!source.isList()) {
            wrongTypeUnlessTolerant(rule, path, "a list");
            return;
        }
        out.clear();
        std::size_t index = 0;
        source.eachElement([&](const Source& element) {
            read(element, FieldPath{&path, {}, index++}, rule, out.emplace_back());
        });
    }

    /// A table of texts by name.
    void read(const Source& source, const FieldPath& path, const FieldRule& rule,
              std::map<std::string, std::string>& out) {
        if (!source.isObject()) {
            wrongTypeUnlessTolerant(rule, path, "a table of texts");
            return;
        }
        out.clear();
        source.eachMember([&](std::string_view name, const Source& member) {
            read(member, FieldPath{&path, name, {}}, rule, out[std::string{name}]);
        });
    }

    /// Adds a fault of kind `invalid`; for rules between fields too.
    void fault(const FieldPath& path, std::string message, std::string remedy) {
        faults_.push_back({ErrorKind::invalid, path.text<Source>(), std::move(message), std::move(remedy)});
    }

private:
    // Calls visit(description, value) for each field of the struct, in order.
    template <class Struct, class Visitor>
    static void eachField(Struct& out, const Visitor& visit) {
        boost::hana::for_each(boost::hana::accessors<Struct>(), [&](const auto& field) {
            using Key = std::decay_t<decltype(boost::hana::first(field))>;
            visit(describedField<Struct, Key>(), boost::hana::second(field)(out));
        });
    }

    template <class Struct>
    void readFromObject(const Source& source, const FieldPath& path, Struct& out) {
        if (!source.isObject()) {
            wrongType(path, "an object of named values");
            return;
        }
        eachField(out, [&](const FieldDescription& description, auto& value) {
            readField(source, path, description, value);
        });
    }

    template <class Struct>
    void readFromList(const Source& source, const FieldPath& path, Struct& out) {
        constexpr std::size_t kFields = decltype(boost::hana::size(boost::hana::accessors<Struct>()))::value;
        std::vector<Source> elements;
        if (source.isList()) source.eachElement([&](const Source& element) { elements.push_back(element); });
        if (elements.size() != kFields) {
            wrongType(path, fmt::format("a list of {} values", kFields));
            return;
        }
        std::size_t index = 0;
        eachField(out, [&](const FieldDescription& description, auto& value) {
            read(elements[index], FieldPath{&path, {}, index}, description.rule, value);
            ++index;
        });
    }

    template <class Value>
    void readField(const Source& source, const FieldPath& path, const FieldDescription& description,
                   Value& out) {
        const std::optional<Source> member = source.member(description.name);
        const FieldPath here{&path, description.name, {}};
        if (member && !member->null())
            read(*member, here, description.rule, out);
        else if (description.rule.required)
            fault(here, "is missing", "add it");
    }

    void wrongType(const FieldPath& path, std::string_view expected) {
        fault(path, fmt::format("is not {}", expected), fmt::format("write {}", expected));
    }

    void wrongTypeUnlessTolerant(const FieldRule& rule, const FieldPath& path, std::string_view expected) {
        if (!rule.tolerant) wrongType(path, expected);
    }

    void tooLong(const FieldPath& path, std::size_t size, const FieldRule& rule) {
        fault(path, fmt::format("is a text of {} bytes", size), fmt::format("use at most {}", rule.longest));
    }

    void wrongForm(const FieldPath& path, std::string_view text, Form form) {
        constexpr std::size_t kMaxShownBytes = 64;
        fault(path, fmt::format("\"{}\" is not {}", text.substr(0, kMaxShownBytes), describeForm(form)),
              fmt::format("write {}", describeForm(form)));
    }

    static bool isOutOfRange(double value, const FieldRule& rule) {
        return value < rule.least || value > rule.most || (rule.aboveLeast && value == rule.least);
    }

    void outOfRange(const FieldPath& path, double value, const FieldRule& rule) {
        const std::string below =
            rule.aboveLeast ? fmt::format("above {}", rule.least) : fmt::format("of at least {}", rule.least);
        const std::string range =
            std::isinf(rule.most) ? below : fmt::format("{} and at most {}", below, rule.most);
        fault(path, fmt::format("{} is out of range", value), fmt::format("write a number {}", range));
    }

    // Integers are rounded towards zero and clamped to the range of their type.
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
