// HTTP answers as lines of a golden list.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "golden_list.hpp"

namespace beechpoint::golden {

// "CASE | STATUS | header names | body". Values of headers vary and are left out.
std::string answerLine(std::string_view name, int status, std::string_view headers, std::string_view body);
std::string answerLine(std::string_view name, const std::string& answer);  // an answer as it came

// A request with `Connection: close`. `headers` holds whole lines, each ended by CRLF.
std::string request(std::string_view method, std::string_view target, std::string_view headers = {},
                    std::string_view body = {});

// Sends bytes on a connection of their own and runs the loop until the other side has closed it. What came.
std::string ask(asio::io_context& io, const asio::ip::tcp::endpoint& to, std::string_view bytes);

// The body of an answer as it came.
std::string bodyOf(const std::string& answer);

}  // namespace beechpoint::golden
