#include "scenarios/world.h"

#include "base/json_fields.h"

#include <cstdio>

namespace jaynotch {

namespace json = boost::json;

const std::vector<scenario_world::operation_row>& scenario_world::operations()
{
    static const std::vector<operation_row> rows{
        {"check", &scenario_world::check},
        {"json", &scenario_world::render},
        {"note", &scenario_world::note},
        {"wait", &scenario_world::wait},
        {"now", &scenario_world::now},
        {"account", &scenario_world::account},
        {"kv_entries", &scenario_world::kv_entries},
        {"fleet", &scenario_world::start_fleet},
        {"daemon", &scenario_world::start_daemon},
        {"restart", &scenario_world::restart},
        {"signal", &scenario_world::signal},
        {"await_exit", &scenario_world::await_exit},
        {"http", &scenario_world::http},
        {"fault", &scenario_world::fault},
        {"fault_fabric", &scenario_world::fault_fabric},
        {"change_vm", &scenario_world::change_vm},
        {"cut", &scenario_world::cut},
        {"heal", &scenario_world::heal},
        {"lapse", &scenario_world::expire_lease},
        {"ask", &scenario_world::ask},
        {"order", &scenario_world::order},
        {"start_load", &scenario_world::start_load},
        {"finish_load", &scenario_world::finish_load},
    };
    return rows;
}

scenario_world::scenario_world(std::string name, const scenario_options& options)
    : m_name{std::move(name)}, m_options{options}
{}

scenario_world::~scenario_world() = default;

json::value scenario_world::call(std::string_view name, const json::object& arguments)
{
    for (const auto& row : operations()) {
        if (row.name == name)
            return (this->*row.handler)(arguments);
    }
    throw exception{{error_kind::invalid_argument, "unknown operation " + std::string{name},
                     "see scenarios/prelude.lua"}};
}

json::value scenario_world::check(const arguments_type& arguments)
{
    json_fields fields{arguments, "check"};
    ++m_checks;
    if (!fields.flag("holds"))
        add_problem(fields.text("what"));
    return nullptr;
}

json::value scenario_world::render(const arguments_type& arguments)
{
    return json::value(json::string(json::serialize(arguments)));
}

json::value scenario_world::note(const arguments_type& arguments)
{
    json_fields fields{arguments, "note"};
    if (m_options.show_notes) {
        const double at =
            std::chrono::duration<double>{runtime_clock::now() - m_start_time}.count();
        std::printf("    %6.2f s  %s\n", at, fields.text("text").c_str());
    }
    return nullptr;
}

json::value scenario_world::wait(const arguments_type& arguments)
{
    json_fields fields{arguments, "wait"};
    m_runtime.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>{fields.real("seconds")}));
    return nullptr;
}

json::value scenario_world::now(const arguments_type& /*arguments*/)
{
    return std::chrono::duration<double>{runtime_clock::now() - m_start_time}.count();
}

json::value scenario_world::account(const arguments_type& /*arguments*/)
{
    std::uint64_t finished = 0;
    std::uint64_t partial = 0;
    std::uint64_t stale = 0;
    std::uint64_t running = 0;
    for (std::size_t index = 0; index < m_fleet->engine_count(); ++index) {
        const engine_standin& engine = m_fleet->engine(index);
        for (const auto& run : engine.executions()) {
            finished += run.finished ? 1 : 0;
            partial += run.partial ? 1 : 0;
        }
        stale += engine.stale_orders_taken();
        running += engine.report().running;
    }
    json::array plain;
    for (std::size_t index = 0; index < m_fleet->plain_count(); ++index) {
        for (const auto& run : m_fleet->plain(index).executions())
            plain.push_back(json::object{{"service", m_fleet->plain(index).name()},
                                         {"method", run.method},
                                         {"key", run.key},
                                         {"digest", run.digest}});
    }
    return json::object{{"finished", finished},
                        {"partial", partial},
                        {"stale_orders", stale},
                        {"running", running},
                        {"plain", std::move(plain)}};
}

json::value scenario_world::kv_entries(const arguments_type& arguments)
{
    json_fields fields{arguments, "kv_entries"};
    json::array rows;
    for (const auto& entry : m_fleet->kv().store().with_prefix(fields.text("prefix")))
        rows.push_back(json::object{{"key", entry.key},
                                    {"value", entry.value},
                                    {"mod_revision", entry.mod_revision},
                                    {"leased", entry.lease != lease_id{}}});
    return rows;
}

std::vector<std::string> scenario_world::unexpected_exits()
{
    std::vector<std::string> names;
    for (auto& [name, daemon] : m_daemons) {
        if (!daemon.end_expected && daemon.process && daemon.process->poll())
            names.push_back(name);
    }
    return names;
}

} // namespace jaynotch
