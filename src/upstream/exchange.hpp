/// One request to a host and how far it has come. Private to the module.
#pragma once

#include <chrono>
#include <memory>

#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

struct Exchange {
    Handle handle = 0;
    Request request;
    Handlers handlers;
    std::chrono::steady_clock::time_point deadline;
    bool sent = false;      ///< at least one byte was given to the system
    bool headSeen = false;  ///< onHead was called
    bool reused = false;    ///< on a connection that was used before
    bool paused = false;    ///< no bytes of the answer are read
};
/// Shared, so that it outlives the handler that ends it.
using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace beechpoint::upstream
