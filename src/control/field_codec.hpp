// Messages as msgpack arrays of their fields. A message type has a specialisation of Fields, which ties its fields in the order of
// the wire; new ones go to the end. For the codecs of this folder only.
#pragma once

#include <cstdint>
#include <tuple>
#include <type_traits>

#include "rpc/codec.hpp"

namespace beechpoint::control {

// Specialise with: static auto of(auto& message) { return std::tie(message.a, message.b); }
template <class T>
struct Fields;

// Specialise with: static constexpr std::uint8_t kLast, the largest value that is known.
template <class T>
struct EnumBounds;

template <class T>
concept HasFields = requires(T& value) {
    Fields<T>::of(value);
};
template <class T>
concept BoundedEnum = requires {
    EnumBounds<T>::kLast;
};

}  // namespace beechpoint::control

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    template <beechpoint::control::HasFields T>
    struct pack<T> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
            const auto packAll = [&out](const auto&... field) {
                out.pack_array(sizeof...(field));
                (out.pack(field), ...);
            };
            std::apply(packAll, beechpoint::control::Fields<T>::of(value));
            return out;
        }
    };
    // Fields missing at the end keep their defaults; more of them than known are ignored.
    template <beechpoint::control::HasFields T>
    struct convert<T> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const {
            if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
            std::uint32_t index = 0;
            const auto read = [&](auto& field) {
                if (index < object.via.array.size) object.via.array.ptr[index].convert(field);
                index++;
            };
            std::apply([&read](auto&... field) { (read(field), ...); },
                       beechpoint::control::Fields<T>::of(value));
            return object;
        }
    };

    template <beechpoint::control::BoundedEnum T>
    struct pack<T> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
            out.pack(static_cast<std::uint8_t>(value));
            return out;
        }
    };
    template <beechpoint::control::BoundedEnum T>
    struct convert<T> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const {
            std::uint8_t number = 0;
            object.convert(number);
            if (number > beechpoint::control::EnumBounds<T>::kLast) throw msgpack::type_error();
            value = static_cast<T>(number);
            return object;
        }
    };

    }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack
