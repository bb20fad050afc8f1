// Runs a store's writes on one thread of its own, in the order in which they were given, so that a slow or hanging disk
// never holds up the loop. Each completion comes back on the loop's thread, in the same order. When it is destroyed, the
// write under way is finished, those waiting are not begun, and nothing is called back any more.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "core/clock.hpp"
#include "core/result.hpp"
#include "storage/store.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::storage {

inline constexpr std::size_t kMaxWaitingWrites = 1024;  // one more fails at once with `unavailable`

class StoreThread {
public:
    using Callback = std::function<void(Result<void>)>;

    // `io` must outlive it.
    StoreThread(asio::io_context& io, Store store);
    ~StoreThread();
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;

    // Never blocks, and never calls back before it returns.
    void write(Update update, Callback callback);

    // How long the oldest write that is not done has been waiting, in milliseconds; 0 when there is none. A disk that
    // hangs shows here.
    Millis oldestWaiting() const;
    // Writes given and not yet done.
    std::size_t waiting() const;
    // The error of the last write that failed, until one succeeds.
    std::optional<Error> lastFailure() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace beechpoint::storage
