// The program's command line: one program, a role or a client call per sub-command.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "cli/cli.hpp"

#ifdef BEECHPOINT_SYSTEM
#include "cli/system.hpp"
#endif

using namespace beechpoint;
using cli::kUsage;

namespace {

struct Options {
    std::string config, operatorFile, operatorEndpoint, logFormat = "text";
    std::vector<std::string> groupWords;
};

std::string environment(const char* name) {
    const char* const value = std::getenv(name);
    return value ? value : "";
}

std::string configPath(const Options& options) {
    return options.config.empty() ? environment("NODE_CONFIG") : options.config;
}

Config readConfig(const Options& options, const Clock& clock) {
    Config config = readConfigFile(configPath(options), clock);
    const std::string endpoint = environment("NODE_OPERATOR");
    if (!endpoint.empty()) readOperatorEndpoint(endpoint, config);
    return config;
}

int runGroup(const Options& options, const Clock& clock) {
    std::string endpoint =
        options.operatorEndpoint.empty() ? environment("NODE_OPERATOR") : options.operatorEndpoint;
    if (endpoint.empty()) {
        const Config config = readConfig(options, clock);
        if (config.operatorEndpoint)
            endpoint = fmt::format("{}:{}", config.operatorEndpoint->address().to_string(),
                                   config.operatorEndpoint->port());
    }
    return cli::group(options.groupWords, endpoint);
}

int runGatherer(const Options& options, bool checkOnly, Clock& clock, Logger& log) {
    Config config = readConfig(options, clock);
    const std::string folder = environment("TMPDIR");
    config.stateFolder = folder.empty() ? "/tmp" : folder;
    if (!options.operatorFile.empty()) readOperatorFile(options.operatorFile, config);
    if (!checkOnly) return cli::serve(config, configPath(options), clock, log);
    std::cout << "the configuration is sound: " << config.settings.classes.size() << " classes, "
              << config.known.list.entries.size() << " hosts known\n";
    return 0;
}

void addGathererOptions(CLI::App& command, Options& options) {
    command.add_option("-c,--config", options.config, "the configuration's file; $NODE_CONFIG where absent");
    command.add_option("-o,--operator", options.operatorFile, "an operator's file: the query API, SNMP");
    command.add_option("--log-format", options.logFormat, "text, or json: one object a line");
}

bool needsConfig(const Options& options) {
    if (!configPath(options).empty()) return false;
    std::cerr << "beechpoint: name a configuration by --config or NODE_CONFIG\n";
    return true;
}

}  // namespace

int main(int argc, char** argv) {
    Clock clock;
    Options options;
    CLI::App app("Serves requests in front of hosts, and keeps the configuration of those that do",
                 "beechpoint");
    app.require_subcommand(1);
    app.fallthrough();
    addGathererOptions(app, options);
    auto* const serve = app.add_subcommand("serve", "gathers answers of track hosts until SIGTERM");
    auto* const check = app.add_subcommand("check-config", "says what is wrong with the configuration");
    auto* const group = app.add_subcommand("group", "asks a running gatherer about its group");
    group->add_option("words", options.groupWords, "show, found NUMBER, take DUTY, give DUTY [MEMBER]");
    group->add_option("--door", options.operatorEndpoint,
                      "a running gatherer's operators' door, ADDRESS:PORT");
    auto* const version = app.add_subcommand("version", "prints the version");
#ifdef BEECHPOINT_SYSTEM
    cli::SystemCommands system(app);
#endif
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : kUsage;
    }
    if (*version) {
        std::cout << "beechpoint " << BEECHPOINT_VERSION << '\n';
        return 0;
    }
    if (options.logFormat != "text" && options.logFormat != "json") {
        std::cerr << "beechpoint: --log-format must be text or json\n";
        return kUsage;
    }
    const auto format = options.logFormat == "json" ? logging::Format::json : logging::Format::text;
    Logger log(clock, format);
    try {
#ifdef BEECHPOINT_SYSTEM
        if (system.given()) return system.run(clock);
#endif
        if (*group) {
            const bool endpointKnown =
                !options.operatorEndpoint.empty() || !environment("NODE_OPERATOR").empty();
            if (!endpointKnown && needsConfig(options)) return kUsage;
            return runGroup(options, clock);
        }
        if (needsConfig(options)) return kUsage;
        return runGatherer(options, static_cast<bool>(*check) && !*serve, clock, log);
    } catch (const BadConfig& error) {
        log.warn("bad configuration: {}", field("error", std::string_view(error.what())));
    } catch (const std::exception& error) {
        log.warn("can't go on: {}", field("error", std::string_view(error.what())));
    }
    return 1;
}
