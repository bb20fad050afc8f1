// The operator of a scale run: sends configurations, blocking, as operators do (redirects are followed, failures go to the next
// member). To be used from a thread of its own.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::scale {

// A first configuration with so many routes (one a tenant) and services (one a model); revision 1.
std::string firstConfiguration(std::size_t routes, std::size_t services);
// A partial change that replaces one route.
std::string changeOfOneRoute(std::size_t revision, std::size_t route, std::size_t services);

class OperatorClient {
public:
    OperatorClient(std::vector<std::string> addresses, const Clock& clock);
    // Sends until it is acknowledged or `most` has passed. When the answer came; 0: not acknowledged.
    Millis put(std::size_t basedOn, const std::string& body, Millis most);
    Millis patch(std::size_t basedOn, const std::string& body, Millis most);

private:
    Millis send(const std::string& method, std::size_t basedOn, const std::string& body, Millis most);

    std::vector<std::string> addresses_;
    std::size_t turn_ = 0;
    const Clock& clock_;
};

}  // namespace beechpoint::scale
