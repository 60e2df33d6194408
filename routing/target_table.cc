// A row keeps its index while its target is present or has requests in flight. Afterwards it may be
// reused with a new generation, which invalidates the entries of the prefix index that refer to it.
//
// A target that is removed from the tables or from the list of complete groups is drained: it gets
// no new requests, those in flight continue, and it is reported as released when they have ended.
#include "routing/target_table.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// Half-life of the weight of a report: about two intervals of an engine that reports each second.
constexpr std::chrono::milliseconds report_half_life{2'000};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void load_estimate::report(const target_load& load, std::chrono::milliseconds age, time_point now)
{
    const time_point made = now - age;
    if (m_known && made < m_reported_at)
        return;
    m_known = true;
    m_reported_at = made;
    m_waiting = load.waiting;
    m_running = load.running;
    const double all = load.running + load.waiting;
    m_others = std::max(0.0, all - own_at(made));
}

void load_estimate::report_now(const target_load& load, std::uint32_t own, time_point now)
{
    m_known = true;
    m_reported_at = now;
    m_waiting = load.waiting;
    m_running = load.running;
    m_others = std::max(0.0, static_cast<double>(load.running + load.waiting) - own);
}

void load_estimate::sample_own(std::uint32_t own, time_point now)
{
    if (now - m_sampled_at < sample_interval)
        return;
    m_sampled_at = now;
    m_own[m_next_sample] = static_cast<std::uint16_t>(std::min<std::uint32_t>(own, UINT16_MAX));
    m_next_sample = (m_next_sample + 1) % samples;
}

std::uint32_t load_estimate::own_at(time_point then) const
{
    // A report counts the requests that this node had when it was made. Subtracting the present
    // ones would count newer requests as part of the report and make the target look free of the
    // other nodes' requests.
    const auto back = std::max<duration>(m_sampled_at - then, duration::zero()) / sample_interval;
    const auto steps = std::min<std::size_t>(static_cast<std::size_t>(back), samples - 1);
    return m_own[(m_next_sample + samples - 1 - steps) % samples];
}

double load_estimate::freshness(time_point now) const
{
    if (!m_known)
        return 0.0;
    return std::exp2(-seconds(now - m_reported_at) / seconds(report_half_life));
}

double load_estimate::others(double mean, time_point now) const
{
    const double worth_now = freshness(now);
    return worth_now * m_others + (1.0 - worth_now) * mean;
}

target_row_index target_table::find(const target_id& id) const
{
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() ? no_target : found->second;
}

target_row_index target_table::find_instance(const vm_id& instance) const
{
    const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const target_row& row) {
        return row.present && !row.other_node && row.info.instance == instance;
    });
    if (found == m_rows.end())
        return no_target;
    return static_cast<target_row_index>(found - m_rows.begin());
}

void target_table::replace_groups(const std::vector<target>& groups, time_point now)
{
    replace(groups, pool_kind::model, now);
}

void target_table::set_discovered_servers(const std::vector<target>& servers, time_point now)
{
    m_servers_discovered = true;
    replace(servers, pool_kind::plain, now);
}

void target_table::set_configured_servers(const configuration& tables, time_point now)
{
    if (m_servers_discovered)
        return;
    std::vector<target> servers;
    for (const pool& row : tables.pools) {
        if (row.kind != pool_kind::plain)
            continue;
        for (const std::string& server : row.servers) {
            target made;
            made.id = target_id{server};
            made.pool = row.name;
            made.address = server;
            servers.push_back(std::move(made));
        }
    }
    replace(servers, pool_kind::plain, now);
}

void target_table::replace(const std::vector<target>& wanted, pool_kind kind, time_point now)
{
    ++m_version;
    std::vector<bool> still_present(m_rows.size(), false);
    for (const target& added : wanted) {
        target_row_index row = find(added.id);
        if (row == no_target)
            row = make_row(added, kind);
        if (row == no_target)
            continue;
        still_present.resize(m_rows.size(), false);
        still_present[row] = true;
        target_row& kept = m_rows[row];
        // A new epoch of a group is a new process, whose cache is empty.
        if (kept.info.fencing != added.fencing || kept.info.version != added.version) {
            ++kept.generation;
            kept.health.refusing = false; // the refusal concerned the previous epoch
            kept.health.silent = false;
        }
        kept.info = added;
        kept.present = true;
        if (kind == pool_kind::model && added.instance.value().empty())
            kept.load.report(added.load, added.load_age, now);
        kept.release_due = kept.release_due || added.leaving;
    }
    for (std::size_t row = 0; row < m_rows.size(); ++row) {
        if (m_rows[row].kind != kind || !m_rows[row].present || still_present[row] ||
            m_rows[row].other_node)
            continue;
        m_rows[row].present = false;
        m_rows[row].release_due = true;
    }
}

void target_table::replace_nodes(const std::vector<target>& nodes)
{
    for (const target_row_index row : m_nodes)
        m_rows[row].present = false;
    m_nodes.clear();
    for (const target& added : nodes) {
        target_row_index row = find(added.id);
        if (row == no_target)
            row = make_row(added, pool_kind::plain);
        if (row == no_target)
            return;
        m_rows[row].info = added;
        m_rows[row].present = true;
        m_rows[row].other_node = true;
        m_nodes.push_back(row);
    }
}

target_row_index target_table::make_row(const target& added, pool_kind kind)
{
    free_unused();
    if (m_free.empty()) {
        if (m_rows.size() >= max_targets)
            return no_target;
        m_free.push_back(static_cast<target_row_index>(m_rows.size()));
        m_rows.emplace_back();
    }
    const target_row_index row = m_free.back();
    m_free.pop_back();
    const auto generation = static_cast<std::uint16_t>(m_rows[row].generation + 1);
    m_rows[row] = target_row{};
    m_rows[row].generation = generation == 0 ? std::uint16_t{1} : generation;
    m_rows[row].kind = kind;
    m_rows[row].info = added;
    m_rows[row].free = false;
    m_by_id[added.id] = row;
    const auto early = std::find(m_early_leaving.begin(), m_early_leaving.end(), added.id);
    if (early != m_early_leaving.end()) {
        m_rows[row].marked_leaving = true;
        m_rows[row].release_due = true;
        m_early_leaving.erase(early);
    }
    return row;
}

void target_table::free_unused()
{
    for (std::size_t row = 0; row < m_rows.size(); ++row) {
        target_row& unused = m_rows[row];
        if (unused.present || unused.own > 0 || unused.release_due || unused.free)
            continue;
        // The mark prevents the row from being freed again after its id was added in another row.
        unused.free = true;
        m_by_id.erase(unused.info.id);
        m_free.push_back(static_cast<target_row_index>(row));
    }
}

void target_table::set_leaving(const target_id& id, bool leaving, time_point /*now*/)
{
    const target_row_index row = find(id);
    if (row != no_target) {
        const bool changed = m_rows[row].marked_leaving != leaving;
        m_rows[row].marked_leaving = leaving;
        m_rows[row].release_due = leaving && (changed || m_rows[row].release_due);
        return;
    }
    // The notice may arrive before the list that contains the target, and must not be lost.
    std::erase(m_early_leaving, id);
    if (leaving && m_early_leaving.size() < max_early_leaving)
        m_early_leaving.push_back(id);
}

void target_table::mark_lost(target_row_index row)
{
    ++m_version;
    m_rows[row].present = false;
    m_rows[row].release_due = true;
}

std::vector<target_row_index> target_table::targets_of_pool(const pool_id& pool) const
{
    std::vector<target_row_index> rows;
    for (std::size_t row = 0; row < m_rows.size(); ++row) {
        if (m_rows[row].present && m_rows[row].info.pool == pool)
            rows.push_back(static_cast<target_row_index>(row));
    }
    return rows;
}

std::vector<target_id> target_table::take_released()
{
    std::vector<target_id> released;
    for (target_row& row : m_rows) {
        if (!row.release_due || row.own > 0 || !row.leaving())
            continue;
        row.release_due = false;
        released.push_back(row.info.id);
    }
    return released;
}

} // namespace jaynotch
