#include "host.hpp"

#include <istream>
#include <ostream>

#include "coordinator/settings_json.hpp"
#include "wire.hpp"

namespace beechpoint::coordinator::simulator_adapter {

namespace {
constexpr std::int64_t kLastId = 0xFFFFFFFF;
}

Coordinator* Host::current() {
    if (instance_ < 0) throw Malformed("expected SWITCH_TO before an instance's first event");
    const auto found = instances_.find(instance_);
    return found == instances_.end() ? nullptr : &found->second;
}

void Host::give(const Event& event) {
    if (Coordinator* c = current()) c->handle(now_, event, actions_[instance_]);
}

void Host::query(Line& line) {
    QueryArrived q;
    PartArrived p;
    q.id = p.id = static_cast<RequestId>(line.integer("xid", 0, kLastId));
    p.shard = static_cast<int>(line.number("slice"));
    q.klass = line.required("class");
    q.tenant = line.text("account");
    if (q.tenant == "0") q.tenant.clear();
    q.number = p.number = line.integer("wholeNo", 0, INT64_MAX);
    q.repeat = (line.integer("flags", 0, INT32_MAX) & 2) != 0;
    line.text("weightHint");
    q.expires = line.integer("expires", INT64_MIN, INT64_MAX);
    p.weight = line.number("shareOrCount");
    q.parts = static_cast<int>(p.weight);
    q.key = line.text("targetKey");
    line.done();
    if (p.shard < 0)
        give(q);
    else
        give(p);
}

void Host::event(Line& line) {
    const std::string_view word = line.word();
    if (entriesLeft_ > 0) {
        if (word != "ITEM")
            throw Malformed("message SNAPSHOT_ROWS: expected another ITEM line, found " + std::string(word));
        lists_[filling_].push_back(readServer(line));
        --entriesLeft_;
    } else if (word == "SWITCH_TO") {
        instance_ = static_cast<int>(line.integer("who", 0, INT32_MAX));
        line.done();
        if (actions_.try_emplace(instance_).second) order_.push_back(instance_);
    } else if (word == "SNAPSHOT_ROWS") {
        filling_ = static_cast<int>(line.integer("ref", 0, 15));
        entriesLeft_ = line.integer("membersList", 0, INT32_MAX);
        line.done();
        lists_[filling_].clear();
    } else if (word == "PROVISION") {
        const std::string seed = line.required("entropy");
        std::uint64_t value = 0;
        for (const char c : seed) {
            if (c < '0' || c > '9')
                throw Malformed("message PROVISION, field entropy: expected a whole number");
            value = value * 10 + static_cast<std::uint64_t>(c - '0');
        }
        current();
        instances_.erase(instance_);
        instances_.emplace(instance_, Coordinator(readSettings(line.rest("settings")), value, now_));
    } else if (word == "MEMBERS") {
        // For a failed call the number of the list means nothing and may be absent.
        const std::int64_t ref = line.optionalInteger("ref", 0);
        line.text("rev");
        ServerList list;
        list.kind = readListKind(line.required("how"));
        line.done();
        if (list.kind != ListKind::failed) {
            if (ref < 0 || ref > 15) throw Malformed("message MEMBERS, field ref: expected 0 to 15");
            list.entries = lists_[static_cast<std::size_t>(ref)];
        }
        give(list);
    } else if (word == "INBOUND") {
        query(line);
    } else if (word == "RESULT") {
        AttemptEnded e;
        e.id = static_cast<RequestId>(line.integer("xid", 0, kLastId));
        e.attempt = static_cast<int>(line.integer("copy", 0, INT32_MAX));
        e.server = line.required("server");
        e.outcome = readOutcome(line.required("code"), word);
        e.took = line.integer("duration", 0, INT64_MAX);
        e.partOver = line.flag("settled");
        e.load = line.load("serverStats");
        line.done();
        give(e);
    } else if (word == "PROBE_DONE") {
        ProbeEnded e;
        e.outcome = readOutcome(line.required("code"), word);
        e.took = line.integer("duration", 0, INT64_MAX);
        e.server = line.required("server");
        e.load = line.load("serverStats");
        line.done();
        give(e);
    } else if (word == "DROPPED") {
        QueryGone e{static_cast<RequestId>(line.integer("xid", 0, kLastId))};
        line.done();
        give(e);
    } else if (word == "WAKEUP") {
        TimerDue e{line.integer("mark", 0, INT64_MAX)};
        line.done();
        give(e);
    } else if (word == "CRASH_NOW") {
        line.done();
        current();
        instances_.erase(instance_);
        actions_[instance_].clear();  // a killed instance does nothing any more
    } else if (word == "MEMO" || word == "FIRST") {
        current();  // known messages of which the module has no need: no peers, no streams
    } else {
        throw Malformed("expected a message of the protocol, found " + std::string(word.substr(0, 40)));
    }
}

int Host::run(std::istream& in, std::ostream& out, std::ostream& errors) {
    std::string text;
    std::string reply;
    bool open = false;
    const auto crash = [&](const std::string& why) {
        errors << "beechpoint_simulator_adapter: " << why << '\n';
        if (open) {
            if (!order_.empty()) out << "CONTEXT\t" << order_.back() << '\n';
            out << "CRASH\t" << why << "\nACK\n" << std::flush;
        }
        return 1;
    };
    try {
        while (std::getline(in, text)) {
            if (!text.empty() && text.back() == '\r') text.pop_back();
            Line line(text);
            if (!open) {
                if (text.empty()) continue;
                if (line.word() != "BEGIN_BATCH")
                    throw Malformed("expected BEGIN_BATCH, found " + std::string(line.word().substr(0, 40)));
                open = true;
                instance_ = -1;
                order_.clear();
                actions_.clear();
                now_ = line.integer("clock", INT64_MIN, INT64_MAX);
                line.done();
            } else if (line.word() == "GO") {
                if (entriesLeft_ > 0)
                    throw Malformed("message SNAPSHOT_ROWS: expected more ITEM lines, found GO");
                reply.clear();
                for (const int instance : order_) {
                    const std::vector<Action>& actions = actions_[instance];
                    if (actions.empty()) continue;
                    reply += "CONTEXT\t" + std::to_string(instance) + '\n';
                    for (const Action& action : actions) writeAction(action, reply);
                }
                reply += "ACK\n";
                out << reply << std::flush;
                open = false;
            } else {
                event(line);
            }
        }
    } catch (const std::exception& e) {
        return crash(e.what());
    }
    if (open) {
        errors << "beechpoint_simulator_adapter: the input ended inside a batch\n";
        return 1;
    }
    return 0;
}

}  // namespace beechpoint::coordinator::simulator_adapter
