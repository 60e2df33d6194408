#include "daemon/registry_pages.h"

#include "daemon/admin_answers.h"
#include "tables/parse.h"

// Pages are built from this node's in-memory state. The platform's store keeps the tables and their
// history; requests to change tables are refused with an error that names the store.

namespace jaynotch {

namespace {

using groups::group_key;

std::map<group_key, std::map<std::uint32_t, const runner*>>
groups_of(const groups::runner_registry& registry)
{
    std::map<group_key, std::map<std::uint32_t, const runner*>> found;
    for (const auto& [id, entry] : registry.runners()) {
        if (entry.listed && entry.row.group)
            found[groups::key_of(*entry.row.group)][entry.row.group->rank] = &entry.row;
    }
    return found;
}

boost::json::object group_row(const group_key& key,
                              const std::map<std::uint32_t, const runner*>& members)
{
    boost::json::array shown;
    bool open = false;
    for (const auto& [rank, row] : members) {
        open = open || row->group->phase == member_phase::open;
        shown.push_back(boost::json::object{{"vm", row->id.value()},
                                            {"address", row->address},
                                            {"state", to_name(row->group->phase)}});
    }
    const runner& first = *members.begin()->second;
    return {{"group", key.first.value()},
            {"pool", first.model.empty() ? first.service : first.service + "/" + first.model},
            {"fabric_domain", first.fabric_domain.value()},
            {"leader", first.address},
            {"members", std::move(shown)},
            {"complete", open},
            {"fencing", key.second},
            {"version", first.model}};
}

} // namespace

net::awaitable<void> registry_pages::serve(http_exchange& exchange)
{
    const std::string path{exchange.path()};
    const bool writes = exchange.request().method() != http::verb::get;
    if (writes || path == "/admin/v1/history" || path == "/admin/v1/diff") {
        co_await answer_error(exchange,
                              {error_kind::unauthorized,
                               "the tables are kept in the platform's store, with their history",
                               "change them there; this node shows what is in force"});
    }
    else if (path == "/metrics") {
        const std::string page = m_sources.metrics_page();
        co_await answer_metrics(exchange, page);
    }
    else if (path == "/admin/v1/status") {
        co_await answer_json(exchange, status_page());
    }
    else if (path == "/admin/v1/nodes") {
        co_await answer_json(exchange, nodes_page());
    }
    else if (path == "/admin/v1/groups") {
        co_await answer_json(exchange, groups_page());
    }
    else if (path == "/admin/v1/drain") {
        co_await answer_json(exchange, drain_page(m_sources.requests.core().targets()));
    }
    else if (path == "/admin/v1/config") {
        co_await show_config(exchange);
    }
    else {
        co_await answer_error(
            exchange, {error_kind::not_found, "no such page", "see docs/operations-daemon.md"});
    }
}

net::awaitable<void> registry_pages::show_config(http_exchange& exchange)
{
    const std::shared_ptr<const configuration> tables = m_sources.tables();
    const std::string requested = exchange.query("revision");
    const bool other =
        tables && !requested.empty() && requested != std::to_string(tables->revision.value());
    if (!tables || other) {
        co_await answer_error(exchange,
                              {error_kind::not_found, "this node knows the tables in force only",
                               "ask without a revision, or look into the platform's store"});
        co_return;
    }
    const boost::json::object page{{"revision", tables->revision.value()},
                                   {"routes", render_routes(*tables)},
                                   {"pools", render_pools(*tables)}};
    co_await answer_json(exchange, page);
}

boost::json::object registry_pages::status_page() const
{
    const std::shared_ptr<const configuration> tables = m_sources.tables();
    const std::int64_t revision = tables ? tables->revision.value() : 0;
    boost::json::array managing;
    for (const failure_domain_id& domain : m_sources.managed())
        managing.push_back(boost::json::string{domain.value()});
    boost::json::array evacuated;
    for (const failure_domain_id& domain : m_sources.registry.evacuated_domains())
        evacuated.push_back(boost::json::string{domain.value()});
    const auto uptime =
        std::chrono::duration_cast<std::chrono::seconds>(runtime_clock::now() - m_sources.started);
    return {{"node", m_sources.settings.node.value()},
            {"failure_domain", m_sources.settings.failure_domain.value()},
            {"deployment", m_sources.settings.deployment},
            {"ready", m_sources.ready()},
            {"revision", revision},
            {"newest_configuration", m_sources.config_unreadable() ? "unreadable" : "readable"},
            {"keys_required", tables && tables->keys_required()},
            {"keys", tables ? tables->key_count() : 0},
            {"platform", m_sources.store_reached() ? "reachable" : "told by peers"},
            {"servers", m_sources.requests.core().cut_off() ? "unreachable" : "reachable"},
            {"managing", std::move(managing)},
            {"evacuated", std::move(evacuated)},
            {"runners", m_sources.registry.listed()},
            {"uptime_s", uptime.count()},
            {"in_flight", m_sources.in_flight()}};
}

boost::json::object registry_pages::nodes_page() const
{
    const std::shared_ptr<const configuration> tables = m_sources.tables();
    boost::json::array rows;
    for (const member& one : m_sources.peers.members()) {
        boost::json::object row{{"node", one.node.value()},
                                {"failure_domain", one.failure_domain.value()},
                                {"state", to_name(one.state)}};
        const bool own = one.node == m_sources.settings.node;
        row["revision"] = own && tables ? boost::json::value(tables->revision.value()) : nullptr;
        rows.push_back(std::move(row));
    }
    return {{"nodes", std::move(rows)}};
}

boost::json::object registry_pages::groups_page() const
{
    boost::json::array rows;
    for (const auto& [key, members] : groups_of(m_sources.registry))
        rows.push_back(group_row(key, members));
    return {{"groups", std::move(rows)}};
}

} // namespace jaynotch
