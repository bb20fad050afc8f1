// Sees which processes of this gatherer live: each holds a lock on a record of its own in the folder, which goes
// with the process however it ends. Records without a lock are cleared away.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "admin/overlap.hpp"
#include "core/logger.hpp"

namespace beechpoint::admin {

class OverlapRecord {
public:
    // `changed` is called once the overlap knows something new.
    OverlapRecord(asio::io_context& io, Logger& log, const std::string& folder, const std::string& name,
                  Overlap& overlap, std::function<void()> changed);
    ~OverlapRecord();
    void start(Millis unixNow);  // writes the own record, looks, and goes on looking
    void publish(Lifecycle::State state);
    void stop();  // the record goes

private:
    void look();
    void lookLater();
    bool write();

    Logger& log_;
    std::string folder_, prefix_;
    Overlap& overlap_;
    std::function<void()> changed_;
    asio::steady_timer timer_;
    Overlap::Process self_;
    std::string path_;
    int file_ = -1;
};

}  // namespace beechpoint::admin
