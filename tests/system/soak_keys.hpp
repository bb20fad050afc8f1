// The tenants' API keys of a soak, and the texts of the configurations that hold them.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "surroundings.hpp"
#include "system.hpp"

namespace beechpoint::system_test {

inline constexpr std::size_t kTenants = 3;
inline constexpr std::size_t kKeys = 8;

inline std::string keyName(std::size_t key) { return fmt::format("{}{}", kKeyMark, key); }

// The tenants' keys and the texts of configurations that hold them.
class TenantKeys {
public:
    TenantKeys() {
        for (std::size_t key = 0; key < kKeys; ++key) holders_[key] = key < 2 * kTenants ? key / 2 : kTenants;
    }

    // kTenants: nobody.
    std::size_t holderOf(std::size_t key) const { return holders_[key]; }
    void move(std::size_t key, std::size_t holder) { holders_[key] = holder; }
    static std::string nameOf(std::size_t holder) {
        return holder < kTenants ? fmt::format("t{}", holder) : "";
    }

    std::string whole(std::uint64_t revision) const {
        return fmt::format(
            R"({{"revision":{},"routes":[{},{},{},{},{},{},{}],"services":[{{"name":"s1","max_connections":60}},)"
            R"({{"name":"s2","max_connections":200}}],"tenants":[{}]}})",
            revision, own(revision), route("safe", "idempotent", false),
            route("once", "non_idempotent", false), route("stream", "streaming", false),
            route("open", "idempotent", true), resumable(route("events", "streaming", false)), pieceRoutes(),
            tenants({0, 1, 2}));
    }
    std::string patch(std::uint64_t revision, const std::set<std::size_t>& changed) const {
        return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}],"tenants":[{}]}}}})", revision,
                           own(revision), tenants(changed));
    }

private:
    static std::string route(const std::string& name, const std::string& type, bool isPublic,
                             const std::string& path = "") {
        return fmt::format(
            R"({{"name":"{}","hostname":"system.example","path_prefix":"{}","type":"{}","timeout_ms":2000,)"
            R"("backend":"s1","public":{}}})",
            name, path.empty() ? "/" + name + "/" : path, type, isPublic);
    }
    static std::string resumable(std::string text) {
        text.insert(text.size() - 1, R"(,"resumable":true,"max_attempts":2)");
        return text;
    }
    // Routes of the service s2, whose hosts stream_host.hpp has.
    static std::string pieceRoutes() {
        const auto pieceRoute = [](const std::string& name) {
            return fmt::format(
                R"({{"name":"{0}","hostname":"system.example","path_prefix":"/{0}/","type":"streaming",)"
                R"("timeout_ms":4000,"backend":"s2","public":true}})",
                name);
        };
        return fmt::format("{},{}", resumable(pieceRoute("resumable")), pieceRoute("parts"));
    }
    static std::string own(std::uint64_t revision) {
        return route("r1", "idempotent", true, routePath(revision));
    }

    std::string tenants(const std::set<std::size_t>& which) const {
        std::string list;
        for (const std::size_t tenant : which) {
            std::string keys;
            for (std::size_t key = 0; key < kKeys; ++key)
                if (holders_[key] == tenant)
                    keys += fmt::format("{}\"{}\"", keys.empty() ? "" : ",", keyName(key));
            list += fmt::format(R"({}{{"name":"{}","api_keys":[{}]}})", list.empty() ? "" : ",",
                                nameOf(tenant), keys);
        }
        return list;
    }

    std::array<std::size_t, kKeys> holders_{};
};

}  // namespace beechpoint::system_test
