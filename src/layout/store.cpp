#include "layout/store.hpp"

#include <fmt/format.h>
#include <sqlite3.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace beechpoint::layout {

namespace {

using Json = nlohmann::json;

// ---- texts

const std::vector<std::pair<HolderState, const char*>> kStates = {{HolderState::serving, "serving"},
                                                                  {HolderState::copying, "copying"},
                                                                  {HolderState::catchingUp, "catchingUp"},
                                                                  {HolderState::handingOver, "handingOver"},
                                                                  {HolderState::retired, "retired"}};

Json specJson(const ChangeSpec& spec) {
    if (const auto* m = std::get_if<Move>(&spec))
        return {{"move", m->slice}, {"from", m->from}, {"to", m->to}};
    if (const auto* s = std::get_if<Split>(&spec)) return {{"split", s->slice}, {"at", s->at}};
    const Merge& m = std::get<Merge>(spec);
    return {{"merge", m.lower}, {"with", m.upper}};
}

ChangeSpec readSpec(const Json& j) {
    if (j.contains("move")) return Move{j.at("move").get<SliceId>(), j.at("from"), j.at("to")};
    if (j.contains("split")) return Split{j.at("split").get<SliceId>(), j.at("at").get<KeyHash>()};
    return Merge{j.at("merge").get<SliceId>(), j.at("with").get<SliceId>()};
}

struct ToJson {
    Json operator()(const BeginStep& s) const { return {{"begin", specJson(s.spec)}}; }
    Json operator()(const AbortStep& s) const { return {{"abort", s.change}}; }
    Json operator()(const CopiedStep& s) const { return {{"copied", s.change}}; }
    Json operator()(const CaughtUpStep& s) const { return {{"caughtUp", s.change}}; }
    Json operator()(const StandsStep& s) const { return {{"stands", s.host}, {"epoch", s.epoch}}; }
    Json operator()(const DiedStep& s) const { return {{"died", s.host}}; }
    Json operator()(const ReturnedStep& s) const { return {{"returned", s.host}}; }
    Json operator()(const ReleasedStep& s) const { return {{"released", s.epoch}}; }
    Json operator()(const TimeStep&) const { return {{"time", true}}; }
};

LayoutStep readStep(const Json& j) {
    if (j.contains("begin")) return BeginStep{readSpec(j.at("begin"))};
    if (j.contains("abort")) return AbortStep{j.at("abort").get<ChangeId>()};
    if (j.contains("copied")) return CopiedStep{j.at("copied").get<ChangeId>()};
    if (j.contains("caughtUp")) return CaughtUpStep{j.at("caughtUp").get<ChangeId>()};
    if (j.contains("stands")) return StandsStep{j.at("stands"), j.at("epoch").get<Epoch>()};
    if (j.contains("died")) return DiedStep{j.at("died")};
    if (j.contains("returned")) return ReturnedStep{j.at("returned")};
    if (j.contains("released")) return ReleasedStep{j.at("released").get<Epoch>()};
    return TimeStep{};
}

// Applies a step as it was, or as it is: the same code for both, so that reading the log gives the same
// state.
LayoutActions apply(Changes& changes, Millis now, const LayoutStep& step, std::string* why, ChangeId* id) {
    LayoutActions out;
    std::string reason;
    changes.advance(now, out);
    if (const auto* s = std::get_if<BeginStep>(&step)) {
        const ChangeId begun = changes.begin(now, s->spec, out, reason);
        if (id) *id = begun;
    } else if (const auto* a = std::get_if<AbortStep>(&step)) {
        if (!changes.abort(now, a->change, out))
            reason = "there is no change of that number that can be undone";
    } else if (const auto* c = std::get_if<CopiedStep>(&step)) {
        changes.copied(now, c->change, out);
    } else if (const auto* u = std::get_if<CaughtUpStep>(&step)) {
        changes.caughtUp(now, u->change, out);
    } else if (const auto* t = std::get_if<StandsStep>(&step)) {
        changes.standsAt(now, t->host, t->epoch, out);
    } else if (const auto* d = std::get_if<DiedStep>(&step)) {
        changes.died(now, d->host, out);
    } else if (const auto* r = std::get_if<ReturnedStep>(&step)) {
        changes.returned(now, r->host, out);
    } else if (const auto* e = std::get_if<ReleasedStep>(&step)) {
        changes.released(now, e->epoch, out);
    }
    if (why) *why = reason;
    return out;
}

}  // namespace

std::string layoutText(const Layout& layout) {
    Json slices = Json::array();
    for (const Slice& s : layout.slices()) {
        Json holders = Json::array();
        for (const Holder& h : s.holders)
            for (const auto& [state, name] : kStates)
                if (state == h.state)
                    holders.push_back({{"host", h.host}, {"state", name}, {"since", h.since}});
        slices.push_back({{"id", s.id}, {"first", s.first}, {"last", s.last}, {"holders", holders}});
    }
    return Json{{"epoch", layout.epoch()}, {"slices", slices}}.dump();
}

LayoutPtr readLayout(const std::string& text) {
    try {
        const Json json = Json::parse(text);
        std::vector<Slice> slices;
        for (const Json& s : json.at("slices")) {
            Slice slice{s.at("id"), s.at("first"), s.at("last"), {}};
            for (const Json& h : s.at("holders")) {
                const std::string word = h.at("state");
                const auto state = std::find_if(kStates.begin(), kStates.end(),
                                                [&](const auto& k) { return word == k.second; });
                if (state == kStates.end())
                    throw BadLayout(fmt::format("slice {}: no such state: {}", slice.id, word));
                slice.holders.push_back({h.at("host"), state->first, h.at("since")});
            }
            slices.push_back(std::move(slice));
        }
        return Layout::make(json.at("epoch"), std::move(slices));
    } catch (const Json::exception& e) {
        throw BadLayout(fmt::format("a layout that can't be read: {}", e.what()));
    }
}

// ---- the file

class LayoutStore::Db {
public:
    explicit Db(const std::string& file) : file_(file) {
        if (sqlite3_open(file.c_str(), &db_) != SQLITE_OK) {
            const std::string why = sqlite3_errmsg(db_);
            sqlite3_close(db_);
            throw StoreFailed(fmt::format("{}: {}", file, why));
        }
        sqlite3_busy_timeout(db_, 2'000);
        try {
            run("PRAGMA journal_mode=WAL");
            run("PRAGMA synchronous=FULL");
            run("CREATE TABLE IF NOT EXISTS controller (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT, "
                "fence INTEGER)");
            run("CREATE TABLE IF NOT EXISTS base (one INTEGER PRIMARY KEY CHECK (one = 1), text TEXT)");
            run("CREATE TABLE IF NOT EXISTS log (seq INTEGER PRIMARY KEY AUTOINCREMENT, at REAL, step TEXT)");
        } catch (...) {
            sqlite3_close(db_);
            throw;
        }
    }
    ~Db() { sqlite3_close(db_); }
    Db(const Db&) = delete;
    Db& operator=(const Db&) = delete;

    struct Row {
        std::vector<std::string> cells;
    };
    // `?` are filled in order; all values are bound as text, which the columns' types turn into what they
    // are.
    std::vector<Row> run(const char* sql, const std::vector<std::string>& values = {}) {
        sqlite3_stmt* statement = nullptr;
        if (sqlite3_prepare_v2(db_, sql, -1, &statement, nullptr) != SQLITE_OK) fail();
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
        if (result != SQLITE_DONE) fail();
        return rows;
    }
    // All of it, or nothing.
    void transaction(const std::function<void()>& work) {
        run("BEGIN IMMEDIATE");
        try {
            work();
            run("COMMIT");
        } catch (...) {
            sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
            throw;
        }
    }

private:
    [[noreturn]] void fail() { throw StoreFailed(fmt::format("{}: {}", file_, sqlite3_errmsg(db_))); }
    std::string file_;
    sqlite3* db_ = nullptr;
};

LayoutStore::LayoutStore(const std::string& file, const std::string& controller, std::uint64_t fence,
                         Millis now, const LayoutPtr& first, StoreOptions options)
    : options_(std::move(options)),
      db_(std::make_unique<Db>(file)),
      changes_(first, options_.limits),
      fence_(fence) {
    takeOver(controller);
    load(first);
    last_ = std::max(last_, now);
}

LayoutStore::~LayoutStore() = default;

void LayoutStore::takeOver(const std::string& controller) {
    db_->transaction([&] {
        const auto rows = db_->run("SELECT name, fence FROM controller");
        const std::uint64_t seen = rows.empty() ? 0 : std::stoull(rows[0].cells[1]);
        if (seen > fence_ || (seen == fence_ && !rows.empty() && rows[0].cells[0] != controller))
            throw LeaseLost(fmt::format("{} has written under {}: {} under {} is too late", rows[0].cells[0],
                                        seen, controller, fence_));
        db_->run("INSERT OR REPLACE INTO controller VALUES (1, ?, ?)", {controller, std::to_string(fence_)});
    });
}

// Within a transaction: who was overtaken writes nothing more.
void LayoutStore::checkFence() {
    const auto rows = db_->run("SELECT fence FROM controller");
    if (rows.empty() || rows[0].cells[0] != std::to_string(fence_))
        throw LeaseLost("another controller has taken over");
}

void LayoutStore::load(const LayoutPtr& first) {
    const auto base = db_->run("SELECT text FROM base");
    if (base.empty()) {
        const Json json = {{"layout", layoutText(*first)},
                           {"lastChange", 0},
                           {"lastSlice", first->highestId()},
                           {"dead", Json::array()}};
        db_->run("INSERT INTO base VALUES (1, ?)", {json.dump()});
        return;
    }
    const Json json = Json::parse(base[0].cells[0]);
    changes_ = Changes(readLayout(json.at("layout")), options_.limits);
    changes_.restore(json.at("lastChange"), json.at("lastSlice"),
                     json.at("dead").get<std::set<std::string>>());
    for (const auto& row : db_->run("SELECT at, step FROM log ORDER BY seq")) {
        last_ = std::max(last_, std::stod(row.cells[0]));
        apply(changes_, std::stod(row.cells[0]), readStep(Json::parse(row.cells[1])), nullptr, nullptr);
        ++rows_;
    }
}

Millis LayoutStore::forward(Millis now) { return last_ = std::max(last_, now); }

LayoutActions LayoutStore::step(Millis when, const LayoutStep& step, std::string* why, ChangeId* id) {
    const Millis now = forward(when);
    if (std::holds_alternative<BeginStep>(step) && rows_ >= options_.mostRows && changes_.underWay() > 0) {
        if (why) *why = fmt::format("the log holds {} rows: changes under way must end first", rows_);
        return {};
    }
    const bool due = changes_.next() <= now;
    const std::uint64_t before = changes_.revision();
    Changes next = changes_;
    LayoutActions out = apply(next, now, step, why, id);
    if (!due && out.empty() && next.revision() == before) {
        changes_ = std::move(next);  // it may have counted something; nothing to keep
        return out;
    }
    options_.at("before the transaction");
    db_->transaction([&] {
        checkFence();
        db_->run("INSERT INTO log (at, step) VALUES (?, ?)",
                 {fmt::format("{:.6f}", now), std::visit(ToJson{}, step).dump()});
        options_.at("within the transaction");
    });
    options_.at("after the transaction");
    changes_ = std::move(next);
    ++rows_;
    if (changes_.underWay() == 0) compact();
    return out;
}

// With no change under way the layout is all there is to know: the log begins anew.
void LayoutStore::compact() {
    const Json json = {{"layout", layoutText(*changes_.layout())},
                       {"lastChange", changes_.lastChange()},
                       {"lastSlice", changes_.lastSlice()},
                       {"dead", changes_.dead()}};
    db_->transaction([&] {
        checkFence();
        db_->run("INSERT OR REPLACE INTO base VALUES (1, ?)", {json.dump()});
        options_.at("within the cut of the log");
        db_->run("DELETE FROM log");
    });
    options_.at("after the cut of the log");
    rows_ = 0;
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
