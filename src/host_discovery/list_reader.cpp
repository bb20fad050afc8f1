#include "host_discovery/list_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::host_discovery {
namespace {

constexpr int kOk = 200;
constexpr double kBackoffJitter = 0.5;  // a backoff is shortened by up to this fraction
constexpr int kMaxDoublings = 10;

// Tokens come from the platform: everything but unreserved characters (RFC 3986, 2.3) is escaped.
std::string escaped(std::string_view text) {
    std::string result;
    for (const char byte : text) {
        const bool isDigit = byte >= '0' && byte <= '9';
        const bool isAlphabetic = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
        if (isDigit || isAlphabetic || byte == '-' || byte == '_' || byte == '.' || byte == '~')
            result += byte;
        else
            result += fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
    return result;
}

}  // namespace

ListReader::ListReader(Settings settings, std::uint64_t seed, std::uint64_t readerId)
    : settings_(settings), random_(seed), readerId_(readerId) {}

void ListReader::start(Millis now, std::uint64_t fencingToken, std::uint64_t lastNumber,
                       std::shared_ptr<const HostList> known) {
    state_ = State::waiting;
    fencingToken_ = fencingToken;
    number_ = lastNumber;
    nextAt_ = now;
    failures_ = 0;
    restarts_ = 0;
    missingBefore_.clear();
    list_ = std::move(known);
    confirmedAt_ = list_ ? list_->readAt : 0;
}

void ListReader::stop() {
    state_ = State::idle;
    hosts_.clear();
    pageToken_.clear();
}

void ListReader::raiseNumber(std::uint64_t number) { number_ = std::max(number_, number); }

std::optional<Millis> ListReader::nextAt() const {
    if (state_ != State::waiting) return std::nullopt;
    return nextAt_;
}

std::optional<ListReader::Call> ListReader::nextCall(Millis now) {
    if (state_ != State::waiting || now < nextAt_) return std::nullopt;
    state_ = State::calling;
    if (pageToken_.empty()) {
        beginReading();
        beganAt_ = now;
    }
    Call call;
    call.target = "/instances";
    if (!pageToken_.empty()) call.target += "?page_token=" + escaped(pageToken_);
    call.deadline = now + settings_.callTimeout;
    return call;
}

void ListReader::beginReading() {
    hosts_.clear();
    pageToken_.clear();
    pages_ = 0;
    complete_ = true;
}

ListReader::Outcome ListReader::onAnswer(Millis now, int status, std::string_view body) {
    if (state_ != State::calling) return Outcome::nothing;
    if (status != kOk) return onFailure(now);
    auto page = parsePage(body);
    if (!page) return onFailure(now);
    return addPage(now, std::move(page.value()));
}

ListReader::Outcome ListReader::onFailure(Millis now) {
    if (state_ != State::calling) return Outcome::nothing;
    state_ = State::waiting;
    pageToken_.clear();
    restarts_ = 0;
    const int doublings = std::min(failures_, kMaxDoublings);
    failures_++;
    const Millis backoff = std::min(settings_.backoffMost, settings_.backoffFirst * (1 << doublings));
    nextAt_ = now + backoff * (1 - kBackoffJitter * random_());
    return Outcome::failed;
}

ListReader::Outcome ListReader::addPage(Millis now, Page page) {
    pages_++;
    if (page.unreadable > 0) complete_ = false;
    bool torn = false;
    for (Host& host : page.hosts) {
        std::string id = host.instanceId;
        if (hosts_.size() >= settings_.maxHosts) return onFailure(now);
        torn |= !hosts_.insert_or_assign(std::move(id), std::move(host)).second;
    }
    if (torn && pages_ > 1) {
        if (restarts_ < settings_.maxRestarts) return restart(now);
        complete_ = false;
    }
    if (!page.nextPageToken) return finish(now);
    const bool leadsNowhere = *page.nextPageToken == pageToken_ || pages_ >= settings_.maxPages;
    if (leadsNowhere) return onFailure(now);
    pageToken_ = *page.nextPageToken;
    state_ = State::waiting;
    nextAt_ = now;
    return Outcome::nothing;
}

ListReader::Outcome ListReader::restart(Millis now) {
    restarts_++;
    pageToken_.clear();
    state_ = State::waiting;
    nextAt_ = now;
    return Outcome::nothing;
}

// Adds hosts that are on the list, but not in this reading, to those read, unless an earlier reading lacked them too. Gives the ids
// of those added.
std::set<std::string> ListReader::addMissingHosts() {
    std::set<std::string> missing;
    if (!list_) return missing;
    for (const Host& known : list_->hosts) {
        if (hosts_.contains(known.instanceId)) continue;
        if (complete_ && missingBefore_.contains(known.instanceId)) continue;
        missing.insert(known.instanceId);
        Host host = known;
        const Millis passed = beganAt_ - list_->readAt;
        host.warmupLeft = std::max(0.0, host.warmupLeft - passed);
        if (host.remaining) host.remaining = std::max(0.0, *host.remaining - passed);
        hosts_.emplace(host.instanceId, std::move(host));
    }
    return missing;
}

std::vector<Host> ListReader::moveHosts() {
    std::vector<Host> hosts;
    hosts.reserve(hosts_.size());
    for (auto& [id, host] : hosts_) hosts.push_back(std::move(host));
    hosts_.clear();
    return hosts;
}

ListReader::Outcome ListReader::finish(Millis now) {
    std::set<std::string> missing = addMissingHosts();
    // A reading that may lack entries neither confirms an absence nor begins one.
    if (complete_) missingBefore_ = std::move(missing);
    state_ = State::waiting;
    pageToken_.clear();
    restarts_ = 0;
    failures_ = 0;
    const Millis period = std::max(settings_.period, settings_.periodPerPage * pages_);
    nextAt_ = std::max(now, beganAt_ + period);
    confirmedAt_ = beganAt_;
    HostList read{{}, beganAt_, moveHosts()};
    if (list_ && sameHosts(*list_, read, settings_.timeTolerance)) return Outcome::confirmed;
    number_++;
    read.version = {fencingToken_, number_, readerId_};
    list_ = std::make_shared<const HostList>(std::move(read));
    return Outcome::changed;
}

}  // namespace beechpoint::host_discovery
