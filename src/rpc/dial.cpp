#include "rpc/dial.hpp"

#include <asio/post.hpp>
#include <utility>

namespace beechpoint::rpc {

namespace {

// A host that was down when the first packet came does not answer it, and the kernel sends that packet again only after a
// second: a new attempt is sooner. Several times the longest round trip between regions.
constexpr nng_duration kDialTimeoutMs = 250;

}  // namespace

Result<std::shared_ptr<Dial>> Dial::begin(asio::io_context& io, const std::string& url, Handler handler) {
    std::shared_ptr<Dial> dial(new Dial(io, std::move(handler)));
    int error = nng_stream_dialer_alloc(&dial->dialer_, url.c_str());
    if (error == 0) error = nng_aio_alloc(&dial->operation_, completed, dial.get());
    if (error != 0) return Error{ErrorKind::unavailable, url, nng_strerror(error), "call again later"};
    nng_aio_set_timeout(dial->operation_, kDialTimeoutMs);
    nng_stream_dialer_dial(dial->dialer_, dial->operation_);
    return dial;
}

Dial::~Dial() {
    if (dialer_) nng_stream_dialer_close(dialer_);
    if (operation_) {
        nng_aio_stop(operation_);
        // Connected meanwhile, and the stream was not handed over: it is freed here.
        if (nng_aio_result(operation_) == 0 && handler_)
            Stream(static_cast<nng_stream*>(nng_aio_get_output(operation_, 0)));
        nng_aio_free(operation_);
    }
    if (dialer_) nng_stream_dialer_free(dialer_);
}

void Dial::completed(void* argument) {
    Dial& dial = *static_cast<Dial*>(argument);
    asio::post(dial.io_, [weak = dial.weak_from_this()] {
        if (const std::shared_ptr<Dial> self = weak.lock()) self->ended();
    });
}

void Dial::ended() {
    const Handler handler = std::move(handler_);
    handler_ = nullptr;
    const int error = nng_aio_result(operation_);
    if (error != 0) {
        handler(nullptr, nng_strerror(error));
        return;
    }
    handler(Stream(static_cast<nng_stream*>(nng_aio_get_output(operation_, 0))), {});
}

}  // namespace beechpoint::rpc
