/// Common scheme of this folder's codecs: a message is a MessagePack array of its fields, an enum is its number.
///
/// A message type has a specialisation of Fields, which ties its fields in the order of the wire; new ones go to the end, since a receiver keeps
/// the defaults of fields that are missing and ignores those that it does not know. An enum has a specialisation of EnumBounds; a number
/// beyond it makes the message malformed. For the codecs of this folder only: message_fields.hpp and replica_codec.cpp specialise.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

#include "core/result.hpp"
#include "rpc/codec.hpp"

namespace beechpoint::control {

/// Specialise with: static auto of(auto& message) { return std::tie(message.a, message.b); }
template <class T>
struct Fields;

/// Specialise with the index of the first field that is left out at the end of a message while it and all after it have their defaults: those
/// that were added after bytes of the message had been kept or sent by an earlier version.
template <class T>
struct FirstOmittable {
    static constexpr std::size_t kIndex = std::tuple_size_v<decltype(Fields<T>::of(std::declval<T&>()))>;
};

/// Number of the message's fields that are written: all but those that FirstOmittable permits to omit.
template <class T>
std::size_t writtenFields(const T& message) {
    static const T kDefaults{};
    const auto fields = Fields<T>::of(message);
    const auto defaults = Fields<T>::of(kDefaults);
    std::size_t written = FirstOmittable<T>::kIndex;
    const auto check = [&]<std::size_t kField>() {
        if constexpr (kField >= FirstOmittable<T>::kIndex)
            if (!(std::get<kField>(fields) == std::get<kField>(defaults))) written = kField + 1;
    };
    [&]<std::size_t... kField>(std::index_sequence<kField...>) { (check.template operator()<kField>(), ...); }
    (std::make_index_sequence<std::tuple_size_v<decltype(fields)>>());
    return written;
}

/// Specialise with: static constexpr std::uint8_t kLast, the largest value that is known.
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

/// False for a number, or an optional one, that is infinite or not a number: times and ages are added and compared, and such a value
/// would last for ever.
template <class T>
bool isFinite(const T& field) {
    if constexpr (std::is_floating_point_v<T>)
        return std::isfinite(field);
    else if constexpr (std::is_same_v<T, std::optional<double>>)
        return !field || std::isfinite(*field);
    else
        return true;
}

/// The error for malformed bytes.
/// @param location which part can't be read
inline Error malformed(std::string location, std::string why) {
    return {ErrorKind::invalid, std::move(location), std::move(why),
            "check that both processes are of one version"};
}

}  // namespace beechpoint::control

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    template <beechpoint::control::HasFields T>
    struct pack<T> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
            const std::size_t written = beechpoint::control::writtenFields(value);
            const auto packAll = [&out, written](const auto&... field) {
                out.pack_array(static_cast<std::uint32_t>(written));
                std::size_t index = 0;
                ((index++ < written ? static_cast<void>(out.pack(field)) : static_cast<void>(0)), ...);
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
                if (!beechpoint::control::isFinite(field)) throw msgpack::type_error();
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
