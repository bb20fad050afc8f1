#include "leases/lease_table.hpp"

#include <algorithm>
#include <utility>

#include "leases/role_assignment.hpp"

namespace beechpoint::leases {

namespace {

constexpr char kFieldSeparator = '\n';

}  // namespace

std::uint64_t registrationId(const Gateway& gateway) {
    std::string text;
    for (const std::string* field : {&gateway.zone, &gateway.region, &gateway.frontAddress}) {
        text += *field;
        text += kFieldSeparator;
    }
    text += std::to_string(gateway.session);
    text += gateway.ready ? '1' : '0';
    text += gateway.draining ? '1' : '0';
    return rendezvousWeight(gateway.name, text);
}

LeaseTable::LeaseTable(Settings settings, Millis now)
    : settings_(settings), incompleteSince_(now), lastAdvance_(now) {}

bool LeaseTable::renew(Millis now, Gateway gateway) {
    advanceTo(now);
    const bool granted = storeGrant(now, std::move(gateway), now, Granter::thisMember);
    recordCount(now);
    return granted;
}

void LeaseTable::merge(Millis now, const std::vector<ReportedLease>& leases) {
    advanceTo(now);
    for (const ReportedLease& reported : leases) {
        const Millis age = std::max(0.0, reported.age);
        if (age < settings_.leaseMs) storeGrant(now, reported.gateway, now - age, Granter::otherMember);
    }
    recordCount(now);
}

// Returns nullptr if the table is full.
LeaseTable::Lease* LeaseTable::findOrAdd(const std::string& name) {
    const auto found = leases_.find(name);
    if (found != leases_.end()) return &found->second;
    if (leases_.size() >= settings_.maxGateways) {
        rejectedGrants_++;
        return nullptr;
    }
    return &leases_.emplace(name, Lease{}).first->second;
}

bool LeaseTable::storeGrant(Millis now, Gateway gateway, Millis grantedAt, Granter granter) {
    Lease* const lease = findOrAdd(gateway.name);
    if (!lease) return false;
    if (!updateGrant(*lease, now, grantedAt, granter)) return true;
    const std::uint64_t id = registrationId(gateway);
    if (lease->id != id) {
        names_.erase(lease->id);
        names_[id] = gateway.name;
    }
    lease->id = id;
    lease->gateway = std::move(gateway);
    return true;
}

// Returns false if a later grant is stored, of this or another session: reports may arrive out of order.
bool LeaseTable::updateGrant(Lease& lease, Millis now, Millis grantedAt, Granter granter) const {
    const bool isNew = lease.id == 0;
    if (!isNew && isUnexpired(lease, now) && grantedAt < lease.grantedAt) return false;
    lease.grantedAt = grantedAt;
    lease.grantedHere = granter == Granter::thisMember;
    return true;
}

std::vector<std::uint64_t> LeaseTable::mergeRenewals(Millis now, const std::vector<Renewal>& renewals) {
    advanceTo(now);
    std::vector<std::uint64_t> unknown;
    for (const Renewal& renewal : renewals) {
        const auto name = names_.find(renewal.id);
        if (name == names_.end())
            unknown.push_back(renewal.id);
        else if (renewal.ageMs < settings_.leaseMs)
            updateGrant(leases_.at(name->second), now, now - renewal.ageMs, Granter::otherMember);
    }
    recordCount(now);
    return unknown;
}

std::vector<LeaseTable::GrantedLease> LeaseTable::leasesGrantedSince(Millis since, Millis now) const {
    std::vector<GrantedLease> granted;
    for (const auto& [name, lease] : leases_)
        if (lease.grantedHere && lease.grantedAt >= since && isUnexpired(lease, now))
            granted.push_back({&lease.gateway, lease.id, now - lease.grantedAt});
    return granted;
}

std::vector<ReportedLease> LeaseTable::grantedLeases(Millis now) const {
    std::vector<ReportedLease> granted;
    for (const auto& [name, lease] : leases_)
        if (lease.grantedHere && isUnexpired(lease, now))
            granted.push_back({lease.gateway, now - lease.grantedAt});
    return granted;
}

void LeaseTable::advanceTo(Millis now) {
    if (now - lastAdvance_ > settings_.maxAdvanceGapMs) incompleteSince_ = now;
    lastAdvance_ = std::max(lastAdvance_, now);
    expire(now);
    recordCount(now);
}

void LeaseTable::expire(Millis now) {
    for (auto entry = leases_.begin(); entry != leases_.end();) {
        if (isUnexpired(entry->second, now)) {
            ++entry;
            continue;
        }
        names_.erase(entry->second.id);
        entry = leases_.erase(entry);
    }
}

// Keeps the counts decreasing (monotonic queue): a count not above the current one can no longer be the maximum.
void LeaseTable::recordCount(Millis now) {
    const std::uint32_t live = countLive(now);
    while (!counts_.empty() && counts_.back().live <= live) counts_.pop_back();
    counts_.push_back({now, live});
    while (now - counts_.front().until > settings_.peakWindowMs) counts_.pop_front();
}

std::uint32_t LeaseTable::countLive(Millis now) const {
    const auto isRunning = [&](const auto& entry) { return isUnexpired(entry.second, now); };
    return static_cast<std::uint32_t>(std::count_if(leases_.begin(), leases_.end(), isRunning));
}

std::vector<ReportedLease> LeaseTable::liveLeases(Millis now) const {
    std::vector<ReportedLease> live;
    for (const auto& [name, lease] : leases_)
        if (isUnexpired(lease, now)) live.push_back({lease.gateway, now - lease.grantedAt});
    return live;
}

std::vector<Gateway> LeaseTable::liveGateways(Millis now) const {
    std::vector<Gateway> gateways;
    for (const auto& [name, lease] : leases_)
        if (isUnexpired(lease, now)) gateways.push_back(lease.gateway);
    return gateways;
}

const Gateway* LeaseTable::find(const std::string& name, Millis now) const {
    const auto found = leases_.find(name);
    return found != leases_.end() && isUnexpired(found->second, now) ? &found->second.gateway : nullptr;
}

std::optional<std::uint32_t> LeaseTable::liveCount(Millis now) const {
    if (!isComplete(now)) return std::nullopt;
    return countLive(now);
}

std::optional<std::uint32_t> LeaseTable::peakLiveCount(Millis now) const {
    if (!isComplete(now)) return std::nullopt;
    std::uint32_t largest = countLive(now);
    for (const Count& count : counts_)
        if (now - count.until <= settings_.peakWindowMs) largest = std::max(largest, count.live);
    return largest;
}

std::vector<InstanceLoad> LeaseTable::loadOfOthers(Millis now, const std::string& except) const {
    std::map<std::string, std::uint32_t> sums;
    for (const auto& [name, lease] : leases_) {
        if (name == except || !isUnexpired(lease, now)) continue;
        for (const InstanceLoad& load : lease.gateway.load) sums[load.instance] += load.inFlight;
    }
    std::vector<InstanceLoad> loads;
    loads.reserve(sums.size());
    for (const auto& [instance, inFlight] : sums) loads.push_back({instance, inFlight});
    return loads;
}

}  // namespace beechpoint::leases
