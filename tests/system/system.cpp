#include "system.hpp"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace beechpoint::system_test {
namespace {

namespace fs = std::filesystem;

constexpr auto kLookEvery = std::chrono::milliseconds(20);
constexpr Millis kStatusMost = 1'000;
constexpr std::size_t kZones = 5;
constexpr std::size_t kLogBytes = 64'000;  // of each process

fs::path makeFolder() {
    std::string name = (fs::temp_directory_path() / "beechpoint-system-XXXXXX").string();
    if (!mkdtemp(name.data())) throw std::runtime_error("no folder for the processes");
    return name;
}

std::string listText(const std::vector<std::string>& texts) {
    std::string list;
    for (const std::string& text : texts) list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", text);
    return list;
}

// A broken variant of the program where $BEECHPOINT_SYSTEM_PROGRAM names one.
std::string program() {
    const char* const variant = std::getenv("BEECHPOINT_SYSTEM_PROGRAM");
    return variant ? variant : BEECHPOINT_PROGRAM;
}

std::string endOf(const fs::path& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return text.size() > kLogBytes ? text.substr(text.size() - kLogBytes) : text;
}

// Hosts of streams have the addresses behind those of the others.
std::vector<asio::ip::tcp::endpoint> hostEndpoints(const Addresses& addresses, std::size_t first,
                                                   std::size_t hosts) {
    std::vector<asio::ip::tcp::endpoint> endpoints;
    for (std::size_t host = first; host < first + hosts; ++host)
        endpoints.push_back(endpointOf(addresses.host(host), Ports::kHost));
    return endpoints;
}

// Whether the kernel lists the signal among those that the process catches.
bool handlesSignals(pid_t process, std::initializer_list<int> signals) {
    const std::string kCaught = "SigCgt:";
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(status, line);) {
        if (!line.starts_with(kCaught)) continue;
        const std::uint64_t caught = std::strtoull(line.c_str() + kCaught.size(), nullptr, 16);
        return std::ranges::all_of(signals, [&](int signal) { return (caught >> (signal - 1) & 1u) != 0; });
    }
    return false;
}

}  // namespace

System::System(Shape shape)
    : shape_(shape),
      folder_(makeFolder()),
      relay_(background_,
             [this](const auto& caller, const auto& called) { return owners_.ownerOf(caller, called); }),
      surroundings_(background_, endpointOf(addresses_.platform(), Ports::kPlatform),
                    hostEndpoints(addresses_, 0, shape.hosts),
                    hostEndpoints(addresses_, shape.hosts, shape.streamHosts)),
      program_(program()) {
    for (std::size_t member = 0; member < kMostMembers; ++member)
        for (const std::uint16_t port : {Ports::kInternal, Ports::kControl})
            relay_.serve(nodeOf(member), endpointOf(addresses_.relayed(member), port),
                         endpointOf(addresses_.member(member), port));
}

System::~System() {
    for (emulator::RealProcess& process : gateways_) process.kill();
    for (emulator::RealProcess& process : members_) process.kill();
    background_.stop();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

bool System::found() {
    for (const std::size_t member : founders()) startMember(member, true);
    for (std::size_t gateway = 0; gateway < shape_.gateways; ++gateway) startGateway(gateway);
    return awaitView(founders());
}

std::string System::commonSettings(const std::string& node, const std::string& ip,
                                   const Members& seeds) const {
    const std::vector<std::string> seedAddresses = controlAddresses(seeds.empty() ? founders() : seeds);
    return fmt::format(
        "node_name = \"{}\"\nip_address = \"{}\"\nregion = \"r1\"\ninternal_port_range = [{},{}]\n"
        "seed_nodes = [{}]\n",
        node, ip, Ports::kInternal, Ports::kInternal, listText(seedAddresses));
}

std::string System::limits() const {
    return fmt::format("[limits]\nmemory_mb = {}\nmax_open_files = {}\n", shape_.memoryMb, shape_.openFiles);
}

std::string System::dutyBounds() const {
    if (!shape_.duties) return {};
    return fmt::format(
        "usage_window_s = {}\nusage_late_s = {}\nlease_ms = {}\nfencing = true\nconfig_apply_ms = {}\n",
        kUsageWindowS, kUsageLate / 1000, kLease, kConfigApply);
}

std::string System::dutySettings() const {
    return shape_.duties ? "assigned_duties = [\"usage_reporting\"]\nduty_per_s = 20\n" : "";
}

void System::startMember(std::size_t member, bool bootstrap, const Members& seeds) {
    const std::string node = nodeOf(member), ip = addresses_.member(member);
    std::string text = commonSettings(node, ip, seeds);
    text += fmt::format(
        "advertised_ip_address = \"{}\"\nnode_role = \"control\"\nmachine_class = \"core\"\n"
        "served_roles = [\"control_plane\",\"directory\"]\nzone = \"z{}\"\nbootstrap = {}\n"
        "data_directory = \"{}\"\n",
        addresses_.relayed(member), 1 + member % kZones, bootstrap, fileOf(node, "data").string());
    text += fmt::format(
        "[listen_addresses]\ncontrol = \"{0}:{1}\"\ndirectory = \"{0}:{2}\"\nreadiness = \"{0}:{3}\"\n"
        "[fault_tolerance]\nmachines = {4}\nzones = {5}\n"
        "[timing_bounds]\n{8}[cloud_api]\naddress = \"{6}:{7}\"\nrate_per_s = 20\n{9}",
        ip, Ports::kControl, Ports::kDirectory, Ports::kReadiness, shape_.machinesToLose, shape_.zonesToLose,
        addresses_.platform(), Ports::kPlatform, dutyBounds(), dutySettings());
    text += limits();
    launch(members_[member], node, "control", text);
}

void System::startGateway(std::size_t gateway, const Members& seeds) {
    const std::string node = gatewayNode(gateway), ip = addresses_.gateway(gateway);
    const std::string directory =
        shape_.gatewayDirectories ? fmt::format("directory = \"{}:{}\"\n", ip, Ports::kDirectory) : "";
    std::string text = commonSettings(node, ip, seeds);
    text += fmt::format(
        "node_role = \"gateway\"\nmachine_class = \"edge\"\nserved_roles = [\"edge\"]\nzone = \"z1\"\n"
        "[listen_addresses]\nfront = \"{0}:{1}\"\nreadiness = \"{0}:{2}\"\n{8}"
        "[fault_tolerance]\nmachines = {3}\n[timing_bounds]\nretry_budget_slack = 50\n{6}"
        "[cloud_api]\naddress = \"{4}:{5}\"\nrate_per_s = 20\n{7}",
        ip, Ports::kFront, Ports::kReadiness, shape_.machinesToLose, addresses_.platform(), Ports::kPlatform,
        dutyBounds(), dutySettings(), directory);
    text += limits();
    launch(gateways_[gateway], node, "gateway", text);
}

void System::launch(emulator::RealProcess& process, const std::string& node, const char* role,
                    const std::string& settings) {
    const fs::path path = fileOf(node, "toml");
    std::ofstream(path) << settings;
    process.launch(program_, {role, "--settings", path.string()}, fileOf(node, "log").string(),
                   shape_.openFiles);
    owners_.add(node, process.pid());
}

void System::killMember(std::size_t member) {
    members_[member].kill();
    owners_.remove(nodeOf(member));
}

void System::killGateway(std::size_t gateway) {
    gateways_[gateway].kill();
    owners_.remove(gatewayNode(gateway));
}

void System::signalMember(std::size_t member, int signal) { members_[member].signal(signal); }
void System::signalGateway(std::size_t gateway, int signal) { gateways_[gateway].signal(signal); }

std::optional<int> System::awaitEnd(std::size_t member, Millis most) {
    return awaitEndOf(members_[member], nodeOf(member), most);
}
std::optional<int> System::awaitGatewayEnd(std::size_t gateway, Millis most) {
    return awaitEndOf(gateways_[gateway], gatewayNode(gateway), most);
}

std::optional<int> System::awaitEndOf(emulator::RealProcess& process, const std::string& node, Millis most) {
    int status = 0;
    if (!await([&] { return process.reap(status); }, most)) return std::nullopt;
    owners_.remove(node);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool System::memberHandlesSignals(std::size_t member) const {
    return runs(member) && handlesSignals(members_[member].pid(), {SIGTERM, SIGHUP});
}
bool System::gatewayHandlesSignals(std::size_t gateway) const {
    return gateways_[gateway].runs() && handlesSignals(gateways_[gateway].pid(), {SIGTERM, SIGHUP});
}

void System::wipe(std::size_t member) {
    if (runs(member)) throw std::logic_error("a disk is emptied only while its process does not run");
    fs::remove_all(fileOf(nodeOf(member), "data"));
}

bool System::await(const std::function<bool()>& condition, Millis most) {
    const Millis end = clock_.now() + most;
    asio::io_context io(1);
    while (!condition()) {
        if (clock_.now() >= end) return false;
        asio::steady_timer timer(io, kLookEvery);
        timer.async_wait([](const asio::error_code&) {});
        io.restart();
        io.run();
    }
    return true;
}

bool System::inView(std::size_t member, const Members& members) const {
    const nlohmann::json status = statusOf(member);
    if (status.is_null() || !status["in_view"] || !status["fresh"]) return false;
    const auto& view = status["view"]["members"];
    return view.size() == members.size() && std::ranges::all_of(view, [&](const auto& entry) {
               return std::ranges::any_of(members,
                                          [&](std::size_t one) { return nodeOf(one) == entry["name"]; });
           });
}

bool System::awaitView(const Members& members, Millis most) {
    return await(
        [&] {
            bool writable = false;
            for (const std::size_t member : members) {
                if (!inView(member, members)) return false;
                writable = writable || statusOf(member).value("writable", false);
            }
            return writable;
        },
        most);
}

bool System::awaitGateways(std::uint64_t revision, Millis most) {
    for (std::size_t gateway = 0; gateway < shape_.gateways; ++gateway)
        if (!await([&] { return askGateway(gateway, revision) == 200; }, most)) return false;
    return true;
}

nlohmann::json System::statusOf(std::size_t member) const {
    HttpCall call;
    call.address = addressText(addresses_.member(member), Ports::kReadiness);
    call.target = "/status";
    call.most = kStatusMost;
    const HttpAnswer answer = exchange(call);
    return answer.status == 200 ? nlohmann::json::parse(answer.body) : nlohmann::json();
}

int System::askGateway(std::size_t gateway, std::uint64_t revision) {
    HttpCall call;
    call.address = addressText(addresses_.gateway(gateway), Ports::kFront);
    call.target = routePath(revision) + "x";
    call.attemptId = fmt::format("a{}", ++asked_);
    return exchange(call).status;
}

std::string System::nodeOf(std::size_t member) const { return fmt::format("core-{}", member + 1); }
std::string System::gatewayNode(std::size_t gateway) const { return fmt::format("edge-{}", gateway + 1); }

std::string System::controlAddress(std::size_t member) const {
    return addressText(addresses_.relayed(member), Ports::kControl);
}
std::string System::directControl(std::size_t member) const {
    return addressText(addresses_.member(member), Ports::kControl);
}
std::string System::directInternal(std::size_t member) const {
    return addressText(addresses_.member(member), Ports::kInternal);
}

asio::ip::tcp::endpoint System::streamHost(std::size_t host) const {
    return endpointOf(addresses_.host(shape_.hosts + host), Ports::kHost);
}

std::string System::frontAddress(std::size_t gateway) const {
    return addressText(addresses_.gateway(gateway), Ports::kFront);
}

std::vector<std::string> System::gatewayMetrics() const {
    std::vector<std::string> addresses;
    for (std::size_t gateway = 0; gateway < shape_.gateways; ++gateway)
        addresses.push_back(addressText(addresses_.gateway(gateway), Ports::kReadiness));
    return addresses;
}

Members System::chainAt(std::size_t member) const {
    Members chain;
    const nlohmann::json status = statusOf(member);
    if (status.is_null()) return chain;
    for (const auto& entry : status["view"]["members"]) chain.push_back(memberAt(entry["control_address"]));
    return chain;
}

std::vector<std::string> System::controlAddresses(const Members& members) const {
    std::vector<std::string> addresses;
    for (const std::size_t member : members) addresses.push_back(controlAddress(member));
    return addresses;
}

std::size_t System::memberAt(const std::string& address) const {
    std::size_t member = 0;
    while (member < kMostMembers && controlAddress(member) != address) ++member;
    return member;
}

Members System::founders() const {
    Members all;
    for (std::size_t member = 0; member < shape_.members; ++member) all.push_back(member);
    return all;
}

fs::path System::fileOf(const std::string& node, const char* ending) const {
    return folder_ / fmt::format("{}.{}", node, ending);
}

std::string System::logs() const {
    std::string all;
    for (const auto& entry : fs::directory_iterator(folder_))
        if (entry.path().extension() == ".log")
            all += fmt::format("--- {}\n{}\n", entry.path().filename().string(), endOf(entry.path()));
    return all;
}

std::string routePath(std::uint64_t revision, const std::string& author) {
    return fmt::format("/{}-{}/", author, revision);
}

std::string configurationText(std::uint64_t revision, const std::string& author) {
    return fmt::format(
        R"({{"revision":{},"routes":[{{"name":"r1","hostname":"system.example","path_prefix":"{}",)"
        R"("type":"idempotent","timeout_ms":2000,"backend":"s1"}},)"
        R"({{"name":"steady","hostname":"system.example","path_prefix":"/steady/",)"
        R"("type":"idempotent","timeout_ms":2000,"backend":"s1"}},)"
        R"({{"name":"work","hostname":"system.example","path_prefix":"/once/",)"
        R"("type":"idempotent","timeout_ms":2000,"backend":"s1"}},)"
        R"({{"name":"long","hostname":"system.example","path_prefix":"/large/",)"
        R"("type":"idempotent","timeout_ms":20000,"backend":"s1"}},)"
        R"({{"name":"stream","hostname":"system.example","path_prefix":"/stream/",)"
        R"("type":"idempotent","timeout_ms":2000,"backend":"s1"}}],)"
        R"("services":[{{"name":"s1","max_connections":10}}]}})",
        revision, routePath(revision, author));
}

}  // namespace beechpoint::system_test
