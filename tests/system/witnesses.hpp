// Calls made beside the operators' own at one member that may know only an old state: past the relay, no redirects followed. Each is
// made from a thread of its own, so that it can wait at a frozen process.
#pragma once

#include <cstdint>
#include <future>
#include <optional>
#include <string>

#include "exchange.hpp"
#include "system.hpp"

namespace beechpoint::system_test {

// The revision of the table that the member hands out to a gateway that polls it; nothing: it hands out none.
std::optional<std::uint64_t> pollMember(const std::string& internalAddress, Millis most);

class Witnesses {
public:
    // Makes the calls. `newest` was acknowledged before, by others.
    Witnesses(const System& system, std::size_t member, std::uint64_t newest, Millis most);
    // Waits for their ends and checks: nothing older than `newest` is handed out; the change that was acknowledged under it is not
    // refused when it is sent again; another one under its number is not confirmed, nor one under the next number, which
    // somebody else has been given meanwhile.
    void check();

private:
    std::string name_;
    std::uint64_t newest_;
    std::future<HttpAnswer> read_, again_, other_, next_;
    std::future<std::optional<std::uint64_t>> polled_;
};

}  // namespace beechpoint::system_test
