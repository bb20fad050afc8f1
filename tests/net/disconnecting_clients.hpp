/// Clients that leave while their requests are in hand, in each way in which a client can leave.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "gatherer_fixture.hpp"

namespace beechpoint::test {

/// After a client's end was seen, nothing of its request is sent on; it is seen within this time.
inline constexpr Millis kNoticeTime = 300;

/// How a client leaves.
enum class Disconnect {
    close,             ///< an orderly end
    reset,             ///< a reset
    closeBehindBytes,  ///< an end behind bytes that were not read yet
    closeWhilePaused,  ///< an end behind so many bytes that the gatherer has stopped reading
};
inline constexpr std::array kDisconnects = {Disconnect::close, Disconnect::reset,
                                            Disconnect::closeBehindBytes, Disconnect::closeWhilePaused};
/// Those that need no turn of the event loop.
inline constexpr std::array kDisconnectsAtOnce = {Disconnect::close, Disconnect::reset,
                                                  Disconnect::closeBehindBytes};

/// The client leaves in the way given.
void disconnect(GathererFixture& fixture, TestClient& client, Disconnect how);

/// Where clients come in.
enum class Frontend { platform, search };
inline constexpr std::array kFrontends = {Frontend::platform, Frontend::search};

tcp::endpoint endpointOf(const GathererFixture& fixture, Frontend frontend);

/// A query of one shard that carries `mark`.
std::string markedQuery(Frontend frontend, const std::string& mark);

/// One client for each way of leaving at each frontend; the query of each carries a mark that no other has.
class DisconnectingClients {
public:
    struct OneClient {
        std::unique_ptr<TestClient> connection;
        Frontend frontend;
        Disconnect how;
        std::string mark;
    };
    /// Connects all, sends their queries and waits until all were taken.
    explicit DisconnectingClients(GathererFixture& fixture);
    struct Unsent {};
    /// Connects all, and sends nothing yet.
    DisconnectingClients(GathererFixture& fixture, Unsent);
    /// Connects one, and sends nothing yet.
    DisconnectingClients(GathererFixture& fixture, Frontend frontend, Disconnect how);

    void sendAll();
    void disconnectAll();
    /// Expects that all ends are seen in time, each counted by `counter`, and that no query of theirs is
    /// left.
    void expectNoticed(Counter counter = Counter::goneBeforeSent);
    /// How many of the clients' queries stand in what a host received.
    std::size_t countSentIn(const std::string& received) const;

    std::vector<OneClient> all;
    std::size_t otherQueries;  ///< in hand beside the clients' own

private:
    void add(Frontend frontend, Disconnect how);
    GathererFixture& fixture_;
};

}  // namespace beechpoint::test
