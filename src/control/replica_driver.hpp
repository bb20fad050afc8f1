/// The driver of one member's replica (replica/replica.hpp, a state machine free of I/O): it gives the replica its events and carries
/// out its actions. Each job has its own class:
///   messages   gathered by OutgoingMessages, sent over rpc::Client, encoded by replica_codec.hpp
///   disk       storage::StoreThread writes what durable_records.hpp makes of replica::Persist; its answers come back on the loop
///   timer      one, set by replica::SetTimer; it brings replica::Tick
///   callers    PendingOperations holds the callbacks of writes and read barriers; CallbackQueue runs them after the event
///   redirects  ResponsiveMembers knows from which members a message came recently
/// What it is not: it decides nothing about views, writes or reads.
///
/// All functions are to be called from the event loop's thread; all callbacks come on it. Only the store's writes run on a thread of
/// their own, which StoreThread owns.
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
/// and timers of an earlier opening are dropped. Its destruction closes it without any callback.
class ReplicaDriver {
public:
    /// Both are called after an event has been handled; either may be empty.
    struct Listener {
        std::function<void()> onTableChanged;  ///< the committed table moved by a batch, or was replaced
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
    /// Ends the replica and closes the store; pending writes and read barriers end as failed.
    void close();

    /// `addresses`: control addresses, read again from the settings. Nothing while closed.
    void setSeeds(std::vector<std::string> addresses);

    /// Asks the others for a view without this process; see replica::Leave. To be called once no write is pending.
    void leaveView();
    /// No view needs this process any more (replica::Replica::left); true also while closed.
    [[nodiscard]] bool hasLeftView() const;

    /// Null while closed.
    [[nodiscard]] const replica::Replica* replica() const;

    /// A request of another member, without the envelope's kind. It is always answered; with no message where it can't be read.
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
