// Real processes of the program as one group on loopback, and between them a relay: every datagram between two members
// comes in at a socket of that pair's and goes on, if it does, late, twice or spoilt, from the other way's. All members'
// operators' endpoints are asked all the time what they may act on; what they say is what a resource would have seen.
//
// Checked from outside: never two that may act on a duty at once, no fencing number goes back, one number has one holder,
// histories of operators' calls can have come from one register, and in the quiet end all come to rest with equal copies.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/group_director.hpp"
#include "emulator/group_world.hpp"
#include "emulator/linear.hpp"
#include "emulator/real_process.hpp"

namespace beechpoint::emulator {

class GroupRelay {
public:
    GroupRelay(asio::io_context& io, const GroupScenario& scenario, std::uint64_t seed);
    std::string at(int from, int to) const;  // where `from` sends to `to`
    void cut(int from, int to, bool on) {
        on ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
    }
    void loss(double share) { loss_ = share; }
    void spike(double most) { spike_ = most; }
    void replayOld();
    std::uint64_t carried() const { return carried_; }
    std::uint64_t longest() const { return longest_; }
    std::uint64_t bytes() const { return bytes_; }
    std::string rooms();

private:
    struct Path;
    void receive(Path& p);
    void pass(int from, int to, std::string bytes);
    double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    asio::io_context& io_;
    const GroupScenario scenario_;
    std::mt19937_64 random_;
    std::map<std::pair<int, int>, std::shared_ptr<Path>> paths_;
    std::map<int, asio::ip::udp::endpoint> home_;
    std::set<std::pair<int, int>> cuts_;
    std::vector<std::pair<std::pair<int, int>, std::string>> old_;
    double loss_, spike_ = 0;
    std::map<char, std::uint64_t> rooms_;
    std::uint64_t carried_ = 0, longest_ = 0, bytes_ = 0;
};

class GroupReal : public GroupStage {
public:
    // `folder`: for configurations, logs and what members keep; it is emptied of nothing.
    GroupReal(const GroupScenario& scenario, std::uint64_t seed, std::string program, std::string folder);
    ~GroupReal() override;

    GroupReport run();
    const GroupTimes& times() const { return director_->times(); }
    std::function<void(Millis, const std::string&)> trace;

    void kill(int member) override;
    void start(int member) override;
    void end(int member) override;
    void stop(int member) override;
    void proceed(int member) override;
    void upgrade(int member) override;
    void endNewest(int member) override;
    void wipe(int member) override;
    void cutPair(int from, int to, bool on) override { relay_.cut(from, to, on); }
    void lose(double share) override { relay_.loss(share); }
    void delay(Millis more) override { relay_.spike(more); }
    void replayOld() override { relay_.replayOld(); }
    bool runs(int member) const override;
    bool whole(int member) const override;
    int leads() const override;
    int holds(int singletonRole) const override;
    std::string roleOf(int member) const override;
    void takeDuty(int member, int singletonRole) override;
    void giveDuty(int member, int singletonRole, int to) override;

private:
    using Json = nlohmann::json;
    struct Process {  // of a member: one, or the old and the new one of an upgrade
        RealProcess process;
        int port = 0;  // of its operators' endpoint
        bool asking = false;
        double askedAt = 0, shownAt = -1e9;
        Json shown;
        bool mayAct(const std::string& singletonRole) const {
            return shown.is_object() && shown["mayAct"].contains(singletonRole);
        }
    };
    struct Member {
        std::vector<std::shared_ptr<Process>> processes;  // the newest last
        bool stopped = false;
        int next = 7102;
    };
    struct Act {
        std::uint64_t fencingToken = 0;
        int by = -1;
        double heard = 0, last = 0;
    };
    struct Call;
    Millis now() const;
    std::string host(int member) const;
    std::string base(int member) const;
    bool fresh(int member) const { return newest(member) != nullptr && fresh(*newest(member)); }
    bool fresh(const Process& p) const;
    const Process* newest(int member) const;  // null: none runs
    void ask(int member, const std::shared_ptr<Process>& process);
    void launch(int member);
    void acted(int member, const std::string& singletonRole, std::uint64_t fencingToken, double asked);
    void call(int member, int port, const std::string& method, const std::string& path,
              std::function<void(int status, const std::string& body)> then);
    void violate(const std::string& kind, const std::string& text);
    std::string restless() const;
    void operate(int member, const std::string& singletonRole, DutyOp op, const std::string& path);

    GroupScenario scenario_;
    std::string program_, folder_;
    asio::io_context io_;
    GroupRelay relay_;
    std::unique_ptr<GroupDirector> director_;
    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, Act> acts_;
    std::map<std::string, std::vector<DutyOp>> history_;
    std::size_t calls_ = 0;
    GroupReport report_;
    double began_ = 0;
};

}  // namespace beechpoint::emulator
