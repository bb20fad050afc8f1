#include "layout/store.hpp"

#include <fmt/format.h>
#include <sqlite3.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace beechpoint::layout {

namespace {

using Json = nlohmann::json;

// ---- texts

const std::vector<std::pair<HolderState, const char*>> kHolderStateNames = {
    {HolderState::serving, "serving"},
    {HolderState::copying, "copying"},
    {HolderState::catchingUp, "catchingUp"},
    {HolderState::handingOver, "handingOver"},
    {HolderState::retired, "retired"}};

Json specToJson(const ChangeSpec& spec) {
    if (const auto* m = std::get_if<Move>(&spec))
        return {{"move", m->slice}, {"from", m->from}, {"to", m->to}};
    if (const auto* s = std::get_if<Split>(&spec)) return {{"split", s->slice}, {"at", s->at}};
    const Merge& m = std::get<Merge>(spec);
    return {{"merge", m.lower}, {"with", m.upper}};
}

ChangeSpec parseSpec(const Json& j) {
    if (j.contains("move")) return Move{j.at("move").get<SliceId>(), j.at("from"), j.at("to")};
    if (j.contains("split")) return Split{j.at("split").get<SliceId>(), j.at("at").get<KeyHash>()};
    return Merge{j.at("merge").get<SliceId>(), j.at("with").get<SliceId>()};
}

struct StepToJson {
    Json operator()(const BeginStep& s) const { return {{"begin", specToJson(s.spec)}}; }
    Json operator()(const AbortStep& s) const { return {{"abort", s.change}}; }
    Json operator()(const CopyCompletedStep& s) const { return {{"copied", s.change}}; }
    Json operator()(const CatchUpCompletedStep& s) const { return {{"caughtUp", s.change}}; }
    Json operator()(const EpochConfirmedStep& s) const { return {{"stands", s.host}, {"epoch", s.epoch}}; }
    Json operator()(const HostDiedStep& s) const { return {{"died", s.host}}; }
    Json operator()(const HostReturnedStep& s) const { return {{"returned", s.host}}; }
    Json operator()(const EpochReleasedStep& s) const { return {{"released", s.epoch}}; }
    Json operator()(const AdvanceTimeStep&) const { return {{"time", true}}; }
};

LayoutStep parseStep(const Json& j) {
    if (j.contains("begin")) return BeginStep{parseSpec(j.at("begin"))};
    if (j.contains("abort")) return AbortStep{j.at("abort").get<ChangeId>()};
    if (j.contains("copied")) return CopyCompletedStep{j.at("copied").get<ChangeId>()};
    if (j.contains("caughtUp")) return CatchUpCompletedStep{j.at("caughtUp").get<ChangeId>()};
    if (j.contains("stands")) return EpochConfirmedStep{j.at("stands"), j.at("epoch").get<Epoch>()};
    if (j.contains("died")) return HostDiedStep{j.at("died")};
    if (j.contains("returned")) return HostReturnedStep{j.at("returned")};
    if (j.contains("released")) return EpochReleasedStep{j.at("released").get<Epoch>()};
    return AdvanceTimeStep{};
}

// Applies a step, both live and during replay, so that replaying the log reproduces the same state.
LayoutActions apply(ChangeManager& changes, Millis now, const LayoutStep& step, std::string* reason,
                    ChangeId* id) {
    LayoutActions out;
    std::string rejection;
    changes.advance(now, out);
    if (const auto* s = std::get_if<BeginStep>(&step)) {
        const ChangeId begun = changes.begin(now, s->spec, out, rejection);
        if (id) *id = begun;
    } else if (const auto* a = std::get_if<AbortStep>(&step)) {
        if (!changes.abort(now, a->change, out)) rejection = "no change with this id can be undone";
    } else if (const auto* c = std::get_if<CopyCompletedStep>(&step)) {
        changes.copyCompleted(now, c->change, out);
    } else if (const auto* u = std::get_if<CatchUpCompletedStep>(&step)) {
        changes.catchUpCompleted(now, u->change, out);
    } else if (const auto* t = std::get_if<EpochConfirmedStep>(&step)) {
        changes.epochConfirmed(now, t->host, t->epoch, out);
    } else if (const auto* d = std::get_if<HostDiedStep>(&step)) {
        changes.hostDied(now, d->host, out);
    } else if (const auto* r = std::get_if<HostReturnedStep>(&step)) {
        changes.hostReturned(now, r->host, out);
    } else if (const auto* e = std::get_if<EpochReleasedStep>(&step)) {
        changes.epochReleased(now, e->epoch, out);
    }
    if (reason) *reason = rejection;
    return out;
}

}  // namespace

std::string serializeLayout(const Layout& layout) {
    Json slices = Json::array();
    for (const Slice& s : layout.slices()) {
        Json holders = Json::array();
        for (const Holder& h : s.holders)
            for (const auto& [state, name] : kHolderStateNames)
                if (state == h.state)
                    holders.push_back({{"host", h.host}, {"state", name}, {"since", h.completeSince}});
        slices.push_back({{"id", s.id}, {"first", s.first}, {"last", s.last}, {"holders", holders}});
    }
    return Json{{"epoch", layout.epoch()}, {"slices", slices}}.dump();
}

LayoutPtr parseLayout(const std::string& text) {
    try {
        const Json json = Json::parse(text);
        std::vector<Slice> slices;
        for (const Json& s : json.at("slices")) {
            Slice slice{s.at("id"), s.at("first"), s.at("last"), {}};
            for (const Json& h : s.at("holders")) {
                const std::string word = h.at("state");
                const auto state = std::find_if(kHolderStateNames.begin(), kHolderStateNames.end(),
                                                [&](const auto& k) { return word == k.second; });
                if (state == kHolderStateNames.end())
                    throw InvalidLayout(fmt::format("slice {}: unknown holder state: {}", slice.id, word));
                slice.holders.push_back({h.at("host"), state->first, h.at("since")});
            }
            slices.push_back(std::move(slice));
        }
        return Layout::make(json.at("epoch"), std::move(slices));
    } catch (const Json::exception& e) {
        throw InvalidLayout(fmt::format("cannot parse layout: {}", e.what()));
    }
}

// ---- the file

class LayoutStore::Database {
public:
    explicit Database(const std::string& file) : file_(file) {
        if (sqlite3_open(file.c_str(), &database_) != SQLITE_OK) {
            const std::string reason = sqlite3_errmsg(database_);
            sqlite3_close(database_);
            throw StoreError(fmt::format("{}: {}", file, reason));
        }
        sqlite3_busy_timeout(database_, 2'000);
        try {
            run("PRAGMA journal_mode=WAL");
            run("PRAGMA synchronous=FULL");
            run("CREATE TABLE IF NOT EXISTS controller (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT, "
                "fence INTEGER)");
            run("CREATE TABLE IF NOT EXISTS base (one INTEGER PRIMARY KEY CHECK (one = 1), text TEXT)");
            run("CREATE TABLE IF NOT EXISTS log (seq INTEGER PRIMARY KEY AUTOINCREMENT, at REAL, step TEXT)");
        } catch (...) {
            sqlite3_close(database_);
            throw;
        }
    }
    ~Database() { sqlite3_close(database_); }
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    struct Row {
        std::vector<std::string> cells;
    };
    // Binds the values to the `?` in order. All are bound as text; SQLite converts them by column affinity.
    std::vector<Row> run(const char* sql, const std::vector<std::string>& values = {}) {
        sqlite3_stmt* statement = nullptr;
        if (sqlite3_prepare_v2(database_, sql, -1, &statement, nullptr) != SQLITE_OK) throwError();
        const std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt*)> held(statement, sqlite3_finalize);
        for (std::size_t i = 0; i < values.size(); ++i)
            sqlite3_bind_text(statement, static_cast<int>(i) + 1, values[i].data(),
                              static_cast<int>(values[i].size()), SQLITE_TRANSIENT);
        std::vector<Row> rows;
        int result;
        while ((result = sqlite3_step(statement)) == SQLITE_ROW) {
            Row row;
            for (int c = 0; c < sqlite3_column_count(statement); ++c) {
                const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement, c));
                row.cells.emplace_back(text ? text : "");
            }
            rows.push_back(std::move(row));
        }
        if (result != SQLITE_DONE) throwError();
        return rows;
    }
    // Runs `work` atomically: rolls back if it throws.
    void transaction(const std::function<void()>& work) {
        run("BEGIN IMMEDIATE");
        try {
            work();
            run("COMMIT");
        } catch (...) {
            sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
            throw;
        }
    }

private:
    [[noreturn]] void throwError() {
        throw StoreError(fmt::format("{}: {}", file_, sqlite3_errmsg(database_)));
    }
    std::string file_;
    sqlite3* database_ = nullptr;
};

LayoutStore::LayoutStore(const std::string& file, const std::string& controller, std::uint64_t fencingToken,
                         Millis now, const LayoutPtr& initialLayout, StoreOptions options)
    : options_(std::move(options)),
      database_(std::make_unique<Database>(file)),
      changes_(initialLayout, options_.limits),
      fencingToken_(fencingToken) {
    claimOwnership(controller);
    load(initialLayout);
    lastTime_ = std::max(lastTime_, now);
}

LayoutStore::~LayoutStore() = default;

void LayoutStore::claimOwnership(const std::string& controller) {
    database_->transaction([&] {
        const auto rows = database_->run("SELECT name, fence FROM controller");
        const std::uint64_t recorded = rows.empty() ? 0 : std::stoull(rows[0].cells[1]);
        if (recorded > fencingToken_ ||
            (recorded == fencingToken_ && !rows.empty() && rows[0].cells[0] != controller))
            throw LeaseLost(
                fmt::format("the store is owned by {} with fencing token {}: rejected {} with token {}",
                            rows[0].cells[0], recorded, controller, fencingToken_));
        database_->run("INSERT OR REPLACE INTO controller VALUES (1, ?, ?)",
                       {controller, std::to_string(fencingToken_)});
    });
}

// Called within a transaction, so that a superseded controller cannot write.
void LayoutStore::verifyFencingToken() {
    const auto rows = database_->run("SELECT fence FROM controller");
    if (rows.empty() || rows[0].cells[0] != std::to_string(fencingToken_))
        throw LeaseLost("another controller has taken over");
}

void LayoutStore::load(const LayoutPtr& initialLayout) {
    const auto base = database_->run("SELECT text FROM base");
    if (base.empty()) {
        const Json json = {{"layout", serializeLayout(*initialLayout)},
                           {"lastChange", 0},
                           {"lastSlice", initialLayout->highestId()},
                           {"dead", Json::array()}};
        database_->run("INSERT INTO base VALUES (1, ?)", {json.dump()});
        return;
    }
    const Json json = Json::parse(base[0].cells[0]);
    changes_ = ChangeManager(parseLayout(json.at("layout")), options_.limits);
    changes_.restore(json.at("lastChange"), json.at("lastSlice"),
                     json.at("dead").get<std::set<std::string>>());
    for (const auto& row : database_->run("SELECT at, step FROM log ORDER BY seq")) {
        lastTime_ = std::max(lastTime_, std::stod(row.cells[0]));
        apply(changes_, std::stod(row.cells[0]), parseStep(Json::parse(row.cells[1])), nullptr, nullptr);
        ++logRows_;
    }
}

Millis LayoutStore::advanceClock(Millis now) { return lastTime_ = std::max(lastTime_, now); }

LayoutActions LayoutStore::step(Millis when, const LayoutStep& step, std::string* reason, ChangeId* id) {
    const Millis now = advanceClock(when);
    if (std::holds_alternative<BeginStep>(step) && logRows_ >= options_.maxLogRows &&
        changes_.activeCount() > 0) {
        if (reason)
            *reason = fmt::format("the log holds {} rows: changes in progress must end first", logRows_);
        return {};
    }
    const bool isTimeoutDue = changes_.nextDeadline() <= now;
    const std::uint64_t previousRevision = changes_.revision();
    ChangeManager next = changes_;
    LayoutActions out = apply(next, now, step, reason, id);
    if (!isTimeoutDue && out.empty() && next.revision() == previousRevision) {
        changes_ = std::move(next);  // only counters may have changed; nothing to persist
        return out;
    }
    options_.crashPoint("before the transaction");
    database_->transaction([&] {
        verifyFencingToken();
        database_->run("INSERT INTO log (at, step) VALUES (?, ?)",
                       {fmt::format("{:.6f}", now), std::visit(StepToJson{}, step).dump()});
        options_.crashPoint("within the transaction");
    });
    options_.crashPoint("after the transaction");
    changes_ = std::move(next);
    ++logRows_;
    if (changes_.activeCount() == 0) compactLog();
    return out;
}

// With no change in progress the base row holds the complete state, so the log is emptied.
void LayoutStore::compactLog() {
    const Json json = {{"layout", serializeLayout(*changes_.layout())},
                       {"lastChange", changes_.lastChange()},
                       {"lastSlice", changes_.lastSlice()},
                       {"dead", changes_.deadHosts()}};
    database_->transaction([&] {
        verifyFencingToken();
        database_->run("INSERT OR REPLACE INTO base VALUES (1, ?)", {json.dump()});
        options_.crashPoint("during log compaction");
        database_->run("DELETE FROM log");
    });
    options_.crashPoint("after log compaction");
    logRows_ = 0;
}

LayoutActions LayoutStore::resume() const {
    LayoutActions out = {Publish{changes_.layout()}};
    for (const ChangeView& view : changes_.changes()) {
        const auto* const move = std::get_if<Move>(&view.spec);
        if (!move || (view.state != ChangeState::copying && view.state != ChangeState::catchingUp)) continue;
        const std::string source = changes_.sourceOf(view.id);
        if (!source.empty()) out.push_back(StartCopy{view.id, move->slice, source, move->to});
    }
    return out;
}

}  // namespace beechpoint::layout
