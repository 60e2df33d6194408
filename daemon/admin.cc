#include "daemon/admin.h"

#include "daemon/admin_answers.h"

#include <charconv>

// Pages are built from this node's in-memory state; only the history and old revisions are read
// from the key-value service. The port's mutual TLS authenticates callers before a request is read.

namespace jaynotch {

namespace {

constexpr std::size_t max_apply_bytes = 8 * 1024 * 1024;

std::string string_field(const boost::json::object& body, std::string_view name)
{
    const auto* value = body.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()}
                                                  : std::string{};
}

result<change_request> parse_change_request(std::string_view text)
{
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view{text.data(), text.size()}, failed);
    if (failed || !parsed.is_object())
        return error{error_kind::invalid_argument, "the body is not a JSON object",
                     "send {\"routes\",\"pools\",\"base_revision\",\"author\",\"message\","
                     "\"change_id\"}"};
    const boost::json::object& body = parsed.get_object();
    change_request change;
    change.routes_toml = string_field(body, "routes");
    change.pools_toml = string_field(body, "pools");
    change.author = string_field(body, "author");
    change.message = string_field(body, "message");
    change.change_id = string_field(body, "change_id");
    const auto* base = body.if_contains("base_revision");
    if (base != nullptr && base->is_int64())
        change.base = config_revision{base->get_int64()};
    if (change.change_id.empty())
        return error{error_kind::invalid_argument, "\"change_id\" is missing",
                     "send an identity of the change, the same when asking again"};
    return change;
}

boost::json::object history_row(const history_entry& entry)
{
    return {{"revision", entry.revision.value()},
            {"change_id", entry.change_id},
            {"author", entry.author},
            {"at_ms", entry.time_ms},
            {"message", entry.message}};
}

boost::json::object change_row(const row_change& change)
{
    boost::json::array fields;
    for (const field_change& one : change.fields)
        fields.push_back(boost::json::object{
            {"field", one.field}, {"before", one.before}, {"after", one.after}});
    return {{"table", to_name(change.table)},
            {"row", change.row},
            {"change", to_name(change.kind)},
            {"fields", std::move(fields)}};
}

} // namespace

admin_pages::admin_pages(admin_sources sources) : m_sources{std::move(sources)} {}

net::awaitable<void> admin_pages::serve(http_exchange& exchange)
{
    const std::string_view path = exchange.path();
    const bool post = exchange.request().method() == http::verb::post;
    const error unknown{error_kind::not_found, "no such page", "see docs/operations-daemon.md"};
    if (post != (path == "/admin/v1/apply")) {
        co_await answer_error(exchange, unknown);
        co_return;
    }
    if (post) {
        co_await apply(exchange);
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
    else if (path == "/admin/v1/history") {
        co_await show_history(exchange);
    }
    else if (path == "/admin/v1/diff") {
        co_await show_diff(exchange);
    }
    else {
        co_await answer_error(exchange, unknown);
    }
}

net::awaitable<void> admin_pages::apply(http_exchange& exchange)
{
    const result<std::string> body = co_await exchange.read_body(max_apply_bytes);
    if (!body) {
        co_await answer_error(exchange, body.error());
        co_return;
    }
    result<change_request> change = parse_change_request(body.value());
    if (!change) {
        co_await answer_error(exchange, change.error());
        co_return;
    }
    const result<accepted_change> done = co_await m_sources.config.apply(std::move(change).value());
    if (!done) {
        co_await answer_error(exchange, done.error());
        co_return;
    }
    const boost::json::object page{{"revision", done.value().revision.value()},
                                   {"change_id", done.value().change_id},
                                   {"at_ms", done.value().time_ms},
                                   {"merged", done.value().merged},
                                   {"repeated", done.value().repeated}};
    co_await answer_json(exchange, page);
}

net::awaitable<result<configuration>> admin_pages::configuration_at(std::string revision)
{
    if (revision.empty()) {
        const std::shared_ptr<const configuration> now = m_sources.config.current();
        if (now)
            co_return *now;
        co_return error{error_kind::not_found, "no configuration is in force here yet",
                        "apply the tables first"};
    }
    std::int64_t number = 0;
    const auto [end, failed] =
        std::from_chars(revision.data(), revision.data() + revision.size(), number);
    if (failed != std::errc{} || end != revision.data() + revision.size())
        co_return error{error_kind::invalid_argument, "the revision is not a number",
                        "write a revision that /admin/v1/history lists"};
    const std::shared_ptr<const configuration> now = m_sources.config.current();
    if (now && now->revision == config_revision{number})
        co_return *now;
    co_return co_await m_sources.config.at(config_revision{number});
}

net::awaitable<void> admin_pages::show_config(http_exchange& exchange)
{
    const result<configuration> tables = co_await configuration_at(exchange.query("revision"));
    if (!tables) {
        co_await answer_error(exchange, tables.error());
        co_return;
    }
    boost::json::object page{{"revision", tables.value().revision.value()},
                             {"routes", render_routes(tables.value())},
                             {"pools", render_pools(tables.value())}};
    const result<std::vector<history_entry>> changes = co_await m_sources.config.history();
    if (changes) {
        for (const history_entry& entry : changes.value()) {
            if (entry.revision == tables.value().revision) {
                for (const auto& field : history_row(entry))
                    page[field.key()] = field.value();
            }
        }
    }
    co_await answer_json(exchange, page);
}

net::awaitable<void> admin_pages::show_history(http_exchange& exchange)
{
    const result<std::vector<history_entry>> changes = co_await m_sources.config.history();
    if (!changes) {
        co_await answer_error(exchange, changes.error());
        co_return;
    }
    boost::json::array rows;
    for (const history_entry& entry : changes.value())
        rows.push_back(history_row(entry));
    const boost::json::object page{{"changes", std::move(rows)}};
    co_await answer_json(exchange, page);
}

net::awaitable<void> admin_pages::show_diff(http_exchange& exchange)
{
    const result<configuration> from = co_await configuration_at(exchange.query("from"));
    const result<configuration> to = co_await configuration_at(exchange.query("to"));
    if (!from || !to) {
        co_await answer_error(exchange, from ? to.error() : from.error());
        co_return;
    }
    boost::json::array rows;
    for (const row_change& change : diff(from.value(), to.value()))
        rows.push_back(change_row(change));
    const boost::json::object page{{"from", from.value().revision.value()},
                                   {"to", to.value().revision.value()},
                                   {"changes", std::move(rows)}};
    co_await answer_json(exchange, page);
}

boost::json::object admin_pages::status_page() const
{
    const config_status config = m_sources.config.status();
    boost::json::array managing;
    for (const fabric_domain_id& domain : m_sources.groups.managed())
        managing.push_back(boost::json::string{domain.value()});
    const auto uptime =
        std::chrono::duration_cast<std::chrono::seconds>(runtime_clock::now() - m_sources.started);
    return {{"node", m_sources.settings.node.value()},
            {"failure_domain", m_sources.settings.failure_domain.value()},
            {"deployment", m_sources.settings.deployment},
            {"ready", m_sources.ready()},
            {"revision", config.installed.value()},
            {"head", config.head.value()},
            {"platform", config.platform_lost ? "dark" : "reachable"},
            {"watching", config.watching},
            {"last_error", config.last_error},
            {"managing", std::move(managing)},
            {"uptime_s", uptime.count()},
            {"in_flight", m_sources.in_flight()}};
}

boost::json::object admin_pages::nodes_page() const
{
    boost::json::array rows;
    for (const node_confirmation& one : m_sources.config.node_confirmations())
        rows.push_back(boost::json::object{{"node", one.node.value()},
                                           {"failure_domain", one.failure_domain.value()},
                                           {"state", to_name(one.state)},
                                           {"revision", one.revision.value()},
                                           {"platform_lost", one.platform_lost},
                                           {"age_ms", nullptr}});
    return {{"nodes", std::move(rows)}};
}

boost::json::object admin_pages::groups_page() const
{
    boost::json::array rows;
    for (const assigned_group& one : m_sources.groups.assigned_groups()) {
        boost::json::array members;
        for (const groups::member& vm : one.assigned.members)
            members.push_back(boost::json::object{{"vm", vm.vm.value()},
                                                  {"address", vm.address},
                                                  {"state", m_sources.groups.state_of(vm.vm)}});
        const bool any = !one.assigned.members.empty();
        rows.push_back(boost::json::object{
            {"group", one.assigned.group.value()},
            {"pool", one.assigned.pool.value()},
            {"fabric_domain", one.domain.value()},
            {"leader", any ? one.assigned.members.front().address : std::string{}},
            {"members", std::move(members)},
            {"complete", one.complete},
            {"fencing", one.fencing.value()},
            {"version", one.assigned.version}});
    }
    return {{"groups", std::move(rows)}};
}

} // namespace jaynotch
