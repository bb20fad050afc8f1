// Values as MessagePack, by a function fields(x) beside each struct that ties its members: one list for both ways.
// What comes from outside is checked on reading: kind, count, types, no more than one object.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace beechpoint::gossip {

template <class T>
concept Tied = requires(T& x) {
    fields(x);
};

template <class T>
concept TiedList = requires(T& x) {
    x.resize(1);
    fields(x.front());
};

template <class Packer, class T>
void packField(Packer& packer, T& x) {
    if constexpr (Tied<T>) {
        std::apply(
            [&](auto&... f) {
                packer.pack_array(sizeof...(f));
                (packField(packer, f), ...);
            },
            fields(x));
    } else if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<unsigned>(x));
    } else if constexpr (TiedList<T>) {
        packer.pack_array(static_cast<std::uint32_t>(x.size()));
        for (auto& one : x) packField(packer, one);
    } else {
        packer.pack(x);
    }
}
template <class T>
void readField(const msgpack::object& from, T& x) {
    if constexpr (Tied<T>) {
        std::apply(
            [&](auto&... f) {
                if (from.type != msgpack::type::ARRAY || from.via.array.size != sizeof...(f))
                    throw msgpack::type_error();
                std::size_t i = 0;
                (readField(from.via.array.ptr[i++], f), ...);
            },
            fields(x));
    } else if constexpr (std::is_enum_v<T>) {
        const auto value = from.as<unsigned>();
        if (value > 32) throw msgpack::type_error();
        x = static_cast<T>(value);
    } else if constexpr (TiedList<T>) {
        if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
        x.resize(from.via.array.size);
        for (std::uint32_t i = 0; i < from.via.array.size; ++i) readField(from.via.array.ptr[i], x[i]);
    } else {
        x = from.as<T>();
    }
}

// A variant of such structs as [kind, fields].
template <class... T>
std::string writeVariant(const std::variant<T...>& body) {
    msgpack::sbuffer out;
    msgpack::packer<msgpack::sbuffer> packer(out);
    packer.pack_array(2);
    packer.pack(static_cast<unsigned>(body.index()));
    std::visit(
        [&](const auto& b) {
            auto copy = b;
            packField(packer, copy);
        },
        body);
    return {out.data(), out.size()};
}
template <class... T>
std::optional<std::variant<T...>> readVariant(std::string_view bytes) {
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr,
                            msgpack::unpack_limit(16, 0, 256, 256, 0, 8));
        const msgpack::object& o = handle.get();
        if (offset != bytes.size() || o.type != msgpack::type::ARRAY || o.via.array.size != 2)
            return std::nullopt;
        const auto kind = o.via.array.ptr[0].as<std::size_t>();
        std::optional<std::variant<T...>> body;
        std::size_t i = 0;
        const auto one = [&]<class U>(std::in_place_type_t<U>) {
            if (i++ != kind) return;
            U value;
            readField(o.via.array.ptr[1], value);
            body.emplace(std::in_place_type<U>, std::move(value));
        };
        (one(std::in_place_type<T>), ...);
        return body;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace beechpoint::gossip
