#include "operator_client/client.hpp"

#include <fmt/format.h>

#include <utility>

#include "operator_client/call_run.hpp"

namespace beechpoint::operator_client {
namespace {

// RFC 3986, 2.3.
bool isUnreserved(char byte) {
    const bool alphabetic = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return alphabetic || (byte >= '0' && byte <= '9') ||
           std::string_view("-._~").find(byte) != std::string_view::npos;
}

}  // namespace

Client::Client(const Clock& clock, Settings settings, Report report)
    : clock_(clock), settings_(std::move(settings)), report_(std::move(report)) {}

Reply Client::perform(const Call& call) { return CallRun(clock_, settings_, call, report_).run(); }

std::string percentEncoded(std::string_view text) {
    std::string out;
    for (const char byte : text) {
        if (isUnreserved(byte))
            out += byte;
        else
            out += fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
    return out;
}

}  // namespace beechpoint::operator_client
