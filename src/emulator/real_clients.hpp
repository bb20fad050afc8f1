// Clients on sockets: one request at a time on a connection, kept connections, more when all are busy.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/real_stage.hpp"
#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::emulator {

class RealClients {
public:
    // `most`: connections to one gatherer; with all of them busy a request waits for one.
    RealClients(Stage& stage, std::vector<tcp::endpoint> gatherers, std::size_t most);
    ~RealClients();
    RealClients(const RealClients&) = delete;
    RealClients& operator=(const RealClients&) = delete;

    void send(const TryPtr& request);
    void leave(const TryPtr& request);
    std::size_t connections() const;

private:
    struct Line;
    using LinePtr = std::shared_ptr<Line>;
    struct Pool {
        tcp::endpoint to;
        std::list<LinePtr> idle;
        std::size_t open = 0;
        std::deque<TryPtr> waiting;
    };
    void assign(const LinePtr& line, const TryPtr& request);
    void dial(int gatherer, const TryPtr& request, bool again);
    void write(const LinePtr& line);
    void read(const LinePtr& line);
    void onAnswer(const LinePtr& line);
    void broken(const LinePtr& line);
    void close(const LinePtr& line);
    void release(const LinePtr& line);
    std::string text(const Try& request) const;

    Stage& stage_;
    std::vector<Pool> pools_;
    std::size_t most_;
    std::map<std::uint64_t, LinePtr> busy_;  // by try
};

}  // namespace beechpoint::emulator
