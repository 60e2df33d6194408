#include "soak/fault_plan.h"

#include "base/random.h"

// Times between faults are exponential, so that some come together and some alone. A third of the
// seeds draw planned work only: what is promised for calm times can't be checked between failures.

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

harm_link draw_link(random_source& random, const fault_plan_settings& settings)
{
    harm_link made;
    made.end = draw<link_end>(random);
    made.index = random.index(made.end == link_end::runner ? settings.runners : settings.daemons);
    made.fault = draw_link_fault(random);
    made.delay = std::chrono::milliseconds{random.between(20, 400)};
    return made;
}

struct weighted {
    int weight;
    void (*draw)(planned_fault&, random_source&, const fault_plan_settings&);
};

constexpr std::array kinds{
    weighted{4,
             [](planned_fault& one, random_source& random, const fault_plan_settings& s) {
                 one.what = harm_daemon{draw<daemon_fault>(random), random.index(s.daemons)};
             }},
    weighted{5,
             [](planned_fault& one, random_source& random, const fault_plan_settings& s) {
                 one.what = harm_runner{draw<runner_fault>(random), random.index(s.runners)};
             }},
    weighted{4, [](planned_fault& one, random_source& random,
                   const fault_plan_settings& s) { one.what = draw_link(random, s); }},
    weighted{1,
             [](planned_fault& one, random_source& random, const fault_plan_settings&) {
                 constexpr double refuses = 0.4;
                 one.what = harm_store{random.chance(refuses) ? link_fault::none
                                                              : draw_link_fault(random)};
             }},
    weighted{3, [](planned_fault& one, random_source&,
                   const fault_plan_settings&) { one.what = change_configuration{}; }},
};

void draw_any(planned_fault& one, random_source& random, const fault_plan_settings& settings)
{
    int sum = 0;
    for (const weighted& kind : kinds)
        sum += kind.weight;
    auto left = static_cast<int>(random.index(static_cast<std::size_t>(sum)));
    for (const weighted& kind : kinds) {
        left -= kind.weight;
        if (left < 0)
            return kind.draw(one, random, settings);
    }
}

void draw_planned(planned_fault& one, random_source& random, const fault_plan_settings& settings)
{
    switch (random.index(4)) {
    case 0:
        one.what = harm_daemon{daemon_fault::stop, random.index(settings.daemons)};
        break;
    case 1:
        one.what = harm_daemon{daemon_fault::reload, random.index(settings.daemons)};
        break;
    case 2:
        one.what = harm_runner{runner_fault::drain, random.index(settings.runners)};
        break;
    default:
        one.what = change_configuration{};
    }
}

struct story_teller {
    std::string operator()(const harm_daemon& one) const
    {
        return std::string{to_name(one.fault)} + " daemon " + std::to_string(one.daemon);
    }
    std::string operator()(const harm_runner& one) const
    {
        return "runner " + std::to_string(one.runner) + " " + std::string{to_name(one.fault)};
    }
    std::string operator()(const harm_link& one) const
    {
        return "link to " + std::string{to_name(one.end)} + " of " + std::to_string(one.index) +
               " " + std::string{to_name(one.fault)};
    }
    std::string operator()(const harm_store& one) const
    {
        return "store of all " +
               (one.fault == link_fault::none ? "refuses" : std::string{to_name(one.fault)});
    }
    std::string operator()(const change_configuration& /*one*/) const
    {
        return "configuration changes";
    }
};

} // namespace

std::vector<planned_fault> draw_plan(const fault_plan_settings& settings)
{
    constexpr std::uint64_t calm_each = 3;
    constexpr double ms_in_second = 1000.0;
    random_source random{settings.seed};
    const bool calm = settings.seed % calm_each == 0;
    std::vector<planned_fault> plan;
    double at_ms = 0.0;
    for (;;) {
        at_ms += random.exponential(ms_in_second / settings.faults_per_s);
        if (at_ms >= static_cast<double>(settings.length.count()))
            return plan;
        planned_fault one;
        one.at = std::chrono::milliseconds{static_cast<std::int64_t>(at_ms)};
        one.lasts = std::chrono::milliseconds{random.between(200, 4'000)};
        (calm ? draw_planned : draw_any)(one, random, settings);
        plan.push_back(one);
    }
}

std::string to_string(const planned_fault& one)
{
    return std::to_string(one.at.count()) + " ms for " + std::to_string(one.lasts.count()) +
           " ms: " + std::visit(story_teller{}, one.what);
}

} // namespace jaynotch
