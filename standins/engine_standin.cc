#include "standins/engine_standin.h"

#include "base/json_fields.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

// Each change of assignment starts a new epoch. Loading and draining coroutines compare their epoch
// with the current one after each wait and stop if it differs, so they can't modify the state of a
// later assignment.

namespace jaynotch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr duration weight_timeout = std::chrono::seconds{30};
constexpr duration load_retry = std::chrono::milliseconds{100};
constexpr duration drain_poll = std::chrono::milliseconds{5};
constexpr std::size_t max_executions = 200'000;

std::string gauge(std::string_view name, double value)
{
    return "# TYPE " + std::string{name} + " gauge\n" + std::string{name} + " " +
           std::to_string(value) + "\n";
}

std::uint64_t parse_number(const std::string& digits)
{
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

/// A string member of a JSON body; empty if missing.
std::string string_member(const std::string& body, std::string_view name)
{
    const result<json::object> object = parse_json_object(body, "order");
    if (!object)
        return {};
    json_fields fields{object.value(), "order"};
    return fields.text(name);
}

std::uint64_t parse_block_name(const std::string& name)
{
    std::uint64_t block = 0;
    std::from_chars(name.data(), name.data() + name.size(), block, 16);
    return block;
}

} // namespace

void engine_directory::add(const std::shared_ptr<engine_standin>& engine)
{
    m_engines[engine->address()] = engine;
}

void engine_directory::add_alias(const std::string& address,
                                 const std::shared_ptr<engine_standin>& engine)
{
    m_engines[address] = engine;
}

std::shared_ptr<engine_standin> engine_directory::find(const std::string& address) const
{
    const auto found = m_engines.find(address);
    return found == m_engines.end() ? nullptr : found->second.lock();
}

engine_standin::engine_standin(const asio::any_io_executor& executor,
                               const engine_standin_settings& settings,
                               std::shared_ptr<engine_directory> directory)
    : m_executor{executor}, m_settings{settings}, m_directory{std::move(directory)},
      m_batch{settings.batch}, m_cache{settings.cache, hash64(settings.vm.value())}
{
    boot();
}

result<std::shared_ptr<engine_standin>>
engine_standin::start(const asio::any_io_executor& executor,
                      const engine_standin_settings& settings,
                      std::shared_ptr<engine_directory> directory)
{
    std::shared_ptr<engine_standin> standin{
        new engine_standin{executor, settings, std::move(directory)}};
    const standin_handler handler = forward_to(standin, &engine_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server,
                      standin_server::listen(executor, settings.listen, handler));
    if (standin->m_directory)
        standin->m_directory->add(standin);
    return standin;
}

void engine_standin::boot()
{
    ++m_boot_count;
    m_boot_id = m_settings.vm.value() + "-" + std::to_string(m_boot_count) + "-" +
                std::to_string(wall_time_ms());
    leave();
    m_fencing = fencing_number{};
    m_cache.clear();
}

void engine_standin::die()
{
    ++m_epoch;
    m_batch.abort_all();
    m_server->stop();
}

void engine_standin::apply(const fault_change& change)
{
    const bool was_dead = m_faults.kill;
    m_faults.apply(change);
    if (m_faults.kill && !was_dead)
        die();
    if (!m_faults.kill && was_dead) {
        boot();
        m_server->restart().value();
    }
}

engine_report engine_standin::report() const
{
    engine_report current;
    current.vm = m_settings.vm;
    current.boot = m_boot_id;
    current.group = m_group;
    current.fencing = m_fencing;
    current.rank = m_rank;
    current.members = m_members;
    current.model = m_model;
    current.version = m_version;
    current.adapters = m_adapters;
    current.state = m_faults.claim_ready ? engine_state::ready : m_state;
    current.progress = m_faults.claim_ready ? 1.0 : m_progress;
    current.running = static_cast<std::uint32_t>(m_batch.running());
    current.waiting = static_cast<std::uint32_t>(m_batch.waiting());
    current.kv_used = m_batch.kv_used();
    const double base_ms =
        std::chrono::duration<double, std::milli>{m_settings.batch.step_base}.count();
    current.step_ms = m_step_ms > 0.0 ? m_step_ms : base_ms * m_faults.straggle;
    current.leaving = m_faults.leaving;
    return current;
}

bool engine_standin::is_stale(fencing_number order) const
{
    return order < m_fencing;
}

void engine_standin::join(const engine_order_assign& order)
{
    const bool same_assignment = m_state == engine_state::ready && m_group == order.group &&
                                 m_model == order.model && m_version == order.version &&
                                 m_adapters == order.adapters;
    if (!same_assignment || m_members != order.members)
        m_batch.abort_all();
    m_group = order.group;
    m_fencing = std::max(m_fencing, order.fencing);
    m_rank = order.rank;
    m_members = order.members;
    m_members_checked_at = time_point{};
    if (same_assignment)
        return;
    m_model = order.model;
    m_version = order.version;
    m_adapters = order.adapters;
    m_state = engine_state::loading;
    m_progress = 0.0;
    ++m_epoch;
    asio::co_spawn(m_executor, load(shared_from_this(), m_epoch), asio::detached);
}

void engine_standin::leave()
{
    ++m_epoch;
    m_batch.abort_all();
    m_group = group_id{};
    m_rank = 0;
    m_members.clear();
    m_model.clear();
    m_version.clear();
    m_adapters.clear();
    m_state = engine_state::idle;
    m_progress = 0.0;
    m_step_ms = 0.0;
}

awaitable<void> engine_standin::load(std::shared_ptr<engine_standin> self, std::uint64_t epoch)
{
    const std::string target = "/v1/weights/" + self->m_model + "/" + self->m_version +
                               "?parts=" + std::to_string(self->m_members.size());
    if (self->m_settings.weight_store.empty())
        co_await standin_sleep(self->m_executor, self->m_settings.load_time);
    http_client store{self->m_executor, self->m_settings.weight_store, http_limits{}};
    bool loaded = self->m_settings.weight_store.empty();
    while (!loaded && self->m_epoch == epoch) {
        http_request request;
        request.target = target;
        request.repeatable = true;
        result<http_stream> opened = co_await store.open(std::move(request), weight_timeout);
        if (!opened || opened.value().status() != http::status::ok) {
            co_await standin_sleep(self->m_executor, load_retry);
            continue;
        }
        const double total_bytes = static_cast<double>(
            parse_number(std::string{opened.value().header("jaynotch-weight-bytes")}));
        double bytes_read = 0.0;
        while (self->m_epoch == epoch) {
            result<std::string> piece = co_await opened.value().read(weight_timeout);
            if (!piece)
                break;
            while (self->m_faults.pause || self->m_faults.stall)
                co_await standin_sleep(self->m_executor, load_retry);
            bytes_read += static_cast<double>(piece.value().size());
            if (self->m_epoch == epoch && total_bytes > 0.0)
                self->m_progress = std::min(1.0, bytes_read / total_bytes);
            loaded = piece.value().empty();
            if (loaded)
                break;
        }
    }
    if (self->m_epoch != epoch)
        co_return;
    self->m_progress = 1.0;
    self->m_state = engine_state::ready;
}

awaitable<void> engine_standin::drain(std::shared_ptr<engine_standin> self, std::uint64_t epoch)
{
    while (self->m_epoch == epoch && self->m_batch.busy())
        co_await standin_sleep(self->m_executor, drain_poll);
    if (self->m_epoch == epoch)
        self->leave();
}

awaitable<void> engine_standin::handle_assign(standin_exchange& exchange)
{
    const result<engine_order_assign> order = parse_engine_assign(exchange.body());
    if (!order) {
        co_await exchange.answer(http::status::bad_request, error_body(order.error().message, 3));
        co_return;
    }
    if (is_stale(order.value().fencing) && m_settings.check_fencing) {
        co_await exchange.answer(http::status::conflict,
                                 error_body("a newer fencing number is known", 9));
        co_return;
    }
    if (is_stale(order.value().fencing))
        ++m_stale_orders_taken;
    join(order.value());
    co_await answer_with_faults(m_faults, exchange, http::status::accepted, "{}");
}

awaitable<void> engine_standin::handle_release(standin_exchange& exchange)
{
    const result<engine_order_release> order = parse_engine_release(exchange.body());
    if (!order) {
        co_await exchange.answer(http::status::bad_request, error_body(order.error().message, 3));
        co_return;
    }
    if (is_stale(order.value().fencing) && m_settings.check_fencing) {
        co_await exchange.answer(http::status::conflict,
                                 error_body("a newer fencing number is known", 9));
        co_return;
    }
    if (is_stale(order.value().fencing))
        ++m_stale_orders_taken;
    m_fencing = std::max(m_fencing, order.value().fencing);
    if (m_group == order.value().group && m_state != engine_state::idle &&
        m_state != engine_state::releasing)
    {
        m_state = engine_state::releasing;
        ++m_epoch;
        asio::co_spawn(m_executor, drain(shared_from_this(), m_epoch), asio::detached);
    }
    co_await answer_with_faults(m_faults, exchange, http::status::accepted, "{}");
}

awaitable<void> engine_standin::import_kv(standin_exchange& exchange)
{
    const std::string prefix = string_member(exchange.body(), "prefix");
    http_client source{m_executor, string_member(exchange.body(), "from"), http_limits{}};
    http_request request;
    request.method = http::verb::post;
    request.target = "/control/kv/export";
    request.body = json::serialize(json::object{{"prefix", prefix}});
    request.repeatable = true;
    const result<http_response> exported =
        co_await source.call(std::move(request), std::chrono::seconds{2});
    if (!exported || exported.value().status != http::status::ok) {
        co_await exchange.answer(http::status::not_found, error_body("no such prefix there", 5));
        co_return;
    }
    m_cache.store(parse_block_name(prefix), runtime_clock::now());
    co_await answer_with_faults(m_faults, exchange, http::status::accepted, "{}");
}

awaitable<bool> engine_standin::handle_control(standin_exchange& exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/control/report") {
        co_await answer_with_faults(m_faults, exchange, http::status::ok,
                                    render_engine_report(report()));
        co_return true;
    }
    if (path == "/control/assign") {
        co_await handle_assign(exchange);
        co_return true;
    }
    if (path == "/control/release") {
        co_await handle_release(exchange);
        co_return true;
    }
    if (path == "/control/cancel") {
        m_batch.abort_attempt(string_member(exchange.body(), "attempt"));
        co_await answer_with_faults(m_faults, exchange, http::status::accepted, "{}");
        co_return true;
    }
    if (path == "/control/cache_events") {
        const auto events =
            m_cache.events(parse_number(exchange.query("after")), runtime_clock::now());
        co_await answer_with_faults(m_faults, exchange, http::status::ok,
                                    render_cache_events(events));
        co_return true;
    }
    if (path == "/control/kv/import") {
        co_await import_kv(exchange);
        co_return true;
    }
    if (path == "/control/kv/export") {
        const bool cached =
            m_cache.has_block(parse_block_name(string_member(exchange.body(), "prefix")));
        const auto status = cached ? http::status::ok : http::status::not_found;
        co_await answer_with_faults(m_faults, exchange, status, "{}");
        co_return true;
    }
    if (path == "/metrics") {
        co_await exchange.answer(http::status::ok, render_metrics(), "text/plain; version=0.0.4");
        co_return true;
    }
    co_return false;
}

awaitable<void> engine_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    const std::string_view path = exchange.path();
    if (path == "/fault") {
        // The response is sent first because `kill` resets this connection.
        const result<fault_change> change = parse_fault(exchange.body());
        co_await exchange.answer(change ? http::status::ok : http::status::bad_request, "{}");
        if (change)
            apply(change.value());
        co_return;
    }
    if (path == "/control/executions") {
        co_await exchange.answer(http::status::ok, render_executions());
        co_return;
    }
    if (co_await apply_faults(m_executor, m_faults, exchange))
        co_return;
    if (co_await handle_control(exchange))
        co_return;
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        if (m_executions.size() >= max_executions)
            m_executions.clear();
        co_await serve(exchange, path == "/v1/chat/completions");
        co_return;
    }
    co_await exchange.answer(http::status::not_found, error_body("no such path", 5));
}

std::string engine_standin::render_executions() const
{
    json::array rows;
    for (const auto& run : m_executions)
        rows.push_back(json::object{{"attempt", run.attempt},
                                    {"digest", run.digest},
                                    {"group", run.group.value()},
                                    {"fencing", run.fencing.value()},
                                    {"tokens", run.tokens},
                                    {"finished", run.finished},
                                    {"partial", run.partial}});
    return json::serialize(json::object{{"vm", m_settings.vm.value()},
                                        {"executions", std::move(rows)},
                                        {"stale_orders_taken", m_stale_orders_taken}});
}

std::string engine_standin::render_metrics()
{
    const time_point now = runtime_clock::now();
    if (now - m_load_sampled_at >= m_settings.load_lag) {
        const engine_report current = report();
        m_sampled_load = {static_cast<double>(current.running),
                          static_cast<double>(current.waiting), current.kv_used, current.step_ms};
        m_load_sampled_at = now;
    }
    return gauge("engine_requests_running", m_sampled_load.running) +
           gauge("engine_requests_waiting", m_sampled_load.waiting) +
           gauge("engine_kv_cache_used", m_sampled_load.kv_used) +
           gauge("engine_step_ms", m_sampled_load.step_ms);
}

} // namespace jaynotch
