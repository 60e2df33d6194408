#include "standins/kv_standin.h"

#include "base/json_fields.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Leases have no timers. Expired ones are removed before each call and by each open watch, which
// wakes up at least every `max_watch_wait`; that is precise enough for leases of seconds.

namespace jaynotch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr duration max_watch_wait = std::chrono::milliseconds{20};
constexpr std::string_view request_name = "key-value request";
constexpr std::size_t max_value_bytes = 1'500'000;

std::string decimal(std::int64_t number)
{
    return std::to_string(number);
}

struct key_range {
    std::string key;
    bool prefix = false;
};

result<key_range> read_range(const json::object& object)
{
    json_fields fields{object, request_name};
    BOOST_OUTCOME_TRY(std::string key, base64_decode(fields.text("key")));
    BOOST_OUTCOME_TRY(const std::string end, base64_decode(fields.text("range_end")));
    if (fields.failure())
        return *fields.failure();
    if (!end.empty() && end != prefix_end(key))
        return error{error_kind::invalid_argument, "only ranges by prefix are known", ""};
    return key_range{std::move(key), !end.empty()};
}

struct watch_request {
    std::string prefix;
    std::int64_t start_revision = 0; ///< 0: from the next change
};

result<watch_request> read_watch(const std::string& body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, request_name));
    json_fields outer{object, request_name};
    outer.require("create_request");
    const json::object* create = outer.object("create_request");
    if (outer.failure())
        return *outer.failure();
    json_fields fields{*create, request_name};
    const std::int64_t start_revision = fields.integer("start_revision");
    BOOST_OUTCOME_TRY(key_range range, read_range(*create));
    if (fields.failure())
        return *fields.failure();
    return watch_request{std::move(range.key), start_revision};
}

json::object render_event(const kv_event& event)
{
    json::object rendered{{"kv", render_kv_entry(event.entry)}};
    if (event.deleted)
        rendered["type"] = "DELETE";
    return rendered;
}

} // namespace

bool call_rate_limiter::admit(time_point now)
{
    if (m_per_second == 0)
        return true;
    if (now - m_window_start >= std::chrono::seconds{1}) {
        m_window_start = now;
        m_admitted = 0;
    }
    return m_admitted++ < m_per_second;
}

kv_standin::kv_standin(const asio::any_io_executor& executor, const kv_standin_settings& settings)
    : m_executor{executor}, m_reads{settings.reads_per_second}, m_writes{settings.writes_per_second}
{}

result<std::shared_ptr<kv_standin>> kv_standin::start(const asio::any_io_executor& executor,
                                                      const kv_standin_settings& settings)
{
    std::shared_ptr<kv_standin> standin{new kv_standin{executor, settings}};
    const standin_handler handler = forward_to(standin, &kv_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server,
                      standin_server::listen(executor, settings.listen, handler));
    return standin;
}

void kv_standin::apply(const fault_change& change)
{
    m_faults.apply(change);
    if (change.rate)
        m_writes.set(*change.rate);
    if (change.kill)
        m_server->set_running(!*change.kill);
    wake_watches();
}

void kv_standin::expire_lease(lease_id lease)
{
    m_store.revoke(lease);
    wake_watches();
}

void kv_standin::wake_watches()
{
    for (timer* wait : m_watch_timers)
        wait->cancel();
}

json::object kv_standin::header() const
{
    return json::object{{"cluster_id", "1"},
                        {"member_id", "1"},
                        {"raft_term", "1"},
                        {"revision", decimal(m_store.revision())}};
}

awaitable<void> kv_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    exchange.set_link(link);
    const auto change_faults = [this](const fault_change& change) { apply(change); };
    const bool taken = co_await handle_fault_request(exchange, change_faults);
    if (taken)
        co_return;
    if (exchange.path() == "/stats") {
        const call_answer page = stats();
        co_await exchange.answer(page.status, page.body);
        co_return;
    }
    if (co_await apply_faults(m_executor, m_faults, exchange))
        co_return;
    m_store.expire(runtime_clock::now());
    if (exchange.path() == "/v3/watch") {
        co_await watch(exchange);
        co_return;
    }
    call_answer response = call(exchange);
    wake_watches();
    co_await answer_with_faults(m_faults, exchange, response.status, std::move(response.body));
}

kv_standin::call_answer kv_standin::call(standin_exchange& exchange)
{
    const std::string_view path = exchange.path();
    const bool is_read = path == "/v3/kv/range";
    if (!(is_read ? m_reads : m_writes).admit(runtime_clock::now())) {
        ++m_refused;
        return {http::status::too_many_requests, error_body("rate limit", 8)};
    }
    if (is_read)
        return range(exchange.body());
    if (path == "/v3/kv/txn")
        return transact(exchange.body());
    if (path == "/v3/lease/grant")
        return grant(exchange.body());
    if (path == "/v3/lease/keepalive")
        return keep_alive(exchange.body());
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke")
        return revoke(exchange.body());
    return {http::status::not_found, error_body("Not Found", 5)};
}

kv_standin::call_answer kv_standin::range(const std::string& body)
{
    const result<json::object> object = parse_json_object(body, request_name);
    if (!object)
        return {http::status::bad_request, error_body(object.error().message, 3)};
    const result<key_range> range = read_range(object.value());
    if (!range)
        return {http::status::bad_request, error_body(range.error().message, 3)};
    json::array kvs;
    if (range.value().prefix) {
        m_counts.add(kv_call::get_prefix);
        for (const auto& entry : m_store.with_prefix(range.value().key))
            kvs.push_back(render_kv_entry(entry));
    }
    else {
        m_counts.add(kv_call::get);
        if (const kv_entry* entry = m_store.find(range.value().key))
            kvs.push_back(render_kv_entry(*entry));
    }
    json::object answer{{"header", header()}};
    if (!kvs.empty()) {
        answer["count"] = decimal(static_cast<std::int64_t>(kvs.size()));
        answer["kvs"] = std::move(kvs);
    }
    return {http::status::ok, json::serialize(answer)};
}

kv_standin::call_answer kv_standin::transact(const std::string& body)
{
    m_counts.add(kv_call::transact);
    if (body.size() > max_value_bytes)
        return {http::status::bad_request, error_body("request is too large", 3)};
    const result<kv_transaction> transaction = parse_kv_transaction(body);
    if (!transaction)
        return {http::status::bad_request, error_body(transaction.error().message, 3)};
    const result<kv_outcome> outcome = m_store.transact(transaction.value());
    if (!outcome)
        return {http::status::not_found, error_body(outcome.error().message, 5)};
    json::array responses;
    for (const auto& entry : outcome.value().entries)
        responses.push_back(json::object{
            {"response_range", json::object{{"kvs", json::array{render_kv_entry(entry)}}}}});
    json::object answer{{"header", header()}};
    if (outcome.value().succeeded)
        answer["succeeded"] = true;
    answer["responses"] = std::move(responses);
    return {http::status::ok, json::serialize(answer)};
}

kv_standin::call_answer kv_standin::grant(const std::string& body)
{
    m_counts.add(kv_call::grant);
    const result<json::object> object = parse_json_object(body, request_name);
    if (!object)
        return {http::status::bad_request, error_body(object.error().message, 3)};
    json_fields fields{object.value(), request_name};
    const std::int64_t ttl = fields.integer("TTL");
    if (fields.failure() || ttl <= 0)
        return {http::status::bad_request, error_body("TTL is missing", 3)};
    const lease_id id = m_store.grant(std::chrono::seconds{ttl}, runtime_clock::now());
    return {http::status::ok,
            json::serialize(json::object{
                {"header", header()}, {"ID", decimal(id.value())}, {"TTL", decimal(ttl)}})};
}

kv_standin::call_answer kv_standin::keep_alive(const std::string& body)
{
    m_counts.add(kv_call::keep_alive);
    const result<json::object> object = parse_json_object(body, request_name);
    if (!object)
        return {http::status::bad_request, error_body(object.error().message, 3)};
    json_fields fields{object.value(), request_name};
    const lease_id id{fields.integer("ID")};
    const std::optional<duration> ttl = m_store.keep_alive(id, runtime_clock::now());
    json::object inner{{"header", header()}, {"ID", decimal(id.value())}};
    if (ttl)
        inner["TTL"] = decimal(std::chrono::duration_cast<std::chrono::seconds>(*ttl).count());
    return {http::status::ok, json::serialize(json::object{{"result", std::move(inner)}})};
}

kv_standin::call_answer kv_standin::revoke(const std::string& body)
{
    m_counts.add(kv_call::revoke);
    const result<json::object> object = parse_json_object(body, request_name);
    if (!object)
        return {http::status::bad_request, error_body(object.error().message, 3)};
    json_fields fields{object.value(), request_name};
    if (!m_store.revoke(lease_id{fields.integer("ID")}))
        return {http::status::not_found, error_body("requested lease not found", 5)};
    return {http::status::ok, json::serialize(json::object{{"header", header()}})};
}

kv_standin::call_answer kv_standin::stats() const
{
    json::object counts;
    for (const auto& entry : enum_names<kv_call>::entries)
        counts[entry.name] = m_counts.of(entry.value);
    counts["refused"] = m_refused;
    counts["waiting_watches"] = m_open_watches;
    return {http::status::ok, json::serialize(counts)};
}

std::string kv_standin::created_line() const
{
    const json::object inner{{"header", header()}, {"created", true}};
    return json::serialize(json::object{{"result", inner}}) + "\n";
}

std::string kv_standin::changes_line(const std::string& prefix, std::int64_t start_revision) const
{
    const result<std::vector<kv_event>> seen = m_store.changes(prefix, start_revision);
    json::object inner{{"header", header()}};
    if (!seen) {
        inner["canceled"] = true;
        return json::serialize(json::object{{"result", inner}}) + "\n";
    }
    if (seen.value().empty())
        return {};
    json::array events;
    for (const auto& event : seen.value())
        events.push_back(render_event(event));
    inner["events"] = std::move(events);
    return json::serialize(json::object{{"result", inner}}) + "\n";
}

awaitable<void> kv_standin::watch(standin_exchange& exchange)
{
    m_counts.add(kv_call::watch);
    const result<watch_request> parsed = read_watch(exchange.body());
    if (!parsed) {
        co_await exchange.answer(http::status::bad_request, error_body("malformed watch", 3));
        co_return;
    }
    std::int64_t start_revision = parsed.value().start_revision;
    if (start_revision <= 0)
        start_revision = m_store.revision() + 1;
    ++m_open_watches;
    timer wait{m_executor};
    m_watch_timers.insert(&wait);
    bool open = co_await exchange.begin_chunks(http::status::ok, "application/json");
    if (open)
        open = co_await exchange.write_chunk(created_line());
    while (open && !exchange.client_disconnected() && !m_faults.outage && !m_faults.kill) {
        m_store.expire(runtime_clock::now());
        if (!m_faults.pause && m_store.revision() >= start_revision) {
            std::string line = changes_line(parsed.value().prefix, start_revision);
            start_revision = m_store.revision() + 1;
            if (!line.empty())
                open = co_await exchange.write_chunk(std::move(line));
            continue;
        }
        wait.expires_after(max_watch_wait);
        boost::system::error_code ignored;
        co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_watch_timers.erase(&wait);
    --m_open_watches;
    exchange.cut();
}

} // namespace jaynotch
