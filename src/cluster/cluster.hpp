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

class Group {
public:
    // `self`: the gatherer's name. Throws std::invalid_argument for a group it can't work with.
    Group(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log, const Settings& settings,
          const std::string& self);
    ~Group();
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
    bool found(std::uint64_t number);
    // By an operator's word: takes a free duty for this member, or gives one up that it holds (`to`: to that member). `then`
    // is called once, within some seconds; known: whether it is settled.
    struct Settled {
        bool known = false, yes = false;
        std::uint64_t fencingToken = 0;  // take: its new number; give: the one that was given up
    };
    void take(const std::string& singletonRole, std::function<void(Settled)> then);
    void give(const std::string& singletonRole, const std::string& to, std::function<void(Settled)> then);
    // Looks at hosts that are avoided (Core::away, Core::saw).
    bool away(const std::string& host);
    void saw(const std::string& host, bool there);
    bool in() const { return core_.has_value() && !failed_ && !closed_; }
    asio::ip::udp::endpoint endpoint() const { return socket_.local_endpoint(); }

private:
    struct Store {  // where a folder lasts
        Store(asio::io_context& io, const Settings& settings, const std::string& self,
              raft::ProcessIncarnation processIncarnation);
        durable_files::Disk disk;
        raft::Folder folder;
        raft::Journal journal;
        std::optional<durable_files::DiskThread> thread;  // last: its end comes first
    };
    class Lock;
    void giveUpAll(bool forGood);
    bool bind(asio::error_code& error);
    void begin();
    void tryAgain();
    void receive();
    void carry(const Step& step);
    void send(const std::vector<Datagram>& datagrams);
    void written(bool done);
    void wake();
    void changed();
    void await(std::uint64_t request, std::function<void(Settled)> then);
    void answer();

    asio::io_context& io_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    Settings settings_;
    std::string self_;
    asio::ip::udp::socket socket_;
    asio::steady_timer timer_, waitTimer_;
    raft::ProcessIncarnation processIncarnation_;
    std::unique_ptr<Lock> lock_;
    std::unique_ptr<Store> store_;
    std::optional<Core> core_;  // from when this process is the member
    Outbox outbox_;
    std::array<char, 512> buffer_{};
    asio::ip::udp::endpoint from_;
    std::map<std::uint64_t, std::function<void(Settled)>> calls_;  // of operators, that wait for their end
    Millis wantAt_ = -1e300;  // when to ask again for duties that there are to be
    std::string leaderSaid_;
    std::map<std::string, std::uint64_t> heldSaid_;
    std::uint64_t strangers_ = 0, notSent_ = 0;
    std::uint64_t conflictsSaid_ = 0, refusedSaid_ = 0;
    bool started_ = false;  // from here on an address that can't be had is waited for
    bool said_ = false;     // that another process has the address
    bool failed_ = false;   // the folder could not be written
    bool handing_ = false;  // another process is to be the member
    bool ended_ = false;    // told to leave for good
    bool closed_ = false;
};

}  // namespace beechpoint::cluster
