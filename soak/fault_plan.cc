#include "soak/fault_plan.h"

#include "base/random.h"

// The intervals between faults are exponentially distributed, so some faults overlap and others
// occur alone. Every third seed has planned maintenance only (graceful stops, reloads, drains and
// configuration changes): guarantees for operation without failures can be checked only there.

namespace jaynotch {

namespace {

template <class Enum>
Enum draw(random_source& random)
{
    return enum_names<Enum>::entries[random.index(enum_names<Enum>::entries.size())].value;
}

link_fault draw_link_fault(random_source& random)
{
    link_fault drawn = link_fault::none;
    while (drawn == link_fault::none)
        drawn = draw<link_fault>(random);
    return drawn;
}

planned_link_fault draw_link(random_source& random, const fault_plan_settings& settings)
{
    planned_link_fault drawn_fault;
    drawn_fault.end = draw<link_end>(random);
    drawn_fault.index =
        random.index(drawn_fault.end == link_end::runner ? settings.runners : settings.daemons);
    drawn_fault.fault = draw_link_fault(random);
    drawn_fault.delay = std::chrono::milliseconds{random.between(20, 400)};
    return drawn_fault;
}

struct weighted {
    int weight;
    void (*draw)(planned_fault&, random_source&, const fault_plan_settings&);
};

constexpr std::array fault_kinds{
    weighted{4,
             [](planned_fault& planned, random_source& random, const fault_plan_settings& s) {
                 planned.action =
                     planned_daemon_fault{draw<daemon_fault>(random), random.index(s.daemons)};
             }},
    weighted{5,
             [](planned_fault& planned, random_source& random, const fault_plan_settings& s) {
                 planned.action =
                     planned_runner_fault{draw<runner_fault>(random), random.index(s.runners)};
             }},
    weighted{4, [](planned_fault& planned, random_source& random,
                   const fault_plan_settings& s) { planned.action = draw_link(random, s); }},
    weighted{1,
             [](planned_fault& planned, random_source& random, const fault_plan_settings&) {
                 constexpr double refusal_probability = 0.4;
                 planned.action = planned_store_fault{random.chance(refusal_probability)
                                                          ? link_fault::none
                                                          : draw_link_fault(random)};
             }},
    weighted{3, [](planned_fault& planned, random_source&,
                   const fault_plan_settings&) { planned.action = configuration_change{}; }},
};

void draw_any(planned_fault& planned, random_source& random, const fault_plan_settings& settings)
{
    int sum = 0;
    for (const weighted& kind : fault_kinds)
        sum += kind.weight;
    auto remaining_weight = static_cast<int>(random.index(static_cast<std::size_t>(sum)));
    for (const weighted& kind : fault_kinds) {
        remaining_weight -= kind.weight;
        if (remaining_weight < 0)
            return kind.draw(planned, random, settings);
    }
}

void draw_maintenance(planned_fault& planned, random_source& random,
                      const fault_plan_settings& settings)
{
    switch (random.index(4)) {
    case 0:
        planned.action = planned_daemon_fault{daemon_fault::stop, random.index(settings.daemons)};
        break;
    case 1:
        planned.action = planned_daemon_fault{daemon_fault::reload, random.index(settings.daemons)};
        break;
    case 2:
        planned.action = planned_runner_fault{runner_fault::drain, random.index(settings.runners)};
        break;
    default:
        planned.action = configuration_change{};
    }
}

struct fault_formatter {
    std::string operator()(const planned_daemon_fault& planned) const
    {
        return std::string{to_name(planned.fault)} + " daemon " + std::to_string(planned.daemon);
    }
    std::string operator()(const planned_runner_fault& planned) const
    {
        return "runner " + std::to_string(planned.runner) + " " +
               std::string{to_name(planned.fault)};
    }
    std::string operator()(const planned_link_fault& planned) const
    {
        return "link to " + std::string{to_name(planned.end)} + " of " +
               std::to_string(planned.index) + " " + std::string{to_name(planned.fault)};
    }
    std::string operator()(const planned_store_fault& planned) const
    {
        return "store of all " + (planned.fault == link_fault::none
                                      ? "refuses"
                                      : std::string{to_name(planned.fault)});
    }
    std::string operator()(const configuration_change& /*planned*/) const
    {
        return "configuration changes";
    }
};

} // namespace

std::vector<planned_fault> draw_plan(const fault_plan_settings& settings)
{
    constexpr std::uint64_t maintenance_only_divisor = 3;
    constexpr double ms_in_second = 1000.0;
    random_source random{settings.seed};
    const bool maintenance_only = settings.seed % maintenance_only_divisor == 0;
    std::vector<planned_fault> plan;
    double at_ms = 0.0;
    for (;;) {
        at_ms += random.exponential(ms_in_second / settings.faults_per_s);
        if (at_ms >= static_cast<double>(settings.length.count()))
            return plan;
        planned_fault planned;
        planned.at = std::chrono::milliseconds{static_cast<std::int64_t>(at_ms)};
        planned.active_for = std::chrono::milliseconds{random.between(200, 4'000)};
        (maintenance_only ? draw_maintenance : draw_any)(planned, random, settings);
        plan.push_back(planned);
    }
}

std::string to_string(const planned_fault& planned)
{
    return std::to_string(planned.at.count()) + " ms for " +
           std::to_string(planned.active_for.count()) +
           " ms: " + std::visit(fault_formatter{}, planned.action);
}

} // namespace jaynotch
