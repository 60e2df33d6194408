#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

// A watch is a request that stays open until something under its prefix changes or its waiting time
// ends. It polls the store and the fault flags every `poll_step`, because tests set the flags
// without a notification.

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr duration poll_step = 2ms;

json::object render_entry(const kv_entry& entry)
{
    return {{"key", entry.key},
            {"value", base64_encode(entry.value)},
            {"rev", entry.mod_revision},
            {"created", entry.create_revision},
            {"lease", entry.lease.value()}};
}

json::array render_events(const std::vector<kv_event>& changes)
{
    json::array events;
    for (const kv_event& event : changes) {
        json::object item = render_entry(event.entry);
        if (event.deleted)
            item["tombstone"] = true;
        events.push_back(std::move(item));
    }
    return events;
}

std::int64_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

result<std::shared_ptr<store_standin>>
store_standin::start(const boost::asio::any_io_executor& executor)
{
    std::shared_ptr<store_standin> standin{new store_standin{executor}};
    const standin_handler handler = forward_to(standin, &store_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server, standin_server::listen(executor, "127.0.0.1:0", handler));
    return standin;
}

void store_standin::put(const std::string& key, const std::string& value)
{
    (void)store.transact({{}, {kv_put{key, value, {}}}, {}});
}

void store_standin::remove(const std::string& key)
{
    (void)store.transact({{}, {kv_delete{key}}, {}});
}

void store_standin::drop_history()
{
    m_dropped_revision = store.revision();
    ++m_history_drops;
}

void store_standin::restore(kv_store copy)
{
    store = std::move(copy);
    ++era;
    ++m_history_drops; // cuts the open watches
}

awaitable<void> store_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    ++calls;
    exchange.set_link(link);
    if (era != 0)
        exchange.set("Store-Era", std::to_string(era));
    store.expire(runtime_clock::now());
    const std::string path{exchange.path()};
    if (is_unavailable) {
        co_await exchange.answer(http::status::service_unavailable, "{}");
        co_return;
    }
    if (path == "/kv-watch") {
        co_await watch(exchange);
        co_return;
    }
    if (path == "/kv-txn") {
        co_await transact(exchange);
        co_return;
    }
    if (path.starts_with("/kv-lease") || path.starts_with("/kv-keep/")) {
        co_await lease(exchange);
        co_return;
    }
    if (path == "/kv-range") {
        json::array items;
        for (const kv_entry& entry : store.with_prefix(exchange.query("prefix")))
            items.push_back(render_entry(entry));
        json::object page;
        page["items"] = std::move(items);
        page["has_more"] = false;
        page["current_rev"] = store.revision();
        std::string text = json::serialize(page);
        co_await exchange.answer(http::status::ok, std::move(text));
        co_return;
    }
    const kv_entry* entry = store.find(exchange.query("key"));
    json::object item;
    if (entry != nullptr)
        item = render_entry(*entry);
    item["current_rev"] = store.revision();
    std::string text = json::serialize(item);
    co_await exchange.answer(entry != nullptr ? http::status::ok : http::status::not_found,
                             std::move(text));
}

awaitable<void> store_standin::watch(standin_exchange& exchange)
{
    const std::string prefix = exchange.query("prefix");
    const std::int64_t after = parse_number(exchange.query("after"));
    const time_point until =
        runtime_clock::now() + std::chrono::milliseconds{parse_number(exchange.query("wait_ms"))};
    const std::size_t drops_at_start = m_history_drops;
    const std::size_t stalls_at_start = m_watch_stalls;
    json::array events;
    for (;;) {
        store.expire(runtime_clock::now());
        if (drops_at_start != m_history_drops || exchange.client_disconnected()) {
            exchange.cut();
            co_return;
        }
        const result<std::vector<kv_event>> changes_since = store.changes(prefix, after + 1);
        if (!changes_since || after > store.revision()) {
            co_await exchange.answer(http::status::gone, "{}");
            co_return;
        }
        const bool may_report =
            !withholds_changes && stalls_at_start == m_watch_stalls && after >= m_dropped_revision;
        if (may_report)
            events = render_events(changes_since.value());
        const bool timed_out = runtime_clock::now() >= until && stalls_at_start == m_watch_stalls;
        if (!events.empty() || is_unavailable || timed_out)
            break;
        co_await standin_sleep(m_executor, poll_step);
    }
    if (after < m_dropped_revision && !is_unavailable) {
        co_await exchange.answer(http::status::gone, "{}");
        co_return;
    }
    json::object page;
    page["events"] = std::move(events);
    page["current_rev"] = store.revision();
    std::string text = json::serialize(page);
    co_await exchange.answer(is_unavailable ? http::status::service_unavailable : http::status::ok,
                             std::move(text));
}

awaitable<void> store_standin::transact(standin_exchange& exchange)
{
    const json::object request = json::parse(exchange.body()).as_object();
    kv_transaction transaction;
    json::array found;
    for (const json::value& row : request.at("expected").as_array()) {
        const std::string key{row.at("key").as_string()};
        transaction.compares.push_back({key, row.at("rev").to_number<std::int64_t>()});
        if (const kv_entry* entry = store.find(key); entry != nullptr)
            found.push_back(render_entry(*entry));
    }
    for (const json::value& row : request.at("puts").as_array()) {
        const std::string value{row.at("value").as_string()};
        transaction.then.push_back(kv_put{std::string{row.at("key").as_string()},
                                          base64_decode(value).value(),
                                          lease_id{row.at("lease").to_number<std::int64_t>()}});
    }
    for (const json::value& key : request.at("remove").as_array())
        transaction.then.push_back(kv_delete{std::string{key.as_string()}});
    const result<kv_outcome> outcome = store.transact(transaction);
    json::object response;
    http::status status = http::status::ok;
    if (!outcome) {
        status = http::status::not_found;
    }
    else if (outcome.value().succeeded) {
        response["rev"] = outcome.value().revision;
    }
    else {
        status = http::status::precondition_failed;
        response["items"] = std::move(found);
    }
    std::string text = json::serialize(response);
    co_await exchange.answer(status, std::move(text));
}

awaitable<void> store_standin::lease(standin_exchange& exchange)
{
    const std::string path{exchange.path()};
    const std::size_t slash = path.rfind('/');
    const bool has_id = slash != 0;
    const lease_id id{has_id ? parse_number(path.substr(slash + 1)) : 0};
    json::object response;
    http::status status = http::status::ok;
    if (!has_id) {
        const json::object request = json::parse(exchange.body()).as_object();
        const auto ttl = request.at("ttl_ms").to_number<std::int64_t>();
        response["lease"] =
            store.grant(std::chrono::milliseconds{ttl}, runtime_clock::now()).value();
        response["ttl_ms"] = ttl;
    }
    else if (exchange.method() == http::verb::delete_) {
        store.revoke(id);
    }
    else if (const auto ttl = store.keep_alive(id, runtime_clock::now())) {
        response["ttl_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*ttl).count();
    }
    else {
        status = http::status::not_found;
    }
    std::string text = json::serialize(response);
    co_await exchange.answer(status, std::move(text));
}

} // namespace jaynotch
