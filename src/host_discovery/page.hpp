/// Reads one page of the platform's `GET /instances`. Fields not known are ignored.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"
#include "host_discovery/host_list.hpp"

namespace beechpoint::host_discovery {

struct Page {
    std::vector<Host> hosts;
    std::optional<std::string> nextPageToken;  ///< nothing on the last page
    /// Entries left out: without an id, service or address, or with a field of another type.
    std::size_t unreadable = 0;
};

inline constexpr std::size_t kMaxHostsPerPage = 10'000;

/// Error (invalid): not an object with a list `instances`, or more hosts than kMaxHostsPerPage.
[[nodiscard]] Result<Page> parsePage(std::string_view json);

}  // namespace beechpoint::host_discovery
