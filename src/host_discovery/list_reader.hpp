/// Reads the platform's host list repeatedly: which call to make next, and what list follows from the answers. A state machine free
/// of I/O; events come with the time. Not thread-safe.
///
///   state     event                                  next
///   idle      start()                                waiting
///   waiting   its time has come, nextCall()          calling
///   calling   a page with a successor                waiting, for no time
///   calling   the last page                          waiting, for the period
///   calling   failure, any status but 200            waiting, for a backoff
///   any       stop()                                 idle
///
/// An answer in another state than calling is ignored: it belongs to a call that was given up.
///
/// A reading of several pages may be torn, as hosts are added and removed between its pages: an id seen twice shows it and the reading
/// begins again, a few times at most. A host that is missing stays on the list until the next complete reading confirms its absence.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/splitmix.hpp"
#include "host_discovery/host_list.hpp"
#include "host_discovery/page.hpp"

namespace beechpoint::host_discovery {

class ListReader {
public:
    struct Settings {
        Millis period = 750;         ///< from the begin of a reading to the next
        Millis periodPerPage = 150;  ///< at least so much for each page: long lists are read less often
        Millis callTimeout = 1000;   ///< for one page
        Millis backoffFirst = 500;   ///< after a failure; doubles with each further one, with jitter
        Millis backoffMost = 4000;
        Millis timeTolerance = 1000;  ///< the list lags: warm-up ends that differ by less are the same
        std::size_t maxHosts = 20'000;
        int maxPages = 400;
        int maxRestarts = 2;  ///< of a torn reading; then it is used, and removes no host
    };
    struct Call {
        std::string target;  ///< path and query
        Millis deadline = 0;
    };
    enum class Outcome { nothing, confirmed, changed, failed };

    ListReader(Settings settings, std::uint64_t seed, std::uint64_t readerId);

    /// Begins to read under that fencing token, numbering on from `lastNumber`. `known`: the list known so far, of any reader; it keeps
    /// its version as long as the readings say the same. Null: none.
    void start(Millis now, std::uint64_t fencingToken, std::uint64_t lastNumber,
               std::shared_ptr<const HostList> known);
    void stop();
    [[nodiscard]] bool running() const { return state_ != State::idle; }
    [[nodiscard]] std::uint64_t fencingToken() const { return fencingToken_; }
    /// Numbers given from now on are above this one.
    void raiseNumber(std::uint64_t number);

    /// When nextCall() is to be asked; nothing while idle or calling.
    [[nodiscard]] std::optional<Millis> nextAt() const;
    /// The call to make now, if its time has come. One is in flight at a time.
    [[nodiscard]] std::optional<Call> nextCall(Millis now);
    Outcome onAnswer(Millis now, int status, std::string_view body);
    /// No answer, or none in time.
    Outcome onFailure(Millis now);

    /// Null: none yet.
    [[nodiscard]] const std::shared_ptr<const HostList>& list() const { return list_; }
    /// When the last complete reading began.
    [[nodiscard]] Millis confirmedAt() const { return confirmedAt_; }
    /// Since the last complete reading.
    [[nodiscard]] int failures() const { return failures_; }

private:
    enum class State { idle, waiting, calling };
    void beginReading();
    Outcome addPage(Millis now, Page page);
    Outcome finish(Millis now);
    Outcome restart(Millis now);
    std::set<std::string> addMissingHosts();
    std::vector<Host> moveHosts();

    Settings settings_;
    SplitMix random_;
    std::uint64_t readerId_;
    State state_ = State::idle;
    std::uint64_t fencingToken_ = 0, number_ = 0;
    Millis nextAt_ = 0;
    Millis beganAt_ = 0;  // of the reading under way
    std::map<std::string, Host> hosts_;
    std::string pageToken_;
    int pages_ = 0, restarts_ = 0, failures_ = 0;
    bool complete_ = true;                 // nothing seen so far says that entries are missing
    std::set<std::string> missingBefore_;  // absent from the last complete reading, still on the list
    std::shared_ptr<const HostList> list_;
    Millis confirmedAt_ = 0;
};

}  // namespace beechpoint::host_discovery
