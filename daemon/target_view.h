// Who of the registry may be sent requests, as targets of the request core.
//
//   target_view view;
//   view.take(row);                     // view.drop(id)
//   const target_lists now = view.lists(tables);
#pragma once

#include "base/base.h"
#include "outside/runner.h"
#include "routing/routing.h"
#include "tables/tables.h"

#include <map>
#include <vector>

namespace jaynotch {

struct target_lists {
    std::vector<target> groups;
    std::vector<target> servers;

    [[nodiscard]] bool same(const target_lists& other) const;
};

class target_view {
public:
    void take(const runner& row);
    void drop(const vm_id& id);
    /// Heads of serving groups, and plain servers. A group that lacks a member by the registry's
    /// word stands still or soon will: it finishes what it has and gets nothing new.
    [[nodiscard]] target_lists lists(const configuration& tables) const;
    [[nodiscard]] const std::map<vm_id, runner>& runners() const { return m_runners; }

private:
    std::map<vm_id, runner> m_runners;
};

} // namespace jaynotch
