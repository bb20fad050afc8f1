/// A value of a TOML file as source of DescribedReader (its interface is described there). A view: the file must stay parsed.
#pragma once

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::settings {

class TomlSource {
public:
    static constexpr char kSeparator = '.';
    static constexpr std::string_view kRoot = "";

    explicit TomlSource(const toml::node& node) : node_(&node) {}

    bool null() const { return false; }
    bool isObject() const { return node_->is_table(); }
    bool isList() const { return node_->is_array(); }

    std::optional<TomlSource> member(std::string_view name) const {
        const toml::node* const found = node_->as_table()->get(name);
        return found ? std::optional{TomlSource{*found}} : std::nullopt;
    }

    std::optional<double> number() const {
        if (!node_->is_number()) return std::nullopt;
        return node_->value<double>();
    }

    std::optional<bool> boolean() const {
        if (!node_->is_boolean()) return std::nullopt;
        return node_->value<bool>();
    }

    std::optional<std::string_view> text() const {
        if (!node_->is_string()) return std::nullopt;
        return std::string_view{node_->as_string()->get()};
    }

    template <class Visitor>
    void eachElement(const Visitor& visit) const {
        for (const toml::node& element : *node_->as_array()) visit(TomlSource{element});
    }

    template <class Visitor>
    void eachMember(const Visitor& visit) const {
        for (const auto& [name, member] : *node_->as_table())
            visit(std::string_view{name}, TomlSource{member});
    }

private:
    const toml::node* node_;
};

}  // namespace beechpoint::settings
