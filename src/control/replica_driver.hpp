// Carries out what the replica asks for: messages over rpc, writes on the store's thread, its timer. Several messages to one
// member go in one call, and what answers a member at once goes into the reply of its call.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/logger.hpp"
#include "core/replicated_table.hpp"
#include "core/result.hpp"
#include "replica/settings.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::rpc {
class Client;
class Reply;
}  // namespace beechpoint::rpc
namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

inline constexpr Millis kHeardLately = 700;  // a member that has said nothing for longer is not pointed at

class ReplicaDriver {
public:
    // Both are called after an event has been handled, from the loop.
    struct Listener {
        std::function<void()> onTableMoved;
        std::function<void()> onView;
    };

    // All references must outlive the driver.
    ReplicaDriver(asio::io_context& io, const Clock& clock, Logger& logger, rpc::Client& client,
                  Listener listener);
    ~ReplicaDriver();
    ReplicaDriver(const ReplicaDriver&) = delete;
    ReplicaDriver& operator=(const ReplicaDriver&) = delete;

    // Opens the store in `directory` and starts the replica; a store that does not check is said in the log and counts as
    // empty. Error (storage): the disk refuses; to be tried again.
    Result<void> open(const std::string& directory, replica::Settings settings, std::uint64_t seed);
    // Ends the replica and closes the store; calls under way end as failed.
    void close();

    // Control addresses, read again from the settings; nothing while it is not open.
    void seeds(std::vector<std::string> addresses);

    // Asks the others for a view without this process; see replica::Leave. To be called once no write is in hand.
    void leave();
    // Nothing hangs on this process any more; also where it is not open.
    bool left() const;

    // Null until open.
    const replica::Replica* replica() const;

    // A request of another member, without the envelope's kind.
    void onRequest(std::string_view body, rpc::Reply reply);

    // `done` of either may be called before it returns, and is called once, unless the driver is destroyed.
    // The changes are to be computed from committedTable() in the same call. `done` says whether the changes are known to be committed.
    void write(std::vector<Change> changes, std::function<void(bool committed)> done);
    // `done(true)`: committedTable() then holds everything that was acknowledged before the call.
    void readBarrier(std::function<void(bool ok)> done);

    // Whether that member said something within kHeardLately.
    bool heardLately(const std::string& internalAddress) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
