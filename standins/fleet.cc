#include "standins/fleet.h"

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;

standin_fleet::standin_fleet(const boost::asio::any_io_executor& executor,
                             const standin_fleet_settings& settings)
    : m_executor{executor}, m_settings{settings}
{}

result<std::shared_ptr<standin_fleet>>
standin_fleet::start(const boost::asio::any_io_executor& executor,
                     const standin_fleet_settings& settings)
{
    if (settings.fabric_domains == 0 || settings.failure_domains.empty())
        return error{error_kind::invalid_argument,
                     "the fleet has no fabric domains or no failure domains",
                     "give at least one of each"};
    std::shared_ptr<standin_fleet> fleet{new standin_fleet{executor, settings}};
    BOOST_OUTCOME_TRYV(fleet->start_platform());
    BOOST_OUTCOME_TRYV(fleet->start_backends());
    auto handler = [weak = std::weak_ptr{fleet}](standin_exchange& exchange) -> awaitable<void> {
        if (const auto self = weak.lock())
            co_await self->handle(exchange);
    };
    BOOST_OUTCOME_TRY(fleet->m_control,
                      standin_server::listen(executor, settings.control_listen, handler));
    return fleet;
}

result<void> standin_fleet::start_platform()
{
    BOOST_OUTCOME_TRY(m_kv, kv_standin::start(m_executor, m_settings.kv));
    BOOST_OUTCOME_TRY(m_vms, vm_list_standin::start(m_executor, m_settings.vms));
    BOOST_OUTCOME_TRY(m_weights, weight_standin::start(m_executor, m_settings.weights));
    return success();
}

result<void> standin_fleet::start_backends()
{
    std::vector<vm_entry> rows;
    for (std::size_t index = 0; index < m_settings.engines; ++index) {
        engine_standin_settings settings = m_settings.engine;
        settings.vm = vm_id{"vm-" + std::to_string(index)};
        settings.weight_store = m_weights->address();
        BOOST_OUTCOME_TRY(auto engine, engine_standin::start(m_executor, settings, m_directory));
        rows.push_back({.vm = settings.vm,
                        .address = engine->address(),
                        .fabric_domain = fabric_domain_of(index),
                        .failure_domain = failure_domain_of(index),
                        .accelerators = m_settings.accelerators});
        m_engines.push_back(std::move(engine));
    }
    m_vms->put_all(std::move(rows));
    for (const auto& name : m_settings.plain) {
        plain_standin_settings settings;
        settings.name = name;
        settings.work = m_settings.plain_work;
        BOOST_OUTCOME_TRY(auto plain, plain_standin::start(m_executor, settings));
        m_plain.push_back(std::move(plain));
    }
    return success();
}

void standin_fleet::advertise_engine_address(std::size_t index, const std::string& address)
{
    m_directory->add_alias(address, m_engines.at(index));
    vm_entry row = m_vms->vms().at(index);
    row.address = address;
    std::vector<vm_entry> rows = m_vms->vms();
    rows.at(index) = std::move(row);
    m_vms->put_all(std::move(rows));
}

fabric_domain_id standin_fleet::fabric_domain_of(std::size_t index) const
{
    const std::size_t domain = index * m_settings.fabric_domains / m_settings.engines;
    return fabric_domain_id{"fabric-" + std::to_string(domain)};
}

failure_domain_id standin_fleet::failure_domain_of(std::size_t index) const
{
    const std::size_t domain = index * m_settings.fabric_domains / m_settings.engines;
    return failure_domain_id{
        m_settings.failure_domains[domain % m_settings.failure_domains.size()]};
}

result<void> standin_fleet::apply(const std::string& name, const fault_change& change)
{
    if (name == "kv") {
        m_kv->apply(change);
        return success();
    }
    if (name == "vms") {
        m_vms->apply(change);
        return success();
    }
    if (name == "weights") {
        m_weights->apply(change);
        return success();
    }
    for (const auto& engine : m_engines) {
        if (engine->vm().value() != name)
            continue;
        engine->apply(change);
        return success();
    }
    for (const auto& plain : m_plain) {
        if (plain->name() != name)
            continue;
        plain->apply(change);
        return success();
    }
    return error{error_kind::not_found, "nothing is called " + name,
                 "name kv, vms, weights, a VM or a plain service"};
}

void standin_fleet::apply_to_fabric(const fabric_domain_id& domain, const fault_change& change)
{
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        if (fabric_domain_of(index) == domain)
            m_engines[index]->apply(change);
    }
}

std::string standin_fleet::describe() const
{
    json::array engines;
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        engines.push_back(json::object{{"vm", m_engines[index]->vm().value()},
                                       {"address", m_engines[index]->address()},
                                       {"fabric_domain", fabric_domain_of(index).value()},
                                       {"failure_domain", failure_domain_of(index).value()}});
    json::array plain;
    for (const auto& service : m_plain)
        plain.push_back(json::object{{"name", service->name()}, {"address", service->address()}});
    return json::serialize(json::object{{"kv", m_kv->address()},
                                        {"vms", m_vms->address()},
                                        {"weights", m_weights->address()},
                                        {"control", m_control->address()},
                                        {"engines", std::move(engines)},
                                        {"plain", std::move(plain)}});
}

std::string standin_fleet::render_totals() const
{
    std::uint64_t finished = 0;
    std::uint64_t partial = 0;
    std::uint64_t stale = 0;
    for (const auto& engine : m_engines) {
        for (const auto& run : engine->executions()) {
            finished += run.finished ? 1 : 0;
            partial += run.partial ? 1 : 0;
        }
        stale += engine->stale_orders_taken();
    }
    std::uint64_t plain = 0;
    for (const auto& service : m_plain)
        plain += service->executions().size();
    return json::serialize(json::object{{"model_answers_finished", finished},
                                        {"model_answers_partial", partial},
                                        {"stale_orders_taken", stale},
                                        {"plain_executions", plain}});
}

awaitable<void> standin_fleet::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    constexpr std::string_view fault_path = "/fault/";
    if (exchange.path() == "/fleet") {
        co_await exchange.answer(http::status::ok, describe());
        co_return;
    }
    if (exchange.path() == "/account") {
        co_await exchange.answer(http::status::ok, render_totals());
        co_return;
    }
    if (!exchange.path().starts_with(fault_path)) {
        co_await exchange.answer(http::status::not_found, error_body("no such path", 5));
        co_return;
    }
    const std::string name{exchange.path().substr(fault_path.size())};
    const result<fault_change> change = parse_fault(exchange.body());
    const result<void> done = change ? apply(name, change.value()) : result<void>{change.error()};
    const std::string response_body = done ? "{}" : error_body(to_string(done.error()), 3);
    co_await exchange.answer(done ? http::status::ok : http::status::bad_request, response_body);
}

} // namespace jaynotch
