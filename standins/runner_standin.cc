// A runner that registers itself, joins groups as ordered and answers requests, and simulates the
// faults that a test switches on.
//
// Orders with a lower fencing number or epoch than the highest known one are rejected, so an
// outdated manager can't undo a newer one's orders. A join is accepted at once and completes in
// join() after the simulated load; a newer join in the meantime supersedes it.
#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <cmath>

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

result<std::shared_ptr<runner_standin>>
runner_standin::start(const boost::asio::any_io_executor& executor,
                      std::shared_ptr<store_standin> store, runner_standin_settings settings)
{
    std::shared_ptr<runner_standin> standin{
        new runner_standin{executor, std::move(store), std::move(settings)}};
    const standin_handler handler = forward_to(standin, &runner_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server, standin_server::listen(executor, "127.0.0.1:0", handler));
    if (standin->m_settings.fabric)
        standin->m_settings.fabric->runners[standin->id()] = standin;
    standin->publish();
    return standin;
}

void runner_standin::advertise_address(std::string address)
{
    m_advertised_address = std::move(address);
    publish();
}

json::object runner_standin::description() const
{
    constexpr std::size_t default_slots = 8;
    json::object entry{
        {"service", m_settings.service},
        {"addr", m_advertised_address.empty() ? m_server->address() : m_advertised_address},
        {"zone", m_settings.zone},
        {"slot_count", m_settings.slots > 0 ? m_settings.slots : default_slots},
        {"state", m_state},
        {"cold_remaining_ms",
         std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(
                                       m_cold_until - runtime_clock::now())
                                       .count())},
        {"born", 1}};
    if (!m_settings.domain.empty()) {
        entry["domain"] = m_settings.domain;
        json::array staged;
        if (!m_staged.empty())
            staged.push_back(json::string(m_staged));
        entry["staged"] = std::move(staged);
        json::array models;
        if (!m_model.empty())
            models.push_back(json::object{{"name", m_model}, {"version", 1}});
        entry["models"] = std::move(models);
        if (!m_group.empty())
            entry["group"] = json::object{{"name", m_group},
                                          {"epoch", m_epoch},
                                          {"rank", m_rank},
                                          {"state", to_name(m_phase)}};
    }
    return entry;
}

void runner_standin::publish()
{
    if (m_alive)
        m_store->put("servers/" + m_settings.id, json::serialize(description()));
}

void runner_standin::set_cold(duration left)
{
    m_cold_until = runtime_clock::now() + left;
    publish();
}

void runner_standin::drain()
{
    m_state = "draining";
    m_leaving = true;
    publish();
}

void runner_standin::crash()
{
    m_alive = false;
    m_server->stop();
}

void runner_standin::stop()
{
    crash();
    unregister();
}

void runner_standin::unregister()
{
    m_store->remove("servers/" + m_settings.id);
}

awaitable<void> runner_standin::wait_while_paused()
{
    while (paused())
        co_await standin_sleep(m_executor, m_paused_until - runtime_clock::now());
}

awaitable<void> runner_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    constexpr duration max_mute_time = 20s;
    co_await wait_while_paused();
    if (faults.mute) {
        co_await standin_sleep(m_executor, max_mute_time);
        exchange.cut();
        co_return;
    }
    if (m_leaving)
        exchange.set("Server-Leaving", "1");
    if (exchange.path() == "/order") {
        co_await handle_order(exchange);
        co_return;
    }
    if (exchange.path() == "/report") {
        json::object report = description();
        report["seq"] = m_accepted_orders;
        std::string text = faults.report.empty() ? json::serialize(report) : faults.report;
        co_await exchange.answer(http::status::ok, std::move(text));
        co_return;
    }
    received_request received;
    received.at = runtime_clock::now();
    received.attempt = std::string{exchange.header("Jaynotch-Attempt-Id")};
    received.target = std::string{exchange.request().target()};
    received.body = exchange.body();
    for (const auto& field : exchange.request())
        received.headers[std::string{field.name_string()}] = std::string{field.value()};
    arrived.push_back(received);
    const std::string_view expected = exchange.header("Jaynotch-Expect-Instance");
    const bool head = m_settings.domain.empty() || (open() && m_rank == 0);
    if ((!expected.empty() && expected != m_settings.id) || !head) {
        co_await exchange.answer(http::status::misdirected_request, "");
        co_return;
    }
    if (faults.refuse) {
        if (!faults.pause.empty()) {
            exchange.set("Retry-After", faults.pause);
            arrived.back().pause = std::chrono::milliseconds{
                std::llround(1000.0 * std::stod(faults.pause))}; // NOLINT(*magic-numbers)
        }
        co_await refuse(exchange);
        co_return;
    }
    if (m_settings.slots > 0 && m_running >= m_settings.slots) {
        co_await refuse(exchange);
        co_return;
    }
    ++m_running;
    co_await run(exchange, std::move(received));
    --m_running;
}

awaitable<void> runner_standin::refuse(standin_exchange& exchange)
{
    exchange.set("Jaynotch-Not-Executed", "1");
    co_await exchange.answer(http::status::service_unavailable, "");
}

awaitable<void> runner_standin::run(standin_exchange& exchange, received_request received)
{
    ran.push_back(std::move(received));
    if (faults.unframed || (faults.cut_by_query && !exchange.query("unframed").empty()))
        exchange.set_unframed();
    if (const std::string bytes = exchange.query("cut"); faults.cut_by_query && !bytes.empty())
        exchange.end_after(std::stoul(bytes), !exchange.query("reset").empty());
    check_serving();
    if (crashes_on(exchange)) {
        set_answer_headers(exchange);
        co_await exchange.begin_chunks(http::status::ok, "text/event-stream");
        crash();
        co_return;
    }
    if (faults.cut || (faults.cut_every > 0 && ran.size() % faults.cut_every == 0)) {
        exchange.cut();
        co_return;
    }
    if (faults.fail) {
        co_await fail(exchange);
        co_return;
    }
    if (!faults.raw_answer.empty()) {
        constexpr std::string_view place = "{id}";
        std::string bytes = faults.raw_answer;
        const std::string id{exchange.header("Jaynotch-Attempt-Id")};
        for (std::size_t at = 0; (at = bytes.find(place, at)) != std::string::npos; at += id.size())
            bytes.replace(at, place.size(), id);
        co_await exchange.write_raw(std::move(bytes));
        exchange.cut();
        co_return;
    }
    if (m_settings.domain.empty()) {
        if (m_settings.work.count() > 0)
            co_await standin_sleep(m_executor, m_settings.work);
        co_await answer(exchange);
    }
    else {
        co_await stream(exchange);
    }
    head_bytes = exchange.head_bytes();
}

bool runner_standin::crashes_on(const standin_exchange& exchange) const
{
    const auto contains = [&](std::string_view text) {
        return text.find(faults.crash_on) != std::string_view::npos;
    };
    return !faults.crash_on.empty() &&
           (contains(exchange.body()) || contains(exchange.header("Jaynotch-Prompt-Prefix")));
}

std::string runner_standin::set_answer_headers(standin_exchange& exchange) const
{
    std::string attempt{exchange.header("Jaynotch-Attempt-Id")};
    exchange.set("Jaynotch-Attempt-Id", attempt);
    exchange.set("Jaynotch-Response-Seal", "seal-" + m_settings.id);
    exchange.set("Jaynotch-Server-Load", "1,0,8");
    if (!faults.limit.empty())
        exchange.set("Server-Limit", faults.limit);
    return attempt;
}

awaitable<void> runner_standin::fail(standin_exchange& exchange)
{
    set_answer_headers(exchange);
    co_await exchange.answer(http::status::internal_server_error, "failed", "text/plain");
}

awaitable<void> runner_standin::answer(standin_exchange& exchange)
{
    const std::string attempt = set_answer_headers(exchange);
    if (faults.endless) {
        constexpr std::size_t chunk_bytes = 64 * 1024;
        bool open = co_await exchange.begin_chunks(http::status::ok, "text/plain");
        while (open)
            open = co_await exchange.write_chunk(std::string(chunk_bytes, 'a'));
        co_return;
    }
    if (faults.foreign) {
        const std::string other = "HTTP/1.1 200 OK\r\nJaynotch-Attempt-Id: another\r\n"
                                  "Jaynotch-Response-Seal: s\r\nContent-Length: 6\r\n\r\nforged";
        co_await exchange.write_raw(other);
    }
    std::string body = "answer of " + m_settings.id + " to " + attempt;
    body.append(faults.padding, ' ');
    co_await exchange.answer(http::status::ok, std::move(body), "text/plain");
}

awaitable<void> runner_standin::stream(standin_exchange& exchange)
{
    set_answer_headers(exchange);
    const std::string_view after = exchange.header("Last-Event-Id");
    const std::size_t first = after.empty() ? 1 : std::stoul(std::string{after}) + 1;
    if (!co_await exchange.begin_chunks(http::status::ok, "text/event-stream"))
        co_return;
    std::size_t written = 0;
    for (std::size_t id = first; id <= m_settings.events; ++id) {
        co_await standin_sleep(m_executor, m_settings.gap);
        co_await wait_while_paused();
        const bool cut = faults.cut_after > 0 && written == faults.cut_after;
        if (cut || !co_await wait_for_members()) {
            exchange.cut();
            co_return;
        }
        if (faults.partial_after > 0 && written == faults.partial_after) {
            co_await exchange.write_chunk("id: " + std::to_string(id) + "\nda");
            break;
        }
        std::string event = "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
                            std::string(faults.padding, ' ') + "\n\n";
        if (!co_await exchange.write_chunk(std::move(event)))
            co_return;
        ++written;
    }
    co_await exchange.finish_chunks();
}

bool runner_standin::group_complete() const
{
    if (!m_settings.fabric)
        return true;
    return std::all_of(m_members.begin(), m_members.end(), [&](const std::string& id) {
        const auto found = m_settings.fabric->runners.find(id);
        const auto other =
            found == m_settings.fabric->runners.end() ? nullptr : found->second.lock();
        return other && other->m_alive && !other->faults.mute && !other->paused() &&
               other->m_group == m_group && other->m_epoch == m_epoch;
    });
}

/// A head that misses a member pauses its streams and breaks after `stall`.
awaitable<bool> runner_standin::wait_for_members()
{
    constexpr duration poll_interval = 20ms;
    const std::string group = m_group;
    const time_point since = runtime_clock::now();
    while (!group_complete()) {
        co_await standin_sleep(m_executor, poll_interval);
        if (!m_alive || m_group != group)
            co_return false;
        if (runtime_clock::now() - since >= m_settings.fabric->stall) {
            m_phase = member_phase::broken;
            publish();
            co_return false;
        }
    }
    co_return m_alive&& m_group == group;
}

void runner_standin::check_join(const std::string& group) const
{
    if (!m_settings.fabric || m_group.empty())
        return;
    for (const auto& [id, weak] : m_settings.fabric->runners) {
        const auto head = weak.lock();
        const bool serves =
            head && head->m_alive && head->m_rank == 0 && head->m_group == m_group &&
            head->m_epoch == m_epoch &&
            (head->m_phase == member_phase::open || head->m_phase == member_phase::closing);
        if (serves)
            m_settings.fabric->broken.push_back(m_settings.id + " joined " + group + " while " +
                                                id + " served " + m_group);
    }
}

void runner_standin::check_serving() const
{
    if (!m_settings.fabric || m_settings.domain.empty())
        return;
    const auto size = m_settings.fabric->group_sizes.find(m_model);
    if (size == m_settings.fabric->group_sizes.end() || m_members.size() != size->second)
        m_settings.fabric->broken.push_back(m_group + " serves with " +
                                            std::to_string(m_members.size()) + " members");
    for (const std::string& id : m_members) {
        const auto other = m_settings.fabric->runners[id].lock();
        if (other && other->m_alive && !other->m_ready_groups.contains({m_group, m_epoch}))
            m_settings.fabric->broken.push_back(m_group + " serves before " + id + " was ready");
    }
}

awaitable<void> runner_standin::handle_order(standin_exchange& exchange)
{
    orders.push_back(exchange.body());
    const json::object order = json::parse(exchange.body()).as_object();
    const std::string op{order.at("op").as_string()};
    const std::int64_t fence =
        order.contains("fence") ? order.at("fence").to_number<std::int64_t>() : m_highest_fence;
    http::status status = http::status::precondition_failed;
    if (fence >= m_highest_fence) {
        m_highest_fence = fence;
        status = execute_order(op, order);
    }
    co_await exchange.answer(status, "");
}

http::status runner_standin::execute_order(const std::string& op, const json::object& order)
{
    if (op == "stage") {
        ++m_accepted_orders;
        m_staged = std::string{order.at("model").as_string()};
        publish();
        return http::status::accepted;
    }
    const bool for_current_group = order.at("group").as_string() == m_group &&
                                   order.at("epoch").to_number<std::int64_t>() == m_epoch;
    if (op == "join")
        return for_current_group ? http::status::ok : execute_join(order);
    if (op == "open" && for_current_group && m_rank == 0 && m_phase == member_phase::ready) {
        ++m_accepted_orders;
        m_phase = member_phase::open;
        publish();
        return http::status::accepted;
    }
    if (op == "leave" && for_current_group) {
        ++m_accepted_orders;
        m_group.clear();
        m_model.clear();
        m_phase = member_phase::joining; // a head that has left serves no requests
        publish();
        return http::status::ok;
    }
    return for_current_group ? http::status::ok : http::status::conflict;
}

http::status runner_standin::execute_join(const json::object& order)
{
    const auto epoch = order.at("epoch").to_number<std::int64_t>();
    if (epoch < m_highest_epoch)
        return http::status::precondition_failed;
    if (order.contains("expected") &&
        order.at("expected").to_number<std::int64_t>() != m_accepted_orders)
        return http::status::conflict;
    ++m_accepted_orders;
    const std::string group{order.at("group").as_string()};
    check_join(group);
    m_highest_epoch = epoch;
    m_members.clear();
    for (const json::value& one : order.at("member_list").as_array())
        m_members.emplace_back(one.as_string());
    m_rank = std::find(m_members.begin(), m_members.end(), m_settings.id) - m_members.begin();
    boost::asio::co_spawn(m_executor,
                          join(group, epoch, std::string{order.at("model").as_string()}),
                          boost::asio::detached);
    return http::status::accepted;
}

awaitable<void> runner_standin::join(std::string group, std::int64_t epoch, std::string model)
{
    const auto keep = shared_from_this();
    constexpr int early_load_divisor = 10;
    const bool early = m_settings.fabric && !m_settings.fabric->traffic;
    const duration full_load = early ? m_settings.load / early_load_divisor : m_settings.load;
    const duration load = m_staged == model ? m_settings.warm_up : full_load;
    m_group = group;
    m_epoch = epoch;
    m_model.clear();
    m_phase = member_phase::joining;
    publish();
    co_await standin_sleep(m_executor, load);
    if (m_group != group || m_epoch != epoch)
        co_return;
    m_phase = member_phase::ready;
    m_ready_groups.emplace(group, epoch);
    m_model = model;
    m_staged = model;
    publish();
}

} // namespace jaynotch
