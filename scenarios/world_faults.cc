#include "base/json_fields.h"
#include "scenarios/world.h"

namespace jaynotch {

namespace json = boost::json;

namespace {

fault_change parse_change(json_fields& fields)
{
    const json::object* change = fields.object("change");
    if (change == nullptr)
        throw exception{{error_kind::invalid_argument, "the fault names no change", ""}};
    return parse_fault(json::serialize(*change)).value();
}

} // namespace

json::value scenario_world::fault(const arguments_type& arguments)
{
    json_fields fields{arguments, "fault"};
    const fault_change change = parse_change(fields);
    m_fleet->apply(fields.text("target"), change).value();
    return nullptr;
}

json::value scenario_world::fault_fabric(const arguments_type& arguments)
{
    json_fields fields{arguments, "fault_fabric"};
    const fault_change change = parse_change(fields);
    m_fleet->apply_to_fabric(fabric_domain_id{fields.text("domain")}, change);
    return nullptr;
}

json::value scenario_world::change_vm(const arguments_type& arguments)
{
    json_fields fields{arguments, "change_vm"};
    const vm_id vm{fields.text("vm")};
    const std::string state = fields.text("state");
    if (state == "gone") {
        m_fleet->vms().remove(vm);
        return nullptr;
    }
    const auto in_ms = static_cast<std::int64_t>(fields.real("in_seconds") * 1000.0);
    m_fleet->vms().set_leaving(vm, wall_time_ms() + in_ms);
    return nullptr;
}

std::vector<std::string> scenario_world::expand_names(const std::vector<std::string>& names) const
{
    std::vector<std::string> all;
    for (const auto& name : names) {
        const std::size_t before = all.size();
        if (name == "platform")
            all.insert(all.end(), {"kv", "vms"});
        for (const auto& [daemon_name, daemon] : m_daemons) {
            if (daemon.failure_domain == name)
                all.push_back(daemon_name);
        }
        for (std::size_t index = 0; index < m_fleet->engine_count(); ++index) {
            if (m_fleet->failure_domain_of(index).value() == name)
                all.push_back(m_fleet->engine(index).vm().value());
        }
        if (all.size() == before)
            all.push_back(name);
    }
    return all;
}

json::value scenario_world::cut(const arguments_type& arguments)
{
    json_fields fields{arguments, "cut"};
    for (const auto& one : expand_names(fields.texts("one"))) {
        for (const auto& other : expand_names(fields.texts("other")))
            m_network->cut(one, other);
    }
    return nullptr;
}

json::value scenario_world::heal(const arguments_type& /*arguments*/)
{
    m_network->heal();
    return nullptr;
}

json::value scenario_world::expire_lease(const arguments_type& arguments)
{
    json_fields fields{arguments, "lapse"};
    std::uint64_t lapsed = 0;
    for (const auto& entry : m_fleet->kv().store().with_prefix(fields.text("prefix"))) {
        if (entry.lease == lease_id{})
            continue;
        m_fleet->kv().expire_lease(entry.lease);
        ++lapsed;
    }
    return lapsed;
}

} // namespace jaynotch
