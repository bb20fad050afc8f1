// The program's log: one line an event, to standard error, each kind at most so often that a broken peer
// cannot flood it. A line is text, or one JSON object with time, level, kind, text and fields. The kind is
// made of the form's own words, so it is the same for every line of that form. spdlog carries the lines; its
// headers are kept out of here, since every file includes this one.
//
// No call blocks: a line that standard error can't take at once is left out and counted, and the next line
// that it takes tells of those.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint {

// A value with a name for the JSON form; in text it reads as the value alone.
template <class T>
struct Field {
    const char* name;
    const T& value;
};
template <class T>
Field<T> field(const char* name, const T& value) {
    return {name, value};
}

namespace logging {

enum class Format { text, json };
enum class Level { info, warn };

template <class T>
struct BareOf {
    using type = T;
};
template <class T>
struct BareOf<Field<T>> {
    using type = T;
};
template <class T>
using Bare = typename BareOf<std::remove_cvref_t<T>>::type;

template <class T>
const T& bare(const T& value) {
    return value;
}
template <class T>
const T& bare(const Field<T>& field) {
    return field.value;
}

using Fields = std::vector<std::pair<const char*, std::string>>;

}  // namespace logging

class Logger {
public:
    template <class... A>
    using Form = std::type_identity_t<fmt::format_string<const logging::Bare<A>&...>>;

    // Writes to `descriptor`, which it doesn't own; below 0 it writes nothing at all.
    explicit Logger(const Clock& clock, logging::Format format = logging::Format::text, int descriptor = 2);
    ~Logger();
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    template <class... A>
    void info(Form<A...> form, const A&... values) {
        write(logging::Level::info, form, 0, values...);
    }
    template <class... A>
    void warn(Form<A...> form, const A&... values) {
        write(logging::Level::warn, form, 0, values...);
    }
    // At most one line a second of each kind; the next one tells how many were left out.
    template <class... A>
    void seldom(std::string_view kind, Form<A...> form, const A&... values) {
        unsigned skipped = 0;
        if (due(kind, skipped)) write(logging::Level::warn, form, skipped, values...);
    }

    std::size_t kinds() const { return kinds_.size(); }
    std::uint64_t lost() const;  // lines that standard error did not take

private:
    struct Kind {
        bool written = false;
        Millis last = 0;
        unsigned skipped = 0;
    };
    struct Sink;

    template <class... A, class F>
    void write(logging::Level level, const F& form, unsigned skipped, const A&... values) {
        if (!sink_) return;
        logging::Fields fields;
        if (json_) (addField(fields, values), ...);
        const fmt::string_view words = form;
        put(level, std::string_view(words.data(), words.size()),
            fmt::vformat(words, fmt::make_format_args(logging::bare(values)...)), skipped, fields);
    }
    template <class T>
    static void addField(logging::Fields& fields, const Field<T>& f) {
        fields.emplace_back(f.name, fmt::format("{}", f.value));
    }
    template <class T>
    static void addField(logging::Fields&, const T&) {}

    bool due(std::string_view kind, unsigned& skipped);
    void put(logging::Level level, std::string_view form, const std::string& text, unsigned skipped,
             const logging::Fields& fields);

    const Clock& clock_;
    bool json_;
    std::unique_ptr<Sink> sink_;
    std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace beechpoint
