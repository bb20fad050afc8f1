/// A gatherer with an admin endpoint, the calls to it, and a folder for its state.
#pragma once

#include <filesystem>
#include <functional>
#include <string>

#include "gatherer_fixture.hpp"

namespace beechpoint::test {

/// Requests without content.
std::string get(const std::string& target);
std::string put(const std::string& target);

/// A gatherer with an admin endpoint in front of one host.
struct OperatorFixture {
    explicit OperatorFixture(const std::function<void(Config&)>& change = {});
    /// One call on a connection of its own, which the gatherer closes after its answer.
    Answer call(const std::string& bytes);
    /// A figure of /ops/stats by its path.
    double stat(const std::string& path);
    /// The status of the clients' endpoint's /up.
    int up();
    StubFrameHost host{eventLoop()};
    GathererFixture fixture;
};

/// A state folder of its own beside the test's program, whatever folder it is started in; removed at the end.
struct StateFolder {
    StateFolder();
    ~StateFolder();
    StateFolder(const StateFolder&) = delete;
    StateFolder& operator=(const StateFolder&) = delete;
    /// The file of banned hosts.
    std::string banFile() const { return path + "/beechpoint-n0.bans"; }
    /// The record of another process of the same gatherer.
    std::string otherProcessRecord() const { return path + "/beechpoint-n0.other.process"; }
    std::string path = std::filesystem::canonical("/proc/self/exe").parent_path() / "beechpoint-state-XXXXXX";
};

}  // namespace beechpoint::test
