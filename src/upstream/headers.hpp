/// Header fields that outlive the connection they came on, and which of them concern one connection only (RFC 9110, 7.6.1).
/// Pure functions.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechpoint::upstream {

struct Header {
    std::string name, value;
    bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;
using HeaderViews = std::vector<std::pair<std::string_view, std::string_view>>;

/// The first header of that name, in any case; nullptr where there is none.
[[nodiscard]] const std::string* findHeader(const Headers& headers, std::string_view name);

/// The headers that a proxy passes on, in order, as written: without Connection and the headers that it names,
/// Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*, Expect, and Content-Length, since the next sender frames
/// the body itself. For requests and answers alike. Connection cannot take off headers that the protocol needs end to end
/// (Host, Content-Type, X-Attempt-Id and the like).
[[nodiscard]] Headers endToEndHeaders(const HeaderViews& headers);
[[nodiscard]] Headers endToEndHeaders(const Headers& headers);

/// Lines "Name: value" CRLF, as net::HttpConnection::beginStream() takes them.
[[nodiscard]] std::string headerLines(const Headers& headers);

}  // namespace beechpoint::upstream
