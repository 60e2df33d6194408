// The retry budgets of this node: one for each service, or for each pool if the budgets of the
// nodes are independent.
//
//   retry_budgets budgets{settings, now};
//   budgets.assign(pools, now);                        // after each change of the tables
//   budgets.set_fleet_size(nodes);
//   budgets.tick(now);
#pragma once

#include "routing/pool_table.h"
#include "routing/request_core.h"
#include "routing/retry_budget.h"

#include <map>
#include <memory>
#include <string>

namespace jaynotch {

class retry_budgets {
public:
    /// `started`: when this process started to send requests.
    retry_budgets(const core_settings& settings, time_point started);

    /// Gives each pool of the tables its budget; pools of one service share theirs. A budget that
    /// no pool has used for a window is dropped; before that, a service that returns finds it as it
    /// was.
    void assign(pool_table& pools, time_point now);
    /// Divides the fleet's extra retries among the nodes.
    void set_fleet_size(std::size_t nodes);
    /// To be called regularly: grants the whole capacity one window after the start.
    void tick(time_point now);

private:
    struct entry {
        std::shared_ptr<retry_budget> budget = std::make_shared<retry_budget>();
        bool in_tables = false;
        time_point last_in_tables; ///< when it was taken out of them; valid if it is
    };

    std::shared_ptr<retry_budget> budget_of(const pool& configured);
    void apply_limit(retry_budget& budget) const;
    void apply_limits();

    double m_share;
    double m_extra;
    bool m_fleet_wide;
    duration m_window;
    time_point m_started;
    std::size_t m_fleet_size = 1;
    retry_history m_history;
    std::map<std::string, entry> m_entries; ///< by service or pool
};

} // namespace jaynotch
