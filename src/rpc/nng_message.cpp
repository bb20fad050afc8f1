#include "rpc/nng_message.hpp"

#include <asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdint>
#include <cstring>

#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kHeaderRoom = 64;

Message ofSize(std::size_t size) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, size) != 0) return nullptr;
    return Message(message);
}

void copyInto(const Message& message, std::size_t offset, std::string_view bytes) {
    if (!bytes.empty())
        std::memcpy(static_cast<char*>(nng_msg_body(message.get())) + offset, bytes.data(), bytes.size());
}

}  // namespace

Message requestMessage(std::string_view bytes) {
    Message message = ofSize(bytes.size());
    if (message) copyInto(message, 0, bytes);
    return message;
}

Message answerMessage(AnswerKind kind, std::string_view bytes) {
    Message message = ofSize(bytes.size() + 1);
    if (!message) return message;
    *static_cast<unsigned char*>(nng_msg_body(message.get())) = static_cast<unsigned char>(kind);
    copyInto(message, 1, bytes);
    return message;
}

std::string_view body(const Message& message) {
    return {static_cast<const char*>(nng_msg_body(message.get())), nng_msg_len(message.get())};
}

Message takeMessage(nng_aio* operation) {
    Message message(nng_aio_get_msg(operation));
    nng_aio_set_msg(operation, nullptr);
    return message;
}

Result<std::string> urlOf(const std::string& address) {
    const Error wrong{ErrorKind::invalid, address, "not an address of the form ip:port",
                      "give an IPv4 address and a port"};
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return wrong;
    asio::error_code failure;
    asio::ip::make_address_v4(address.substr(0, colon), failure);
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || error != std::errc() || last != end) return wrong;
    return "tcp://" + address;
}

int limitMessages(nng_socket socket) {
    return nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes + kHeaderRoom);
}

}  // namespace beechpoint::rpc
