// Discovery's JSON list of track hosts.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/exchange.hpp"

namespace beechpoint::discovery {

struct BadList : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Listing {
    std::int64_t generation = 0;
    HostList list;
};

// Both throw BadList, naming what is wrong; a bad list is taken in no part.
Listing parseListing(std::string_view text, const Clock& clock);
Listing readListing(const nlohmann::json& json, const Clock& clock);

// As discovery writes it, on one line.
std::string writeListing(const Listing& listing, const Clock& clock);

}  // namespace beechpoint::discovery
