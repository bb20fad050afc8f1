/// Typed messages as bytes, with MessagePack. A message is a struct with MSGPACK_DEFINE(fields...) or with an adaptor;
/// the types of the replicated table have their adaptors here. Fields have no names on the wire but their order: add new ones
/// at the end. Pure functions; to be called from any thread.
#pragma once

#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::rpc {

namespace detail {

/// Appends to a string, so that packing makes one buffer.
struct StringSink {
    std::string& bytes;
    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};

inline Error malformed(std::string reason) {
    return {ErrorKind::invalid, "message", std::move(reason), "check that both processes are of one version"};
}

inline constexpr std::size_t kMaxDepth = 64;  ///< of nested values

}  // namespace detail

template <class T>
[[nodiscard]] std::string pack(const T& message) {
    std::string bytes;
    detail::StringSink sink{bytes};
    msgpack::pack(sink, message);
    return bytes;
}

/// Never throws: bytes that are not exactly one message of this type are an error of kind `invalid`.
template <class T>
[[nodiscard]] Result<T> unpack(std::string_view bytes) {
    try {
        const std::size_t maxElements = bytes.size();  // each takes at least one byte
        std::size_t offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr,
                            msgpack::unpack_limit(maxElements, maxElements, maxElements, maxElements,
                                                  maxElements, detail::kMaxDepth));
        if (offset != bytes.size()) return detail::malformed("bytes follow the message");
        return handle.get().as<T>();
    } catch (const std::exception& error) {
        return detail::malformed(error.what());
    }
}

}  // namespace beechpoint::rpc

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    // Arrays of fixed length, as MSGPACK_DEFINE makes them.
    template <>
    struct convert<beechpoint::Position> {
        const msgpack::object& operator()(const msgpack::object& object,
                                          beechpoint::Position& position) const {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
                throw msgpack::type_error();
            object.via.array.ptr[0].convert(position.epoch);
            object.via.array.ptr[1].convert(position.sequence);
            return object;
        }
    };
    template <>
    struct pack<beechpoint::Position> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const beechpoint::Position& position) const {
            out.pack_array(2);
            out.pack(position.epoch);
            out.pack(position.sequence);
            return out;
        }
    };

    template <>
    struct convert<beechpoint::Change> {
        const msgpack::object& operator()(const msgpack::object& object, beechpoint::Change& change) const {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
                throw msgpack::type_error();
            object.via.array.ptr[0].convert(change.key);
            object.via.array.ptr[1].convert(change.value);
            return object;
        }
    };
    template <>
    struct pack<beechpoint::Change> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const beechpoint::Change& change) const {
            out.pack_array(2);
            out.pack(change.key);
            out.pack(change.value);
            return out;
        }
    };

    template <>
    struct convert<beechpoint::Batch> {
        const msgpack::object& operator()(const msgpack::object& object, beechpoint::Batch& batch) const {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
                throw msgpack::type_error();
            object.via.array.ptr[0].convert(batch.position);
            object.via.array.ptr[1].convert(batch.changes);
            return object;
        }
    };
    template <>
    struct pack<beechpoint::Batch> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const beechpoint::Batch& batch) const {
            out.pack_array(2);
            out.pack(batch.position);
            out.pack(batch.changes);
            return out;
        }
    };

    template <>
    struct convert<beechpoint::TableUpdate> {
        const msgpack::object& operator()(const msgpack::object& object,
                                          beechpoint::TableUpdate& update) const {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 3)
                throw msgpack::type_error();
            object.via.array.ptr[0].convert(update.position);
            object.via.array.ptr[1].convert(update.whole);
            object.via.array.ptr[2].convert(update.changes);
            return object;
        }
    };
    template <>
    struct pack<beechpoint::TableUpdate> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const beechpoint::TableUpdate& update) const {
            out.pack_array(3);
            out.pack(update.position);
            out.pack(update.whole);
            out.pack(update.changes);
            return out;
        }
    };

    }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack
