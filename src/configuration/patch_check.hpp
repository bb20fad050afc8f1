/// The rules between the items that a PATCH changes and those that stay. A part of merge_patch.hpp.
#pragma once

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "configuration/document.hpp"
#include "configuration/item_checks.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

/// Adds to the document's faults. A route that stays can break a rule only when it names a service that is removed, or has the
/// path prefix of a route whose match is new: only such routes are parsed. The table and the document must stay valid.
class PatchCheck {
public:
    PatchCheck(const Table& table, Document& document);

    /// To be called once.
    void run();

private:
    void checkUpsertedRoute(const Item<Route>& item);
    bool keepsMatch(const Route& route) const;
    bool isService(const std::string& name) const;
    bool staysUnchanged(std::string_view name) const;
    bool mayBreakRule(std::string_view json) const;
    void checkStayingRoute(std::string_view json);
    void checkServiceStays(const std::string& service, const Route& route);

    const Table& table_;
    Document& document_;
    NameSet upsertedRoutes_;
    NameSet upsertedServices_;
    NameSet removedRoutes_;
    NameSet removedServices_;
    RouteMatches matches_;
    std::vector<std::string> quotedRemovedServices_;  // those that are not upserted too, as JSON texts
    std::unordered_set<std::string> quotedPrefixes_;  // of routes whose match is new, as JSON texts
};

}  // namespace beechpoint::configuration
