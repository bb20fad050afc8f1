// The model's hosts on sockets, speaking the platform's frames. Each host has an address for each gatherer,
// so that a cut can be told apart by who is cut off.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <vector>

#include "emulator/real_stage.hpp"
#include "net/buffer.hpp"

namespace beechpoint::emulator {

class RealHosts {
public:
    explicit RealHosts(Stage& stage);
    ~RealHosts();
    RealHosts(const RealHosts&) = delete;
    RealHosts& operator=(const RealHosts&) = delete;

    std::string address(int host, int gatherer);
    void path(const HostPath& path);
    void up(ConnId conn);
    void drop(ConnId conn);  // refused or reset
    void answer(const PartAnswer& answer);
    void probed(const ProbeAnswer& answer);
    std::uint64_t parts() const { return parts_; }

private:
    struct Port;
    struct Line;
    using LinePtr = std::shared_ptr<Line>;
    Port& port(int host, int gatherer);
    void open(Port& port);
    void blockade(Port& port);
    void accept(Port& port);
    void read(const LinePtr& line);
    void onBytes(const LinePtr& line);
    bool onFrame(const LinePtr& line, char letter, std::string_view rest, Millis now);
    void write(const LinePtr& line, std::string bytes);
    void flush(const LinePtr& line);
    void end(const LinePtr& line, bool reset);

    Stage& stage_;
    std::map<std::pair<int, int>, std::unique_ptr<Port>> ports_;
    std::map<ConnId, LinePtr> lines_;
    std::uint64_t parts_ = 0;
};

}  // namespace beechpoint::emulator
