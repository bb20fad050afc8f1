// The processes and addresses of a scale run: four control members and the platform's list, each a child process on
// loopback, and the folder of their stores. All end with the parent.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::scale {

inline constexpr std::size_t kMembers = 4;
inline constexpr std::size_t kMostHostChanges = 64;

struct Ports {
    std::uint16_t internal = 0;
    std::uint16_t control = 0;
    std::uint16_t directory = 0;
    std::uint16_t platform = 0;
};

// What one control process tells its parent, in shared memory. Counts only grow.
struct MemberReport {
    std::atomic<std::uint32_t> inView{0};  // 1 while it is in a view of all members that takes writes
    std::atomic<std::uint32_t> head{0};
    std::atomic<std::uint32_t> readsHosts{0};
    std::atomic<std::uint32_t> waitingPolls{0};
    std::atomic<std::uint64_t> peerBytes{0};      // payload of its calls to other members, both ways
    std::atomic<std::uint64_t> platformBytes{0};  // payload of its calls to the platform, both ways
};

// Written by one process each, read by others; lives in memory that all of them share.
struct SharedState {
    std::atomic<std::uint32_t> hostChanges{0};            // wanted by the driver, carried out by the platform
    std::atomic<double> changedAt[kMostHostChanges + 1];  // when the platform's list first showed change n
    MemberReport members[kMembers];
};

struct Child {
    std::string name;
    pid_t pid = -1;
};

std::string memberIp(std::size_t member);
std::string memberAddress(std::size_t member, std::uint16_t port);

class Cluster {
public:
    // Chooses ports and makes the folder; throws where it can't.
    explicit Cluster(const std::string& parentFolder);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Must be called before this process starts a thread. `run` is the child's whole life.
    void start(const std::string& name, const std::function<void()>& run);
    // Ends one child at once, as a loss of power does.
    void kill(const std::string& name);
    const std::vector<Child>& children() const { return children_; }

    const Ports& ports() const { return ports_; }
    SharedState& shared() { return *shared_; }
    std::filesystem::path storeOf(std::size_t member) const;

private:
    Ports ports_;
    SharedState* shared_ = nullptr;
    std::filesystem::path folder_;
    std::vector<Child> children_;
};

}  // namespace beechpoint::scale
