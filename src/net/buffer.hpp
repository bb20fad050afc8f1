// A read buffer. Messages are slices of it; a slice holds until the next prepare().
#pragma once

#include <asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <vector>

namespace beechpoint::net {

class Buffer {
public:
    // Room for at least `more` bytes behind what is held.
    asio::mutable_buffer prepare(std::size_t more) {
        if (bytes_.size() - end_ < more) {
            if (size() > 0) std::memmove(bytes_.data(), bytes_.data() + begin_, size());
            end_ -= begin_;
            begin_ = 0;
            if (bytes_.size() - end_ < more) bytes_.resize(end_ + more);
        }
        return asio::buffer(bytes_.data() + end_, bytes_.size() - end_);
    }
    void commit(std::size_t got) { end_ += got; }
    // Moves nothing: a read into what prepare() gave may be under way.
    void consume(std::size_t used) { begin_ += used; }
    // Takes `size` bytes out, `at` behind the front; what lies behind moves up. Not while a read into it is under way.
    void cut(std::size_t at, std::size_t size) {
        char* const gap = bytes_.data() + begin_ + at;
        std::memmove(gap, gap + size, this->size() - at - size);
        end_ -= size;
    }
    // Gives the memory back while nothing is held. Not while a read into it is under way.
    void release() {
        if (size() > 0) return;
        std::vector<char>().swap(bytes_);
        begin_ = end_ = 0;
    }
    std::size_t capacity() const { return bytes_.capacity(); }
    char* data() { return bytes_.data() + begin_; }
    std::size_t size() const { return end_ - begin_; }
    std::string_view view() const { return {bytes_.data() + begin_, size()}; }

private:
    std::vector<char> bytes_;
    std::size_t begin_ = 0, end_ = 0;
};

}  // namespace beechpoint::net
