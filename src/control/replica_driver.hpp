/// The driver of one member's replica (replica/replica.hpp, a state machine free of I/O): it gives the replica its events and carries
/// out its actions. Each job has its own class:
///   messages   batched by OutgoingMessages, sent over rpc::Client, encoded by replica_codec.hpp
///   disk       storage::StoreThread writes the updates that durable_records.hpp derives from replica::Persist; completions run on the loop
///   timer      a single timer, set by replica::SetTimer; it triggers replica::Tick
///   callers    PendingOperations holds the callbacks of writes and read barriers; CallbackQueue runs them after the event
///   redirects  ResponsiveMembers records which members sent a message recently
/// Decisions about views, writes and reads are made by the replica.
///
/// All functions must be called from the event loop's thread; all callbacks run on it. Only the store's writes run on a separate
/// thread, owned by StoreThread.
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

/// Owns the replica, its store and its timer. Life cycle: closed -> open() -> open -> close() -> closed; may be opened again. Answers
/// and timers of an earlier opening are dropped. Destruction closes it without any callback.
class ReplicaDriver {
public:
    /// Both are called after an event has been handled; either may be empty.
    struct Listener {
        std::function<void()> onTableChanged;  ///< a batch was committed, or the committed table was replaced
        std::function<void()> onViewChanged;   ///< a newer view is known
    };

    /// All references must outlive the driver.
    ReplicaDriver(asio::io_context& io, const Clock& clock, Logger& logger, rpc::Client& client,
                  Listener listener);
    ~ReplicaDriver();
    ReplicaDriver(const ReplicaDriver&) = delete;
    ReplicaDriver& operator=(const ReplicaDriver&) = delete;

    /// Opens the store in `directory` and starts the replica. A corrupt store is logged and counts as empty. `seed` must differ at
    /// each opening. Error (storage): the disk refuses, to be tried again; or a record of the store can't be read.
    [[nodiscard]] Result<void> open(const std::string& directory, replica::Settings settings,
                                    std::uint64_t seed);
    /// Stops the replica and closes the store; pending writes and read barriers fail.
    void close();

    /// `addresses`: control addresses, read again from the settings. Nothing while closed.
    void setSeeds(std::vector<std::string> addresses);

    /// Asks the others for a view without this process; see replica::Leave. To be called once no write is pending.
    void leaveView();
    /// No view needs this process any more (replica::Replica::left); true also while closed.
    [[nodiscard]] bool hasLeftView() const;

    /// Null while closed.
    [[nodiscard]] const replica::Replica* replica() const;

    /// Handles a request of another member, without the envelope's kind. Always answered; with no messages if it is malformed.
    void onRequest(std::string_view body, rpc::Reply reply);

    /// Gives a batch to the chain. The changes are to be computed from committedTable() in the same call. `done(true)`: they are known
    /// to be committed; `done(false)`: it is not known whether they will be. `done` may be called before this returns, and is called
    /// once, unless the driver is destroyed.
    void write(std::vector<Change> changes, std::function<void(bool committed)> done);
    /// A read barrier at the tail (replica/read_barriers.hpp). `done(true)`: committedTable() now holds everything that was
    /// acknowledged before this call. `done` may be called before this returns, and is called once, unless the driver is destroyed.
    void readBarrier(std::function<void(bool passed)> done);

    /// Whether a message of that member came within kUnresponsiveAfter (responsive_members.hpp).
    [[nodiscard]] bool isResponsive(const std::string& internalAddress) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
