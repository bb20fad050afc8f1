// The platform's frames on a connection to a track host.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/frame.hpp"
#include "backend/pool.hpp"

namespace beechpoint::backend {

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
    struct Filled {  // a frame in `outgoing_`: where it begins and ends, and the parts that it brings, if any
        std::size_t begin = 0, end = 0;
        std::uint64_t call = 0;
        std::vector<Attempt> parts;
        bool begun = false;  // some of it has gone
    };
    std::size_t callsOut() const override { return calls_.size(); }
    bool partsOut() const override {
        return filling_ || !out_.empty();
    }  // filling: some are between the two lists
    void read() override;
    void fill() override;
    void askProbe() override;
    std::vector<Lost> lost() override;
    std::optional<Millis> oldestOut() const override;
    bool hopeless() const;
    void claimCall(std::vector<Attempt> parts);
    void writeSome();
    void settle(std::size_t written);
    void onBytes();
    void onSpoilt();
    void watchRest(bool progress);
    void onStall(bool again);
    bool onFrame(const Frame& frame);
    bool onResult(const Frame& frame);
    void free(std::uint64_t call);
    AttemptId release(OutParts::iterator part);
    bool clogged() const;
    void shed();

    bool filling_ = false, parsing_ = false;
    bool resting_ = false;  // the rest of a frame is waited for
    asio::steady_timer stall_;
    // Given up here, by the part's id, with the call's place: the host may still be at it, and reads nothing beyond the calls
    // of a connection, so the place stays taken until an answer comes or the connection closes.
    std::unordered_multimap<std::string, std::uint64_t> givenUp_;
    std::string answered_;                        // the last one in: a second copy may follow it
    OutParts out_;                                // by the part's id on the wire
    std::map<std::uint64_t, std::size_t> calls_;  // places taken: parts not yet answered of each call
    std::uint64_t lastCall_ = 0;
    std::vector<std::string> more_;  // frames without a part
    std::string outgoing_;           // what goes out now, or the rest of a frame that was cut
    std::vector<Filled> filled_;
};

}  // namespace beechpoint::backend
