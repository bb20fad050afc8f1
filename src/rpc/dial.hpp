/// One attempt to connect to an address, without blocking. All uses are on the loop's thread.
#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/result.hpp"
#include "rpc/connection.hpp"

namespace beechpoint::rpc {

class Dial : public std::enable_shared_from_this<Dial> {
public:
    /// When the attempt failed, `stream` is empty and `reason` says why.
    using Handler = std::function<void(Stream stream, std::string reason)>;

    /// `handler` is called once, on the loop's thread, unless the dial is destroyed before. `url` as urlOf() makes it; `io` must outlive
    /// the dial. An error of kind `unavailable`: no memory.
    [[nodiscard]] static Result<std::shared_ptr<Dial>> begin(asio::io_context& io, const std::string& url,
                                                             Handler handler);
    /// Abandons the attempt.
    ~Dial();
    Dial(const Dial&) = delete;
    Dial& operator=(const Dial&) = delete;

private:
    Dial(asio::io_context& io, Handler handler) : io_(io), handler_(std::move(handler)) {}
    static void completed(void* self);
    void ended();

    asio::io_context& io_;
    Handler handler_;
    nng_stream_dialer* dialer_ = nullptr;
    nng_aio* operation_ = nullptr;
};

}  // namespace beechpoint::rpc
