// The rooms under whatever comes, in whatever order: what must always hold of them.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "lease_sessions/lease_client.hpp"
#include "net.hpp"

namespace beechpoint {
namespace {

struct Step {
    int what, a, b, wait;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
    return out << '{' << s.what << ',' << s.a << ',' << s.b << ',' << s.wait << '}';
}
rc::Gen<std::vector<Step>> steps(int kinds, int longest) {
    return rc::gen::container<std::vector<Step>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 1000),
                                    rc::gen::inRange(0, 32), rc::gen::inRange(0, longest)),
                     [](const auto& t) {
                         return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
                     }));
}

// ---- the ledger: at most one leader a term; what one applied, all apply, in that order; nothing applied is ever lost. Members
// keep their folder; any of them die and return, and any part of them can talk at a time.
RC_GTEST_PROP(RaftConsensusProperties, EveryAppliedEntryIsAppliedAtAllMembers, ()) {
    constexpr int kSize = 3;
    raft::Options options;
    options.maxLogEntries = 10;
    raft::Net net(kSize, options);
    net.found();
    std::map<raft::Term, int> leaders;
    std::string longest;
    const auto check = [&] {
        for (int i = 0; i < kSize; ++i) {
            if (!net.consensus[static_cast<std::size_t>(i)]) continue;
            const std::string& text = net.text(i);
            const std::string& more = text.size() > longest.size() ? text : longest;
            RC_ASSERT(more.starts_with(text) && more.starts_with(longest));
            longest = more;
            if (net.at(i).isLeader()) {
                const auto [it, fresh] = leaders.try_emplace(net.at(i).currentTerm(), i);
                RC_ASSERT(it->second == i);
            }
            RC_ASSERT(net.at(i).commitIndex() <= net.at(i).lastLogIndex());
        }
    };
    int said = 0;
    for (const Step& s : *steps(6, 900)) {
        const int i = s.a % kSize;
        const bool processIncarnations = net.consensus[static_cast<std::size_t>(i)] != nullptr;
        std::set<int> among;
        for (int m = 0; m < kSize; ++m)
            if (s.b >> m & 1) among.insert(m);
        switch (s.what) {
            case 0:
                if (processIncarnations) net.kill(i);
                break;
            case 1:
                if (!processIncarnations) net.start(i);
                break;
            case 2:
                if (processIncarnations && net.at(i).isLeader()) {
                    raft::Actions out;
                    net.at(i).propose(net.now, std::to_string(++said), out);
                    net.out(i, out);
                }
                break;
            default:
                net.pass(s.wait, among);
        }
        check();
    }
    for (int i = 0; i < kSize; ++i)
        if (!net.consensus[static_cast<std::size_t>(i)]) net.start(i);
    net.pass(9000, {0, 1, 2});
    check();
    RC_ASSERT(net.leader() >= 0);
    for (int i = 0; i < kSize; ++i) RC_ASSERT(net.text(i) == longest);
}

// ---- the table: numbers only rise, each grant has its own, who holds is in session, both lists by holder agree with the
// duties, a request has its effect once, and what is saved is read back the same.
RC_GTEST_PROP(SessionTableProperties, FencingTokensRiseAndCommandsAreAppliedOnce, ()) {
    lease_sessions::SessionTable table;
    table.begin(2);
    std::map<std::string, std::uint64_t> fences;
    std::set<std::uint64_t> granted;
    std::map<std::string, std::uint64_t> numbers;
    raft::Index index = 0;
    const auto member = [](int n) { return "g" + std::to_string(n % 3); };
    const auto singletonRole = [](int n) { return "d" + std::to_string(n % 4); };
    for (const Step& s : *steps(8, 4)) {
        lease_sessions::Command c;
        c.op = static_cast<lease_sessions::Operation>(s.what % 6);
        c.member = member(s.a), c.singletonRole = singletonRole(s.b), c.processIncarnation = 1,
        c.to = member(s.wait);
        const lease_sessions::Session* in = table.session(c.member);
        c.session = in != nullptr ? in->number : 0;
        if (const lease_sessions::SingletonRole* d = table.singletonRole(c.singletonRole))
            c.fencingToken = s.a % 7 == 0 ? d->fencingToken - 1 : d->fencingToken;
        c.number = s.what >= 6 ? 0 : ++numbers[c.member];
        const std::string data = lease_sessions::encodeCommand(c);
        std::map<std::string, std::string> before;
        for (const auto& [name, d] : table.singletonRoles()) before[name] = d.holder;
        table.apply(++index, 1, data);
        for (const auto& [name, d] : table.singletonRoles()) {
            RC_ASSERT(d.fencingToken >= fences[name]);
            if (!d.holder.empty()) {
                RC_ASSERT(d.fencingToken >> lease_sessions::kFencingTokenBits == 2u);
                RC_ASSERT(table.session(d.holder) != nullptr && table.session(d.holder)->number == d.session);
                if (before[name] != d.holder) RC_ASSERT(d.fencingToken > fences[name]);
                RC_ASSERT(table.leasesOf(d.holder).contains(name));
            }
            RC_ASSERT(table.freeRoles().contains(name) == d.holder.empty());
            fences[name] = d.fencingToken;
        }
        std::size_t listed = table.freeRoles().size();
        for (int m = 0; m < 3; ++m) listed += table.leasesOf(member(m)).size();
        RC_ASSERT(listed == table.singletonRoles().size());
        if (c.number == 0) continue;
        const std::string saved = table.save();
        table.apply(++index, 1, data);  // the same request, settled again
        RC_ASSERT(table.save() == saved);
        lease_sessions::SessionTable other;
        other.begin(2);
        RC_ASSERT(other.load(saved) && other.save() == saved && other.freeRoles() == table.freeRoles());
    }
}

// ---- the holder: it acts only within ttl x (1 - drift) of the sending of something that was confirmed, and never under a number
// that it gave up, whatever the leader's words, their order and their repeats.
RC_GTEST_PROP(LeaseClientProperties, ActsOnlyWithinItsLeaseAndNeverAfterItsRelease, ()) {
    const lease_sessions::Times times;
    lease_sessions::LeaseClient holder(times, "a", 1, {"l", "m"}, 3, 0);
    std::vector<lease_sessions::Message> out,
        words;  // words: of the leader, to be said at any time, any number of times
    std::map<std::uint64_t, Millis> renewals;
    std::map<std::string, std::uint64_t> given;
    Millis now = 0, proven = -1e9;
    std::uint64_t fencingToken = 100;
    const auto took = [&](std::size_t from) {
        for (std::size_t i = from; i < out.size(); ++i) {
            if (const auto* r = std::get_if<lease_sessions::RenewRequest>(&out[i].body)) {
                renewals[r->number] = now;
                lease_sessions::RenewReply yes{1,          r->number, lease_sessions::Verdict::done,
                                               r->session, "l",       {{"d", fencingToken}}};
                words.push_back({"l", "a", 9, yes});
                yes.verdict = lease_sessions::Verdict::noSession;
                words.push_back({"l", "a", 9, yes});
            } else if (const auto* a = std::get_if<lease_sessions::CommandRequest>(&out[i].body)) {
                renewals[1000 + a->command.number] = std::max(renewals[1000 + a->command.number], Millis{0});
                if (renewals[1000 + a->command.number] == 0) renewals[1000 + a->command.number] = now + 1e-9;
                words.push_back(
                    {"l", "a", 9,
                     lease_sessions::CommandReply{
                         1, a->command.number, {lease_sessions::Verdict::done, ++fencingToken, 7}, "l"}});
                words.push_back({"l", "a", 9,
                                 lease_sessions::CommandReply{
                                     1, a->command.number, {lease_sessions::Verdict::rejected, 0, 7}, "l"}});
            }
        }
    };
    for (const Step& s : *steps(7, 500)) {
        now += s.wait;
        const std::size_t from = out.size();
        if (s.what == 0 && !words.empty()) {
            const lease_sessions::Message m = words[static_cast<std::size_t>(s.a) % words.size()];
            holder.receive(now, m, out);
            // What it may prove: the newest sending that any word said so far answers.
            if (const auto* r = std::get_if<lease_sessions::RenewReply>(&m.body))
                proven = std::max(proven, renewals[r->number]);
            if (const auto* a = std::get_if<lease_sessions::CommandReply>(&m.body))
                proven = std::max(proven, renewals[1000 + a->number]);
        } else if (s.what == 1) {
            if (const auto f = holder.mayAct(now, "d")) given["d"] = std::max(given["d"], *f);
            holder.release("d");
        } else if (s.what == 2) {
            holder.acquire("d");
        } else if (s.what == 3 && s.a < 50) {
            holder.endSession(now, out);
        } else if (s.what == 4 && s.a < 200) {
            holder.resume();
        } else if (s.what == 5) {
            words.push_back(
                {"l", "a", 9,
                 lease_sessions::GrantNotice{1, 7, "d", s.a % 2 == 0 ? fencingToken : ++fencingToken}});
        } else {
            holder.advance(now, out);
        }
        took(from);
        if (const auto f = holder.mayAct(now, "d")) {
            RC_ASSERT(*f > given["d"]);
            RC_ASSERT(now < proven + times.ttl * (1 - times.drift) + 1e-6);
        }
    }
}

}  // namespace
}  // namespace beechpoint
