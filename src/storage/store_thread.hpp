/// Runs a store's writes on one thread of its own, in the order in which they were given, so that a slow or hanging disk
/// never holds up the loop. Each completion comes back on the loop's thread, in the same order.
///
/// Owns the store and the thread. All methods are to be called on the loop's thread. When it is destroyed, the write in progress
/// is finished (the destructor waits for it), the queued ones are not begun, and no callback is called any more.
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

inline constexpr std::size_t kMaxQueuedWrites = 1024;  ///< a further one fails at once with `unavailable`

class StoreThread {
public:
    using Callback = std::function<void(Result<void>)>;

    /// `io` must outlive it.
    StoreThread(asio::io_context& io, Store store);
    ~StoreThread();
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;

    /// Queues the write. Never blocks, and never calls back before it returns.
    void write(Update update, Callback callback);

    /// Age in milliseconds of the oldest write that is not done; 0 when there is none. Grows while a disk hangs.
    [[nodiscard]] Millis oldestWriteAge() const;
    /// Writes given and not yet done.
    [[nodiscard]] std::size_t queuedWrites() const;
    /// The error of the last write that failed, until one succeeds.
    [[nodiscard]] std::optional<Error> lastFailure() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace beechpoint::storage
