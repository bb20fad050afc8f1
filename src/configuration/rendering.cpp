// Bodies of answers to the operator.
#include <algorithm>
#include <utility>
#include <vector>

#include "configuration/editing.hpp"
#include "configuration/json_text.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::string_view kindName(ErrorKind kind) {
    switch (kind) {
        case ErrorKind::invalid:
            return "invalid";
        case ErrorKind::conflict:
            return "conflict";
        case ErrorKind::notFound:
            return "not_found";
        case ErrorKind::unavailable:
            return "unavailable";
        case ErrorKind::timedOut:
            return "timed_out";
        case ErrorKind::storage:
            return "storage";
    }
    return "invalid";
}

void appendList(const Table& table, std::string_view prefix, std::string_view name, std::string& out) {
    std::vector<StoredItem> items;
    eachWithPrefix(table, prefix, [&items](std::string_view, std::string_view value) {
        if (const auto stored = parseStoredItem(value)) items.push_back(*stored);
    });
    const auto earlier = [](const StoredItem& left, const StoredItem& right) {
        return left.order < right.order;
    };
    std::stable_sort(items.begin(), items.end(), earlier);
    out.append(",\"").append(name).append("\":[");
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (index != 0) out += ',';
        out += items[index].json;
    }
    out += ']';
}

}  // namespace

std::string renderConfiguration(const Table& table) {
    std::string out = "{\"revision\":" + std::to_string(currentRevision(table));
    appendList(table, kRoutePrefix, "routes", out);
    appendList(table, kServicePrefix, "services", out);
    if (const auto limits = table.find(std::string{kLimitsKey}); limits != table.end())
        out.append(",\"limits\":").append(limits->second);
    eachWithPrefix(table, kMemberPrefix, [&out](std::string_view name, std::string_view value) {
        out.append(",").append(quotedJson(name)).append(":").append(value);
    });
    out += '}';
    return out;
}

std::string renderError(const Error& error) {
    std::string out = "{\"error\":{\"kind\":";
    out.append(quotedJson(kindName(error.kind)));
    out.append(",\"place\":").append(quotedJson(error.location));
    out.append(",\"message\":").append(quotedJson(error.message));
    out.append(",\"remedy\":").append(quotedJson(error.remedy));
    return out + "}}";
}

int httpStatus(ErrorKind kind) {
    switch (kind) {
        case ErrorKind::invalid:
            return 400;
        case ErrorKind::conflict:
            return 412;
        case ErrorKind::notFound:
            return 404;
        case ErrorKind::unavailable:
        case ErrorKind::timedOut:
        case ErrorKind::storage:
            return 503;
    }
    return 500;
}

}  // namespace beechpoint::configuration
