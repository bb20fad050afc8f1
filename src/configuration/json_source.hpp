// A JSON value as source of settings::DescribedReader. Places are JSON pointers.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::configuration {

using Json = nlohmann::ordered_json;  // keeps the order of members as sent

class JsonSource {
public:
    static constexpr char kSeparator = '/';
    static constexpr std::string_view kRoot = "/";

    explicit JsonSource(const Json& value) : value_(&value) {}

    bool null() const { return value_->is_null(); }
    bool isObject() const { return value_->is_object(); }
    bool isList() const { return value_->is_array(); }

    std::optional<JsonSource> member(const std::string& name) const {
        const auto found = value_->find(name);
        return found == value_->end() ? std::nullopt : std::optional{JsonSource{*found}};
    }

    std::optional<double> number() const {
        return value_->is_number() ? std::optional{value_->get<double>()} : std::nullopt;
    }

    std::optional<bool> boolean() const {
        return value_->is_boolean() ? std::optional{value_->get<bool>()} : std::nullopt;
    }

    std::optional<std::string_view> text() const {
        if (!value_->is_string()) return std::nullopt;
        return std::string_view{value_->get_ref<const std::string&>()};
    }

    template <class Visitor>
    void eachElement(const Visitor& visit) const {
        for (const Json& element : *value_) visit(JsonSource{element});
    }

    template <class Visitor>
    void eachMember(const Visitor& visit) const {
        for (const auto& [name, member] : value_->items()) visit(std::string_view{name}, JsonSource{member});
    }

private:
    const Json* value_;
};

}  // namespace beechpoint::configuration
