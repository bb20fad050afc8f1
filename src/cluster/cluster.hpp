// The group's driver: one UDP socket on the program's one loop, a timer, and cluster::Core between them; where a folder
// lasts, a helper thread that keeps the ledger there. It owns no policy. Nothing here is on a query's path: a group that
// is stuck, cut off or absent delays and refuses no query. Absent where no operator's file names a group.
//
// | state   | the address is free   | handOver(), leave()      | the folder fails | close() |
// | waiting | -> in: reads, joins   | asks for it no more      | -                | closed  |
// | in      | -                     | duties given up; handOver| -> failed        | closed  |
// |         |                       | frees the address after  |                  |         |
// | failed  | -                     | -                        | -                | closed  |
//
// The old and the new process of an upgrade are one member: whoever has the UDP address (and the lock on the folder) is it.
// The new one waits for it while the old one serves on; the old one gives it up once the new one serves.
#pragma once

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster/core.hpp"
#include "cluster/outbox.hpp"
#include "cluster/settings.hpp"
#include "core/clock.hpp"
#include "core/counters.hpp"
#include "core/logger.hpp"
#include "durable_files/disk_thread.hpp"
#include "durable_files/files.hpp"
#include "raft/state_folder.hpp"

namespace beechpoint::cluster {

class ClusterMember {
public:
    // `self`: the gatherer's name. Throws std::invalid_argument for a group it can't work with.
    ClusterMember(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
                  const Settings& settings, const std::string& self);
    ~ClusterMember();
    void start();
    // Stops acting on every duty at once, and tells the leader so that others take them; resume() undoes it: a drain.
    void leave(bool forGood = true);
    void resume();
    // The same, and then frees the address: another process of this gatherer is the member from then on. takeBack(): that one has
    // gone; unless this one was told to leave, it waits for the address and joins anew, with a life of its own.
    void handOver();
    void takeBack();
    void close();

    // The duty's fencing number if this member may act on it at this very moment. Carry it with the act.
    std::optional<std::uint64_t> mayAct(const std::string& singletonRole) const;
    // For operators: members, voters, leader, duties, JSON.
    std::string show() const;
    // Begins a group under `number`, by an operator's word; false: it has a state, is no voter, or 0 was given.
    bool foundGroup(std::uint64_t number);
    // By an operator's word: takes a free duty for this member, or gives one up that it holds (`to`: to that member). `then`
    // is called once, within some seconds; known: whether it is settled.
    struct OperationEnd {
        bool isKnown = false, succeeded = false;
        std::uint64_t fencingToken = 0;  // take: its new number; give: the one that was given up
    };
    void acquireRole(const std::string& singletonRole, std::function<void(OperationEnd)> then);
    void releaseRole(const std::string& singletonRole, const std::string& to,
                     std::function<void(OperationEnd)> then);
    // Looks at hosts that are avoided (Core::away, Core::saw).
    bool isTakenAsUnreachable(const std::string& host);
    void recordProbe(const std::string& host, bool there);
    bool isMember() const { return core_.has_value() && !failed_ && !closed_; }
    asio::ip::udp::endpoint endpoint() const { return socket_.local_endpoint(); }

private:
    struct DurableStore {  // where a folder lasts
        DurableStore(asio::io_context& io, const Settings& settings, const std::string& self,
                     raft::ProcessIncarnation processIncarnation);
        durable_files::FileSystem disk;
        raft::StateFolder folder;
        raft::StateEncoder encoder;
        std::optional<durable_files::DiskThread> thread;  // last: its end comes first
    };
    class FolderLock;
    void endSession(bool forGood);
    bool bind(asio::error_code& error);
    void becomeMember();
    void tryToJoin();
    void receive();
    void carryOut(const Step& step);
    void send(const std::vector<Datagram>& datagrams);
    void writeFinished(bool done);
    void armTimer();
    void reportChanges();
    void awaitOutcome(std::uint64_t request, std::function<void(OperationEnd)> then);
    void answerOperators();

    asio::io_context& io_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    Settings settings_;
    std::string self_;
    asio::ip::udp::socket socket_;
    asio::steady_timer timer_, waitTimer_;
    raft::ProcessIncarnation processIncarnation_;
    std::unique_ptr<FolderLock> lock_;
    std::unique_ptr<DurableStore> store_;
    std::optional<Core> core_;  // from when this process is the member
    Outbox outbox_;
    std::array<char, 512> buffer_{};
    asio::ip::udp::endpoint sender_;
    std::map<std::uint64_t, std::function<void(OperationEnd)>>
        operatorCalls_;              // of operators, that wait for their end
    Millis defineRolesAt_ = -1e300;  // when to ask again for duties that there are to be
    std::string loggedLeader_;
    std::map<std::string, std::uint64_t> loggedLeases_;
    std::uint64_t strangers_ = 0, notSent_ = 0;
    std::uint64_t countedConflicts_ = 0, countedRefused_ = 0;
    bool started_ = false;             // from here on an address that can't be had is waited for
    bool loggedAddressInUse_ = false;  // that another process has the address
    bool failed_ = false;              // the folder could not be written
    bool handingOver_ = false;         // another process is to be the member
    bool leftForGood_ = false;         // told to leave for good
    bool closed_ = false;
};

}  // namespace beechpoint::cluster
