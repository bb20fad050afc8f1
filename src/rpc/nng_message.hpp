// What server and client share of nng: messages from and to bytes, errors and addresses.
#pragma once

#include <nng/nng.h>

#include <memory>
#include <string>
#include <string_view>

#include "core/result.hpp"

namespace beechpoint::rpc {

struct FreeMessage {
    void operator()(nng_msg* message) const { nng_msg_free(message); }
};
using Message = std::unique_ptr<nng_msg, FreeMessage>;

// The first byte of each answer.
enum class AnswerKind : unsigned char { answered = 0, refused = 1 };

// A request; empty when there is no memory.
Message requestMessage(std::string_view bytes);
Message answerMessage(AnswerKind kind, std::string_view bytes);
std::string_view body(const Message& message);

// The message that an operation ended with or gave back.
Message takeMessage(nng_aio* operation);

// "ip:port" with an IPv4 address as nng's URL.
Result<std::string> urlOf(const std::string& address);

// The socket option that bounds an incoming message. Somewhat above the bound on bytes, for the answer's first byte.
int limitMessages(nng_socket socket);

}  // namespace beechpoint::rpc
