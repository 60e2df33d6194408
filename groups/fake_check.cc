// The invariants checked after every step, from the simulation's complete state:
//
// - the records of all domains together name no VM twice;
// - the valid tickets of all nodes together name no VM for two different groups;
// - every valid ticket names a composition that all its engines reported as ready at the same
//   moment, at most one ticket horizon (and one step) ago.
#include "groups/fake_world.h"

#include <algorithm>
#include <sstream>

namespace jaynotch::groups {

namespace {

std::string composition_name(const group_id& group, const std::vector<vm_id>& members)
{
    std::string name = group.value();
    for (const vm_id& vm : members)
        name += " " + vm.value();
    return name;
}

} // namespace

void fake_world::check()
{
    std::map<vm_id, group_id> assigned;
    for (const kv_entry& entry : m_store.records(fake_deployment)) {
        const auto record = parse_record(entry);
        if (!record) {
            add_violation(to_string(record.error()));
            continue;
        }
        for (const group_assignment& group : record.value().groups) {
            for (const auto* list : {&group.members, &group.standbys}) {
                for (const member& one : *list) {
                    const auto [at, added] = assigned.emplace(one.vm, group.group);
                    if (!added)
                        add_violation(one.vm.value() + " is in two records: " + at->second.value() +
                                      " and " + group.group.value());
                }
            }
        }
    }
    // The compositions that all their engines report as ready at this moment.
    std::map<std::string, vm_id> by_address;
    for (const auto& [vm, engine] : m_engines)
        by_address[engine->row.address] = vm;
    for (const auto& [vm, engine] : m_engines) {
        const member_report& current_report = engine->current_report;
        if (current_report.state != member_state::ready || current_report.rank != 0)
            continue;
        std::vector<vm_id> members;
        bool all_ready = true;
        for (std::size_t rank = 0; rank < current_report.members.size() && all_ready; ++rank) {
            const auto at = by_address.find(current_report.members[rank]);
            if (at == by_address.end()) {
                all_ready = false;
                break;
            }
            const fake_engine& other = *m_engines.at(at->second);
            all_ready = other.answers(m_now) &&
                        other.current_report.group == current_report.group &&
                        other.current_report.rank == rank &&
                        other.current_report.members == current_report.members &&
                        other.current_report.state == member_state::ready &&
                        other.current_report.version == current_report.version;
            members.push_back(at->second);
        }
        if (all_ready)
            m_last_complete[composition_name(current_report.group, members)] = m_now;
    }
    std::map<vm_id, group_id> serving;
    for (const auto& one : m_nodes) {
        for (const complete_group& group : one->board->complete(m_now)) {
            const auto last = m_last_complete.find(composition_name(group.group, group.members));
            const duration horizon = board_settings{}.ticket_horizon + m_options.step;
            if (last == m_last_complete.end())
                add_violation("ticket for a group that was never complete: " + group.group.value());
            else if (m_now - last->second > horizon)
                add_violation("ticket outlived its horizon: " + group.group.value());
            for (const vm_id& vm : group.members) {
                const auto [at, added] = serving.emplace(vm, group.group);
                if (!added && at->second != group.group)
                    add_violation(vm.value() + " serves in two groups: " + at->second.value() +
                                  " and " + group.group.value());
            }
        }
    }
}

std::vector<complete_group> fake_world::complete_on(std::size_t node_index) const
{
    return m_nodes[node_index]->board->complete(m_now);
}

std::vector<complete_group> fake_world::complete_everywhere() const
{
    std::map<group_id, std::size_t> seen;
    std::size_t running = 0;
    for (const auto& one : m_nodes) {
        if (m_now < one->paused_until)
            continue;
        ++running;
        for (const complete_group& group : one->board->complete(m_now))
            ++seen[group.group];
    }
    std::vector<complete_group> everywhere;
    for (const auto& one : m_nodes) {
        if (m_now < one->paused_until)
            continue;
        for (const complete_group& group : one->board->complete(m_now)) {
            if (seen[group.group] == running)
                everywhere.push_back(group);
        }
        break;
    }
    return everywhere;
}

domain_record fake_world::record(std::size_t domain) const
{
    for (const kv_entry& entry : m_store.records(fake_deployment)) {
        if (entry.key == record_key(fake_deployment, m_domains[domain]))
            return parse_record(entry).value();
    }
    return {};
}

int fake_world::leader(std::size_t domain) const
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (m_nodes[n]->managers[domain].status(m_now).leading)
            return static_cast<int>(n);
    }
    return -1;
}

std::string fake_world::describe() const
{
    std::ostringstream out;
    for (const kv_entry& entry : m_store.records(fake_deployment))
        out << entry.key << " @" << entry.mod_revision << ' ' << entry.value << '\n';
    for (const auto& [vm, engine] : m_engines) {
        const member_report& current_report = engine->current_report;
        out << vm << " in " << engine->row.fabric_domain << ": " << current_report.group << " rank "
            << current_report.rank << " state " << static_cast<int>(current_report.state)
            << " fencing " << current_report.fencing << '\n';
    }
    return out.str();
}

} // namespace jaynotch::groups
