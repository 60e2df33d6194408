#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr duration poll_step = 2ms;

json::object item_of(const kv_entry& entry)
{
    return {{"key", entry.key},
            {"value", base64_encode(entry.value)},
            {"rev", entry.mod_revision},
            {"created", entry.create_revision},
            {"lease", entry.lease.value()}};
}

json::array events_of(const std::vector<kv_event>& changes)
{
    json::array events;
    for (const kv_event& event : changes) {
        json::object item = item_of(event.entry);
        if (event.deleted)
            item["tombstone"] = true;
        events.push_back(std::move(item));
    }
    return events;
}

std::int64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

result<std::shared_ptr<store_standin>>
store_standin::start(const boost::asio::any_io_executor& executor)
{
    std::shared_ptr<store_standin> made{new store_standin{executor}};
    const standin_handler handler = forward_to(made, &store_standin::handle);
    BOOST_OUTCOME_TRY(made->m_server, standin_server::listen(executor, "127.0.0.1:0", handler));
    return made;
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
    m_forgotten = store.revision();
    ++m_drops;
}

awaitable<void> store_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    ++calls;
    store.expire(runtime_clock::now());
    const std::string path{exchange.path()};
    if (refuses) {
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
            items.push_back(item_of(entry));
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
        item = item_of(*entry);
    item["current_rev"] = store.revision();
    std::string text = json::serialize(item);
    co_await exchange.answer(entry != nullptr ? http::status::ok : http::status::not_found,
                             std::move(text));
}

awaitable<void> store_standin::watch(standin_exchange& exchange)
{
    const std::string prefix = exchange.query("prefix");
    const std::int64_t after = number(exchange.query("after"));
    const time_point until =
        runtime_clock::now() + std::chrono::milliseconds{number(exchange.query("wait_ms"))};
    const std::size_t drops = m_drops;
    const std::size_t silenced = m_silenced;
    json::array events;
    for (;;) {
        store.expire(runtime_clock::now());
        if (drops != m_drops || exchange.client_gone()) {
            exchange.cut();
            co_return;
        }
        const result<std::vector<kv_event>> seen = store.changes(prefix, after + 1);
        if (!seen) {
            co_await exchange.answer(http::status::gone, "{}");
            co_return;
        }
        const bool may_tell = !withholds_news && silenced == m_silenced && after >= m_forgotten;
        if (may_tell)
            events = events_of(seen.value());
        const bool over = runtime_clock::now() >= until && silenced == m_silenced;
        if (!events.empty() || refuses || over)
            break;
        co_await standin_sleep(m_executor, poll_step);
    }
    if (after < m_forgotten && !refuses) {
        co_await exchange.answer(http::status::gone, "{}");
        co_return;
    }
    json::object page;
    page["events"] = std::move(events);
    page["current_rev"] = store.revision();
    std::string text = json::serialize(page);
    co_await exchange.answer(refuses ? http::status::service_unavailable : http::status::ok,
                             std::move(text));
}

awaitable<void> store_standin::transact(standin_exchange& exchange)
{
    const json::object asked = json::parse(exchange.body()).as_object();
    kv_transaction wanted;
    json::array found;
    for (const json::value& row : asked.at("expected").as_array()) {
        const std::string key{row.at("key").as_string()};
        wanted.compares.push_back({key, row.at("rev").to_number<std::int64_t>()});
        if (const kv_entry* entry = store.find(key); entry != nullptr)
            found.push_back(item_of(*entry));
    }
    for (const json::value& row : asked.at("puts").as_array()) {
        const std::string value{row.at("value").as_string()};
        wanted.then.push_back(kv_put{std::string{row.at("key").as_string()},
                                     base64_decode(value).value(),
                                     lease_id{row.at("lease").to_number<std::int64_t>()}});
    }
    for (const json::value& key : asked.at("remove").as_array())
        wanted.then.push_back(kv_delete{std::string{key.as_string()}});
    const result<kv_outcome> done = store.transact(wanted);
    json::object told;
    http::status status = http::status::ok;
    if (!done) {
        status = http::status::not_found;
    }
    else if (done.value().succeeded) {
        told["rev"] = done.value().revision;
    }
    else {
        status = http::status::precondition_failed;
        told["items"] = std::move(found);
    }
    std::string text = json::serialize(told);
    co_await exchange.answer(status, std::move(text));
}

awaitable<void> store_standin::lease(standin_exchange& exchange)
{
    const std::string path{exchange.path()};
    const std::size_t slash = path.rfind('/');
    const bool named = slash != 0;
    const lease_id id{named ? number(path.substr(slash + 1)) : 0};
    json::object told;
    http::status status = http::status::ok;
    if (!named) {
        const json::object asked = json::parse(exchange.body()).as_object();
        const auto ttl = asked.at("ttl_ms").to_number<std::int64_t>();
        told["lease"] = store.grant(std::chrono::milliseconds{ttl}, runtime_clock::now()).value();
        told["ttl_ms"] = ttl;
    }
    else if (exchange.method() == http::verb::delete_) {
        store.revoke(id);
    }
    else if (const auto ttl = store.keep_alive(id, runtime_clock::now())) {
        told["ttl_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*ttl).count();
    }
    else {
        status = http::status::not_found;
    }
    std::string text = json::serialize(told);
    co_await exchange.answer(status, std::move(text));
}

} // namespace jaynotch
