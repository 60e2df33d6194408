#include "daemon/daemon_impl.h"
#include "daemon/daemon_setup.h"

// Events that the daemon passes between its components: installed configurations, complete groups,
// demand per workspace, and backend servers that are leaving.

namespace jaynotch {

namespace {

constexpr duration demand_ttl = std::chrono::seconds{5};

target to_target(const groups::complete_group& group)
{
    target made;
    made.id = target_id{group.group.value()};
    made.pool = group.pool;
    made.address = group.leader;
    made.group = group.group;
    made.fencing = group.fencing;
    made.version = group.version;
    made.adapters = group.adapters;
    made.load = {group.load.running, group.load.waiting, group.load.kv_used};
    made.leaving = group.draining;
    return made;
}

} // namespace

void daemon::impl::connect_parts()
{
    group_hooks for_groups;
    for_groups.on_changed = [this] { push_groups(); };
    for_groups.on_broken = [this](const group_id& group) {
        requests->handle(group_broken{target_id{group.value()}});
    };
    for_groups.on_leaving = [this](const std::string& address) { plain->reported(address); };
    groups = std::make_unique<group_driver>(io, settings, kv, *peers, std::move(for_groups));

    plain_watch_hooks for_plain;
    for_plain.live_nodes = [this] {
        std::vector<std::string> names;
        for (const member& one : peers->members()) {
            if (one.live())
                names.push_back(one.node.value());
        }
        return names;
    };
    for_plain.on_leaving = [this](const std::string& server, bool leaving) {
        requests->handle(target_leaving{target_id{server}, leaving});
    };
    for_plain.publish = [this](const std::string& server) { peers->publish(leaving{server}); };
    plain = std::make_unique<plain_watch>(io, servers, settings.node, std::move(for_plain));

    services.reset(new relay_services{
        io,
        settings,
        *requests,
        servers,
        *spans,
        exported_metrics,
        counts,
        [this](const target_id& id, const vm_id& /*server*/) { plain->announced(id.value()); },
        [this](const group_id& group) { return has_valid_ticket(group); },
        {}});
    services->memory->set_budget(settings.limits.held_bytes);
    caller_front = std::make_unique<front>(*services, [this] {
        return front_state{config->current(), m_stopping, warming_up()};
    });
    admin.reset(new admin_pages{admin_sources{
        settings, *config, *peers, *groups, *requests, [this] { return ready(); },
        [this] { return counts.in_flight; }, [this] { return metrics_page(); }, m_started}});

    config->on_installed(
        [this](std::shared_ptr<const configuration> tables) { install(std::move(tables)); });
    peers->on_rumor([this](const rumor& reported) { handle_rumor(reported); });
    peers->on_member([this](const member& changed) { handle_member_change(changed); });
    peers->on_superseded([this] {
        log_event(log_level::error, "daemon_superseded",
                  {{"remedy", "give each daemon its own --node"}});
        if (superseded)
            superseded();
    });
}

void daemon::impl::install(std::shared_ptr<const configuration> tables)
{
    m_pools_by_key.clear();
    m_workspaces_by_key.clear();
    for (const pool& row : tables->pools) {
        m_pools_by_key[wire_key(row.name.value())] = row.name;
        for (const share& one : row.shares)
            m_workspaces_by_key[wire_key(one.workspace.value())] = one.workspace;
    }
    groups->install(tables);
    plain->install(*tables);
    requests->handle(tables_installed{*tables});
}

void daemon::impl::push_groups()
{
    std::vector<groups::complete_group> now = groups->complete();
    if (now == m_pushed)
        return;
    m_valid_until.clear();
    groups_changed changed;
    for (const groups::complete_group& group : now) {
        m_valid_until[group.group] = group.valid_until;
        changed.groups.push_back(to_target(group));
    }
    m_pushed = std::move(now);
    requests->handle(std::move(changed));
}

/// Checks the time, since a ticket may have expired after push_groups() last gave the groups to the
/// request core.
bool daemon::impl::has_valid_ticket(const group_id& group) const
{
    const auto found = m_valid_until.find(group);
    return found != m_valid_until.end() && runtime_clock::now() < found->second;
}

void daemon::impl::handle_rumor(const rumor& reported)
{
    if (const auto* ticket = std::get_if<ticket_digest>(&reported))
        groups->handle_ticket(*ticket);
    else if (const auto* newer = std::get_if<key_notice>(&reported))
        groups->handle_key_notice(*newer);
    else if (const auto* wanted = std::get_if<demand>(&reported))
        handle_demand(*wanted);
    else if (const auto* gone = std::get_if<leaving>(&reported))
        plain->reported(gone->server);
}

void daemon::impl::handle_demand(const demand& reported)
{
    const auto pool_name = m_pools_by_key.find(reported.pool);
    const auto workspace = m_workspaces_by_key.find(reported.workspace);
    if (pool_name == m_pools_by_key.end() || workspace == m_workspaces_by_key.end())
        return;
    for (const member& one : peers->members()) {
        if (wire_key(one.node.value()) != reported.node || one.node == settings.node)
            continue;
        const time_point now = runtime_clock::now();
        auto& rows = m_demand[one.node].rows;
        const demand_row row{pool_name->second, workspace->second, reported.in_flight, 0};
        rows[{row.pool, row.workspace}] = {row, now};
        std::erase_if(rows,
                      [now](const auto& entry) { return now - entry.second.second > demand_ttl; });
        peer_demand_received seen{one.node, {}};
        for (const auto& [key, kept] : rows)
            seen.rows.push_back(kept.first);
        requests->handle(std::move(seen));
        return;
    }
}

void daemon::impl::publish_demand(const share_demand& own)
{
    for (const demand_row& row : own.rows) {
        demand published;
        published.pool = wire_key(row.pool.value());
        published.workspace = wire_key(row.workspace.value());
        published.in_flight = row.in_flight + row.queued;
        peers->publish(published);
    }
}

void daemon::impl::handle_member_change(const member& changed)
{
    if (changed.live() || changed.node == settings.node)
        return;
    m_demand.erase(changed.node);
    requests->handle(peer_left{changed.node});
}

std::string daemon::impl::metrics_page()
{
    gauges now = common_gauges(counts, *caller_server, *peers, kv, *spans);
    now.ready = ready();
    now.revision = config->status().installed.value();
    now.platform_lost = config->status().platform_lost;
    now.complete_groups = groups->complete().size();
    now.managed_domains = groups->managed().size();
    return exported_metrics.render(now);
}

} // namespace jaynotch
