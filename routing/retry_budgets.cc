// A fleet-wide budget limits a service, whatever its pools are named and however often the tables
// change. It is therefore kept by service, and for one window after the service has left the
// tables.
#include "routing/retry_budgets.h"

#include <utility>

namespace jaynotch {

retry_budgets::retry_budgets(const core_settings& settings, time_point started)
    : m_share{settings.retry_share}, m_extra{settings.retry_extra},
      m_fleet_wide{settings.retry_extra_fleet_wide}, m_window{settings.retry_window},
      m_started{started}, m_history{m_fleet_wide ? retry_history::unknown : retry_history::known}
{}

void retry_budgets::assign(pool_table& pools, time_point now)
{
    for (auto& [name, one] : m_entries) {
        if (std::exchange(one.in_tables, false))
            one.last_in_tables = now;
    }
    for (pool_index index = 0; index < pools.size(); ++index) {
        pool_row& row = pools.at(index);
        if (row.present)
            row.budget = budget_of(row.info);
    }
    std::erase_if(m_entries, [&](const auto& named_entry) {
        const entry& one = named_entry.second;
        return !one.in_tables && now - one.last_in_tables > m_window;
    });
}

std::shared_ptr<retry_budget> retry_budgets::budget_of(const pool& configured)
{
    const std::string& name = m_fleet_wide ? configured.service : configured.name.value();
    const auto [found, added] = m_entries.try_emplace(name);
    if (added)
        apply_limit(*found->second.budget);
    found->second.in_tables = true;
    return found->second.budget;
}

void retry_budgets::set_fleet_size(std::size_t nodes)
{
    m_fleet_size = nodes;
    apply_limits();
}

void retry_budgets::tick(time_point now)
{
    if (m_history == retry_history::known || now - m_started < m_window)
        return;
    m_history = retry_history::known;
    apply_limits();
}

void retry_budgets::apply_limit(retry_budget& budget) const
{
    const double nodes = m_fleet_wide ? static_cast<double>(m_fleet_size) : 1.0;
    budget.set(m_share, m_extra / nodes, m_history);
}

void retry_budgets::apply_limits()
{
    for (auto& [name, one] : m_entries)
        apply_limit(*one.budget);
}

} // namespace jaynotch
