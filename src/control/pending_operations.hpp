/// Callbacks of writes or reads that the replica has not completed yet, by operation token. Not synchronized.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace beechpoint::control {

/// Owns the callbacks; each leaves it once, to be called by who took it.
class PendingOperations {
public:
    /// `succeeded`: a write is known to be committed, a read barrier has passed.
    using Done = std::function<void(bool succeeded)>;

    /// `token` must not be in use.
    void add(std::uint64_t token, Done done);
    /// The callback of that operation; an empty function where it is not pending (any more).
    [[nodiscard]] Done take(std::uint64_t token);
    /// All of them, in the order of their tokens; none is left.
    [[nodiscard]] std::map<std::uint64_t, Done> takeAll();
    [[nodiscard]] bool empty() const { return byToken_.empty(); }

private:
    std::map<std::uint64_t, Done> byToken_;
};

}  // namespace beechpoint::control
