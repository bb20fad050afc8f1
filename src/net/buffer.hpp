// A read buffer. Messages are slices of it; a slice holds until the next prepare().
#pragma once

#include <algorithm>
#include <asio/buffer.hpp>
#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <limits>
#include <memory>
#include <new>
#include <string_view>

namespace beechpoint::net {

class Buffer {
public:
    // Room for at least `more` bytes behind what is held. It grows by doubling, but to no more than `most` bytes as long as those do.
    asio::mutable_buffer prepare(std::size_t more, std::size_t most = kNoBound) {
        const std::size_t wanted = capacityFor(more, most);
        if (capacity_ - end_ < more) moveToFront();
        if (wanted > capacity_) grow(wanted);
        return asio::buffer(bytes_.get() + end_, capacity_ - end_);
    }
    // The capacity that prepare() with the same arguments leads to.
    std::size_t capacityFor(std::size_t more, std::size_t most = kNoBound) const {
        const std::size_t needed = size() + more;
        if (needed <= capacity_) return capacity_;
        return std::max(needed, std::min(2 * capacity_, most));
    }
    void commit(std::size_t got) { end_ += got; }
    // Moves nothing: a read into what prepare() gave may be under way.
    void consume(std::size_t used) { begin_ += used; }
    // Takes `size` bytes out, `at` behind the front; what lies behind moves up. Not while a read into it is under way.
    void cut(std::size_t at, std::size_t size) {
        if (size == 0) return;
        char* const gap = data() + at;
        std::memmove(gap, gap + size, this->size() - at - size);
        end_ -= size;
    }
    // Gives the memory back while nothing is held. Not while a read into it is under way.
    void release() {
        if (size() > 0) return;
        bytes_.reset();
        begin_ = end_ = capacity_ = 0;
    }
    std::size_t capacity() const { return capacity_; }
    char* data() { return bytes_.get() + begin_; }
    std::size_t size() const { return end_ - begin_; }
    std::string_view view() const { return {bytes_.get() + begin_, size()}; }

private:
    static constexpr std::size_t kNoBound = std::numeric_limits<std::size_t>::max();

    struct Free {
        void operator()(char* bytes) const { std::free(bytes); }
    };

    void moveToFront() {
        if (begin_ == 0) return;
        if (size() > 0) std::memmove(bytes_.get(), data(), size());
        end_ -= begin_;
        begin_ = 0;
    }
    // Bytes that are not held yet stay untouched, so that they take no memory.
    void grow(std::size_t capacity) {
        char* const grown = static_cast<char*>(std::realloc(bytes_.get(), capacity));
        if (!grown) throw std::bad_alloc();
        static_cast<void>(bytes_.release());
        bytes_.reset(grown);
        capacity_ = capacity;
    }

    std::unique_ptr<char, Free> bytes_;
    std::size_t capacity_ = 0;
    std::size_t begin_ = 0, end_ = 0;
};

}  // namespace beechpoint::net
