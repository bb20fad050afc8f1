#include "upstream/headers.hpp"

#include <algorithm>
#include <array>

#include "net/framing.hpp"

namespace beechpoint::upstream {

namespace {

using net::sameName;

constexpr std::array<std::string_view, 8> kHopByHop = {
    "Connection", "Keep-Alive", "TE", "Trailer", "Upgrade", "Transfer-Encoding", "Expect", "Content-Length"};
constexpr std::string_view kProxyPrefix = "Proxy-";
// What Connection may not name: to take these off would change the request or the answer itself.
constexpr std::array<std::string_view, 14> kProtected = {"Host",
                                                         "Content-Type",
                                                         "X-Attempt-Id",
                                                         "X-Deadline-Remaining",
                                                         "X-Server-Seal",
                                                         "Last-Event-Id",
                                                         "X-Not-Executed",
                                                         "X-Model-Id",
                                                         "X-Target-Instance",
                                                         "X-Token-Usage",
                                                         "Priority",
                                                         "X-Prompt-Prefix",
                                                         "Expect-Version",
                                                         "Versions"};

template <class Names>
bool holds(const Names& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view listed) { return sameName(listed, name); });
}

bool concernsOneConnection(std::string_view name) {
    const bool proxy =
        name.size() > kProxyPrefix.size() && sameName(name.substr(0, kProxyPrefix.size()), kProxyPrefix);
    return proxy || holds(kHopByHop, name);
}

// `nameOf` and `valueOf` read a field of either kind of list.
template <class List, class Name, class Value>
Headers filtered(const List& headers, Name nameOf, Value valueOf) {
    std::vector<std::string_view> connection;
    for (const auto& field : headers)
        if (sameName(nameOf(field), "Connection")) connection.push_back(valueOf(field));
    const auto named = [&](std::string_view name) {
        if (connection.empty() || holds(kProtected, name)) return false;
        return std::any_of(connection.begin(), connection.end(),
                           [&](std::string_view value) { return net::listHolds(value, name); });
    };
    Headers endToEnd;
    for (const auto& field : headers) {
        const std::string_view name = nameOf(field);
        if (!concernsOneConnection(name) && !named(name))
            endToEnd.push_back({std::string(name), std::string(valueOf(field))});
    }
    return endToEnd;
}

}  // namespace

const std::string* findHeader(const Headers& headers, std::string_view name) {
    for (const Header& header : headers)
        if (sameName(header.name, name)) return &header.value;
    return nullptr;
}

Headers endToEndHeaders(const HeaderViews& headers) {
    return filtered(
        headers, [](const auto& field) { return field.first; },
        [](const auto& field) { return field.second; });
}

Headers endToEndHeaders(const Headers& headers) {
    return filtered(
        headers, [](const Header& field) { return std::string_view(field.name); },
        [](const Header& field) { return std::string_view(field.value); });
}

std::string headerLines(const Headers& headers) {
    std::string lines;
    for (const Header& header : headers)
        lines.append(header.name).append(": ").append(header.value).append("\r\n");
    return lines;
}

}  // namespace beechpoint::upstream
