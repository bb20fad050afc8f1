// Slices of JSON text that is known to be valid. What a track host or a client wrote is handed on byte for
// byte: reading a number and writing it again could change it.
#pragma once

#include <string_view>
#include <vector>

namespace beechpoint::net {

// The members of an object as written, twice-named ones too; empty where `text` is no object.
std::vector<std::pair<std::string_view, std::string_view>> jsonMembers(std::string_view text);
// The value of a member; empty where there is none. Names are compared as written.
std::string_view jsonMember(std::string_view object, std::string_view name);
std::vector<std::string_view> jsonElements(std::string_view array);

}  // namespace beechpoint::net
