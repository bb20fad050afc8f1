// The platform's frames on a connection to a track host.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "back/frame.hpp"
#include "back/pool.hpp"

namespace beechpoint::back {

class FrameConnection : public HostConnection {
public:
    FrameConnection(Pool& pool, std::string server);
    static Pool::Connection make(Pool& pool, const std::string& server) {
        return std::make_shared<FrameConnection>(pool, server);
    }
    void abandon(AttemptId attempt) override;

private:
    struct OutPart {
        AttemptId id;
        std::uint64_t call = 0;
        bool written = false;
        Millis sentAt = 0;
    };
    using OutParts = std::unordered_map<std::string, OutPart>;
    struct Mark {  // where a part's frame ends in what is being written
        std::size_t end;
        std::string part;
        std::uint64_t call;
    };
    std::size_t callsOut() const override { return calls_.size(); }
    void read() override;
    void fill() override;
    void askProbe() override;
    std::vector<Lost> lost() override;
    std::optional<Millis> oldestOut() const override;
    void onWritten(asio::error_code error, std::size_t count);
    void onBytes();
    void onSpoilt();
    void watchRest(bool progress);
    void onStall(bool again);
    bool onFrame(const Frame& frame);
    bool onResult(const Frame& frame);
    void release(OutParts::iterator part);

    bool filling_ = false, parsing_ = false;
    bool resting_ = false;  // the rest of a frame is waited for
    asio::steady_timer stall_;
    std::deque<std::string> cancelled_;  // given up here; an answer may still come. The oldest are forgotten
    std::string answered_;               // the last one in: a second copy may follow it
    OutParts out_;                       // by the part's id on the wire
    std::map<std::uint64_t, std::size_t> calls_;  // places taken: parts still out of each call
    std::uint64_t lastCall_ = 0;
    std::string more_, outgoing_;  // frames without a part, and what is being written
    std::vector<Mark> marks_;
};

}  // namespace beechpoint::back
