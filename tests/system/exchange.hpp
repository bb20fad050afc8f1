// One HTTP call with an end: no redirects followed, nothing sent twice.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::system_test {

inline constexpr Millis kExchangeMost = 5'000;

struct HttpCall {
    std::string address;  // IP:PORT
    std::string method = "GET";
    std::string target = "/";
    std::optional<std::uint64_t> ifMatch;
    std::string body;
    std::string attemptId;  // of a client's request; empty: none
    Millis most = kExchangeMost;
};

struct HttpAnswer {
    int status = 0;  // 0: no whole answer came
    std::string body;
    std::string location;
};

HttpAnswer exchange(const HttpCall& call);

}  // namespace beechpoint::system_test
