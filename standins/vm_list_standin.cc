#include "standins/vm_list_standin.h"

#include "base/json_fields.h"

namespace jaynotch {

namespace http = boost::beast::http;

vm_list_standin::vm_list_standin(const boost::asio::any_io_executor& executor, duration lag)
    : m_executor{executor}, m_lag{lag}
{
    m_versions.push_back({runtime_clock::now() - std::chrono::hours{1}, wall_time_ms(), {}});
}

result<std::shared_ptr<vm_list_standin>>
vm_list_standin::start(const boost::asio::any_io_executor& executor,
                       const vm_list_standin_settings& settings)
{
    std::shared_ptr<vm_list_standin> standin{new vm_list_standin{executor, settings.lag}};
    const standin_handler handler = forward_to(standin, &vm_list_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server,
                      standin_server::listen(executor, settings.listen, handler));
    return standin;
}

void vm_list_standin::apply(const fault_change& change)
{
    m_faults.apply(change);
    if (change.kill)
        m_server->set_running(!*change.kill);
}

void vm_list_standin::put(vm_entry entry)
{
    std::erase_if(m_vms, [&](const vm_entry& row) { return row.vm == entry.vm; });
    m_vms.push_back(std::move(entry));
    record_version();
}

void vm_list_standin::put_all(std::vector<vm_entry> entries)
{
    m_vms = std::move(entries);
    record_version();
}

void vm_list_standin::set_leaving(const vm_id& vm, std::int64_t leave_by_ms)
{
    for (auto& row : m_vms) {
        if (row.vm != vm)
            continue;
        row.state = vm_state::leaving;
        row.leave_by_ms = leave_by_ms;
    }
    record_version();
}

void vm_list_standin::remove(const vm_id& vm)
{
    std::erase_if(m_vms, [&](const vm_entry& row) { return row.vm == vm; });
    record_version();
}

void vm_list_standin::record_version()
{
    m_versions.push_back({runtime_clock::now(), wall_time_ms(), m_vms});
    (void)visible_version();
}

const vm_list_standin::version& vm_list_standin::visible_version()
{
    const time_point visible_until = runtime_clock::now() - m_lag;
    while (m_versions.size() > 1 && m_versions[1].since <= visible_until)
        m_versions.pop_front();
    return m_versions.front();
}

result<void> vm_list_standin::edit(const std::string& body)
{
    constexpr std::string_view request_name = "VM change";
    BOOST_OUTCOME_TRY(const boost::json::object object, parse_json_object(body, request_name));
    json_fields fields{object, request_name};
    fields.require("vm");
    const vm_id vm{fields.text("vm")};
    const std::string state = fields.text("state");
    const std::int64_t leave_by_ms = fields.integer("leave_by_ms");
    if (fields.failure())
        return *fields.failure();
    if (state == "gone")
        remove(vm);
    else if (state == "leaving")
        set_leaving(vm, leave_by_ms);
    else
        return error{error_kind::invalid_argument, "unknown state", "write leaving or gone"};
    return success();
}

awaitable<void> vm_list_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    const auto change_faults = [this](const fault_change& change) { apply(change); };
    const bool taken = co_await handle_fault_request(exchange, change_faults);
    if (taken)
        co_return;
    if (exchange.path() == "/vms") {
        const result<void> done = edit(exchange.body());
        co_await exchange.answer(done ? http::status::ok : http::status::bad_request, "{}");
        co_return;
    }
    if (co_await apply_faults(m_executor, m_faults, exchange))
        co_return;
    if (exchange.path() != "/v1/vms") {
        co_await exchange.answer(http::status::not_found, "{}");
        co_return;
    }
    const version& seen = visible_version();
    const vm_list list{seen.as_of_ms, seen.vms};
    co_await answer_with_faults(m_faults, exchange, http::status::ok, render_vm_list(list));
}

} // namespace jaynotch
