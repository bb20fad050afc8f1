/// A JSON value as source of settings::DescribedReader (its interface is described there). Locations are JSON pointers (RFC 6901).
/// A view: the value must stay valid.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/json_text.hpp"

namespace beechpoint::configuration {

class JsonSource {
public:
    static constexpr char kSeparator = '/';
    static constexpr std::string_view kRoot = "/";

    explicit JsonSource(const Json& value) : value_(&value) {}

    bool null() const { return value_->IsNull(); }
    bool isObject() const { return value_->IsObject(); }
    bool isList() const { return value_->IsArray(); }

    std::optional<JsonSource> member(std::string_view name) const {
        const Json* const found = memberOf(*value_, name);
        return found ? std::optional{JsonSource{*found}} : std::nullopt;
    }

    std::optional<double> number() const {
        return value_->IsNumber() ? std::optional{value_->GetDouble()} : std::nullopt;
    }

    std::optional<bool> boolean() const {
        return value_->IsBool() ? std::optional{value_->GetBool()} : std::nullopt;
    }

    std::optional<std::string_view> text() const {
        return value_->IsString() ? std::optional{textOf(*value_)} : std::nullopt;
    }

    template <class Visitor>
    void eachElement(const Visitor& visit) const {
        for (const Json& element : value_->GetArray()) visit(JsonSource{element});
    }

    template <class Visitor>
    void eachMember(const Visitor& visit) const {
        for (const auto& member : value_->GetObject()) visit(textOf(member.name), JsonSource{member.value});
    }

private:
    const Json* value_;
};

}  // namespace beechpoint::configuration
