// Which headers a proxy passes on.
#include "upstream/headers.hpp"

#include <gtest/gtest.h>

namespace beechpoint::upstream {
namespace {

TEST(EndToEndHeaders, DropsHopByHopHeaders) {
    const Headers all = {{"Host", "h"},
                         {"connection", "keep-alive, X-Hop ,Host, X-Attempt-Id"},
                         {"Keep-Alive", "timeout=5"},
                         {"TE", "trailers"},
                         {"Trailer", "X"},
                         {"transfer-encoding", "chunked"},
                         {"Content-Length", "3"},
                         {"Upgrade", "h2c"},
                         {"Proxy-Connection", "close"},
                         {"proxy-authorization", "x"},
                         {"Expect", "100-continue"},
                         {"x-hop", "1"},
                         {"X-Attempt-Id", "a1"},
                         {"X-Server-Seal", "s"},
                         {"Accept", "a"},
                         {"Accept", "b"}};
    const Headers endToEnd = {
        {"Host", "h"}, {"X-Attempt-Id", "a1"}, {"X-Server-Seal", "s"}, {"Accept", "a"}, {"Accept", "b"}};
    EXPECT_EQ(endToEndHeaders(all), endToEnd);
    HeaderViews views;
    for (const Header& header : all) views.emplace_back(header.name, header.value);
    EXPECT_EQ(endToEndHeaders(views), endToEnd);
}

TEST(EndToEndHeaders, DropsHeadersNamedBySeveralConnectionHeaders) {
    EXPECT_EQ(endToEndHeaders(Headers{
                  {"Connection", "A"}, {"Connection", "close,B"}, {"a", "1"}, {"b", "2"}, {"c", "3"}}),
              (Headers{{"c", "3"}}));
}

TEST(Headers, FindsInAnyCaseAndWritesLines) {
    const Headers headers = {{"Priority", "3"}, {"X-Empty", ""}};
    ASSERT_NE(findHeader(headers, "pRIORITY"), nullptr);
    EXPECT_EQ(*findHeader(headers, "priority"), "3");
    EXPECT_EQ(findHeader(headers, "Prior"), nullptr);
    EXPECT_EQ(headerLines(headers), "Priority: 3\r\nX-Empty: \r\n");
}

}  // namespace
}  // namespace beechpoint::upstream
