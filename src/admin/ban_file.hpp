// Keeps the hosts that are out in one small file, where the next process of an upgrade finds them and the other
// one sees a change within a quarter of a second. Changed under a lock, written anew and renamed into place;
// a file that is damaged or of another version is ignored with one log line.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admin/host_bans.hpp"
#include "core/logger.hpp"

namespace beechpoint::admin {

// The file's text and back; nothing where it is damaged or foreign.
std::string writeBans(const HostBans::Hosts& out);
std::optional<HostBans::Hosts> readBans(const std::string& text);

class BanFile {
public:
    using OnBans = std::function<void(HostBans::Hosts)>;
    // With an empty folder the bans end with the process.
    BanFile(asio::io_context& io, Logger& log, const std::string& folder, const std::string& name,
            OnBans onBans);
    void start();  // takes what is there and goes on looking
    void stop();
    // Adds or takes away one host. `later` hears whether that is stored; where not, nothing is changed.
    void change(const std::string& id, bool out, std::function<void(bool)> later) {
        attempt(id, out, std::move(later), 0);
    }

private:
    void attempt(const std::string& id, bool out, std::function<void(bool)> later, int tries);
    bool store(const std::string& id, bool out);
    void look();
    void read();
    bool write(const HostBans::Hosts& out);

    asio::io_context& io_;
    Logger& log_;
    std::string path_;  // empty: not kept
    OnBans onBans_;
    asio::steady_timer timer_;
    HostBans::Hosts current_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();  // a call that waits for the lock asks for it
    std::string lastSeen_;                                    // what tells this state of the file from others
};

}  // namespace beechpoint::admin
