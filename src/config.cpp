#include "config.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "coordinator/settings_json.hpp"
#include "lease_sessions/messages.hpp"

namespace beechpoint {

namespace {

using Json = nlohmann::json;

const Json& need(const Json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end()) throw BadConfig(fmt::format("key {} is missing", key));
    return *found;
}

std::string text(const Json& object, const char* key) {
    const Json& value = need(object, key);
    if (!value.is_string()) throw BadConfig(fmt::format("key {} must be text", key));
    return value.get<std::string>();
}

asio::ip::tcp::endpoint address(const Json& object, const char* key) {
    const auto endpoint = backend::readEndpoint(text(object, key));
    if (!endpoint) throw BadConfig(fmt::format("key {} must be ADDRESS:PORT", key));
    return *endpoint;
}

std::uint64_t readSeed(const std::string& hex) {
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
    if (error != std::errc{} || end != hex.data() + hex.size())
        throw BadConfig("key seed must be at most 16 hex digits");
    return seed;
}

void readSettings(const Json& json, Config& config) {
    const std::string settings = need(json, "settings").dump();
    config.settings = coordinator::readSettings(settings);
    for (const coordinator::ClassSettings& c : config.settings.classes)
        if (c.secondStep > 0)
            throw BadConfig(fmt::format("class {} has a second step, which no front speaks", c.name));
    const auto limits = coordinator::readConnectionSettings(settings);
    if (config.settings.dialTimeout > 0)
        config.connections.dialTimeout = fromNanos(config.settings.dialTimeout);
    config.connections.idle = limits.idle > 0 ? fromNanos(limits.idle) : 1e12;
    config.connections.calls = static_cast<std::size_t>(limits.callsAtOnce);
    config.connections.bundle = static_cast<std::size_t>(limits.partsInCall);
}

cluster::Settings readGroup(const Json& section, const Config& config) {
    // On a platform that forbids messages nothing of it is on, whatever a file says.
    if (!config.peersAllowed)
        throw BadConfig("group: the configuration has no peers, or its settings forbid messages");
    const auto udp = [](const asio::ip::tcp::endpoint& at) {
        return asio::ip::udp::endpoint(at.address(), at.port());
    };
    cluster::Settings group;
    group.name = section.value("name", group.name);
    group.listen = udp(address(section, "listen"));
    const Json& members = need(section, "members");
    for (const auto& [name, at] : members.items())
        group.members.emplace(name, udp(address(members, name.c_str())));
    group.voters = need(section, "voters").get<std::vector<std::string>>();
    group.holds = section.value("holds", true);
    group.singletonRoles = section.value("duties", std::vector<std::string>());
    group.folder = section.value("folder", std::string());
    group.proberDuty = section.value("lookout", std::string());
    if (!group.proberDuty.empty()) group.singletonRoles.push_back(group.proberDuty);
    for (const std::string& singletonRole : group.singletonRoles)
        if (singletonRole.empty() || singletonRole.size() > lease_sessions::kMaxRoleNameBytes)
            throw BadConfig(fmt::format("group: duty '{}' must have 1 to {} bytes", singletonRole,
                                        lease_sessions::kMaxRoleNameBytes));
    if (!group.members.contains(config.name))
        throw BadConfig(fmt::format("group: this gatherer, {}, is none of the members", config.name));
    return group;
}

}  // namespace

Config readConfig(const std::string& source, const Clock& clock) {
    const Json json = Json::parse(source, nullptr, false);
    if (!json.is_object()) throw BadConfig("expected a JSON object");
    Config config;
    try {
        config.name = text(json, "name");
        config.listen = address(json, "listen");
        config.discovery = address(json, "discovery");
        if (json.contains("operator")) config.operatorEndpoint = address(json, "operator");
        config.seed = readSeed(text(json, "seed"));
        if (json.contains("limits") && json["limits"].contains("sockets"))
            config.sockets = json["limits"]["sockets"].get<std::size_t>();
        if (json.contains("limits") && json["limits"].contains("memory_mb"))
            config.memoryMb = json["limits"]["memory_mb"].get<std::int64_t>();
        config.known = discovery::readListing(need(json, "known"), clock);
        config.known.list.kind = coordinator::ListKind::remembered;
        readSettings(json, config);
        const Json permissions = json["settings"].value("permissions", Json::object());
        config.peersAllowed = json.contains("peers") && permissions.value("peerMessages", false);
        // The module checks the rest itself, and names the key.
        coordinator::Coordinator(config.settings, config.seed, 0);
    } catch (const BadConfig&) {
        throw;
    } catch (const std::exception& e) {
        throw BadConfig(e.what());
    }
    return config;
}

void readOperatorEndpoint(const std::string& text, Config& config) {
    config.operatorEndpoint = backend::readEndpoint(text);
    if (!config.operatorEndpoint)
        throw BadConfig(fmt::format("$NODE_OPERATOR must be ADDRESS:PORT, not {}", text));
}

void readOperator(const std::string& source, Config& config) {
    const Json json = Json::parse(source, nullptr, false);
    if (!json.is_object()) throw BadConfig("operator's file: expected a JSON object");
    try {
        for (const auto& [name, section] : json.items()) {
            if (name == "opensearch") {
                Config::Search search;
                search.listen = address(section, "listen");
                for (const auto& [index, klass] : need(section, "indexes").items()) {
                    const auto& classes = config.settings.classes;
                    if (std::none_of(classes.begin(), classes.end(),
                                     [&](const auto& c) { return klass == c.name; }))
                        throw BadConfig(fmt::format("index {} names no class of the settings", index));
                    search.classOfIndex[index] = klass.get<std::string>();
                }
                const std::string back = section.value("trackHosts", "frames");
                if (back != "frames" && back != "opensearch")
                    throw BadConfig("key trackHosts must be frames or opensearch");
                config.searchTrackHosts = back == "opensearch";
                config.search = std::move(search);
            } else if (name == "snmp") {
                const auto at = address(section, "listen");
                config.snmp.emplace(at.address(), at.port());
                config.snmpCommunity = section.value("community", config.snmpCommunity);
            } else if (name == "group") {
                config.group = readGroup(section, config);
            } else {
                throw BadConfig(fmt::format("operator's file: unknown section {}", name));
            }
        }
    } catch (const BadConfig&) {
        throw;
    } catch (const std::exception& e) {
        throw BadConfig(e.what());
    }
}

namespace {

std::string readAll(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw BadConfig(fmt::format("can't open {}", path));
    return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace

void readOperatorFile(const std::string& path, Config& config) { readOperator(readAll(path), config); }

Config readConfigFile(const std::string& path, const Clock& clock) {
    return readConfig(readAll(path), clock);
}

}  // namespace beechpoint
