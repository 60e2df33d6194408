#include "soak/fault_plan.h"

#include "base/random.h"

#include <algorithm>

// The intervals between faults are exponentially distributed, so some faults overlap and others
// occur alone. Every third seed has planned maintenance only (graceful stops, reloads, drains and
// configuration changes): guarantees for operation without failures can be checked only there.
//
// Pauses of servers come on top in both kinds of seeds, from a random stream of their own. One
// begins only some time after the last has ended, so that a request can be answered within its
// deadline whatever pauses meet it.

namespace jaynotch {

namespace {

using std::chrono::milliseconds;

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

planned_fault draw_pause(random_source& random, milliseconds at, double min_share)
{
    constexpr std::int64_t min_pause_ms = 600;
    constexpr std::int64_t max_pause_ms = 1'800;
    constexpr std::size_t max_first = 1'000;
    planned_fault drawn;
    drawn.at = at;
    drawn.active_for = milliseconds{random.between(min_pause_ms, max_pause_ms)};
    planned_pause pause;
    pause.first = random.index(max_first);
    switch (random.index(3)) {
    case 0:
        pause.share = min_share;
        break;
    case 1:
        pause.share = min_share + (1.0 - min_share) * random.unit();
        break;
    default:
        pause.share = 1.0;
    }
    drawn.action = pause;
    return drawn;
}

void add_pauses(std::vector<planned_fault>& plan, const fault_plan_settings& settings)
{
    constexpr std::uint64_t stream = 0xba05eULL;
    constexpr std::int64_t min_interval_ms = 1'500;
    constexpr std::int64_t max_interval_ms = 3'500;
    random_source random{settings.seed ^ stream};
    milliseconds at{0};
    for (;;) {
        at += milliseconds{random.between(min_interval_ms, max_interval_ms)};
        if (at >= settings.length)
            return;
        plan.push_back(draw_pause(random, at, 0.0));
        at += plan.back().active_for;
    }
}

void add_evacuations(std::vector<planned_fault>& plan, const fault_plan_settings& settings)
{
    constexpr std::uint64_t stream = 0xe7ac0aULL;
    constexpr double share_of_seeds = 0.5;
    constexpr std::int64_t min_ms = 4'500;
    constexpr std::int64_t max_ms = 7'000;
    random_source random{settings.seed ^ stream};
    if (!random.chance(share_of_seeds))
        return;
    planned_fault drawn;
    drawn.at = milliseconds{random.between(0, settings.length.count() / 3)};
    drawn.active_for = milliseconds{random.between(min_ms, max_ms)};
    drawn.action = planned_evacuation{random.index(2)};
    plan.push_back(drawn);
}

void add_store_returns(std::vector<planned_fault>& plan, const fault_plan_settings& settings)
{
    constexpr std::uint64_t stream = 0xc0b1e5ULL;
    constexpr double share_of_seeds = 0.5;
    constexpr std::int64_t min_age_ms = 300;
    constexpr std::int64_t max_age_ms = 3'000;
    random_source random{settings.seed ^ stream};
    if (!random.chance(share_of_seeds))
        return;
    const std::int64_t third_ms = settings.length.count() / 3;
    for (std::int64_t number = 0; number < 2; ++number) {
        planned_fault drawn;
        drawn.at = milliseconds{number * third_ms + random.between(0, third_ms)};
        drawn.active_for = milliseconds{random.between(min_age_ms, max_age_ms)};
        drawn.action = planned_store_return{};
        plan.push_back(drawn);
    }
}

void add_key_removal(std::vector<planned_fault>& plan, const fault_plan_settings& settings)
{
    constexpr std::uint64_t stream = 0x6b657973ULL;
    constexpr std::int64_t min_ms = 5'000; // longer than a version takes to be in force, with slack
    constexpr std::int64_t max_ms = 7'000;
    random_source random{settings.seed ^ stream};
    planned_fault drawn;
    drawn.at = milliseconds{random.between(0, settings.length.count() / 3)};
    drawn.active_for = milliseconds{random.between(min_ms, max_ms)};
    drawn.action = planned_key_removal{};
    plan.push_back(drawn);
}

/// Kinds of planned work in turn, each followed by a pause of most servers.
std::vector<planned_fault> paused_maintenance_plan(const fault_plan_settings& settings)
{
    constexpr milliseconds interval{4'000};
    constexpr milliseconds pause_delay{600};
    constexpr double min_share = 0.6;
    random_source random{settings.seed};
    std::vector<planned_fault> plan;
    std::size_t kind = settings.seed % 3;
    for (milliseconds at{1'000}; at < settings.length; at += interval) {
        planned_fault work;
        work.at = at;
        const std::size_t daemon = random.index(settings.daemons);
        if (kind == 0)
            work.action = configuration_change{};
        else
            work.action =
                planned_daemon_fault{kind == 1 ? daemon_fault::stop : daemon_fault::reload, daemon};
        plan.push_back(work);
        plan.push_back(draw_pause(random, at + pause_delay, min_share));
        kind = (kind + 1) % 3;
    }
    return plan;
}

/// Silences of all open connections, each followed by changes that must be in force in time.
std::vector<planned_fault> silence_plan(const fault_plan_settings& settings)
{
    constexpr milliseconds first{3'000};
    constexpr std::int64_t min_interval_ms = 6'000;
    constexpr std::int64_t max_interval_ms = 8'000;
    constexpr std::int64_t max_delay_ms = 2'800;
    random_source random{settings.seed};
    std::vector<planned_fault> plan;
    const auto add = [&](milliseconds at, auto action) {
        planned_fault planned;
        planned.at = at;
        planned.action = action;
        plan.push_back(planned);
    };
    for (milliseconds at = first; at < settings.length;
         at += milliseconds{random.between(min_interval_ms, max_interval_ms)})
    {
        add(at, planned_silence{});
        add(at + milliseconds{random.between(0, max_delay_ms)}, configuration_change{});
        add(at + milliseconds{random.between(0, max_delay_ms)},
            planned_departure{settings.runners - 1 - random.index(settings.plain_servers)});
    }
    return plan;
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
    std::string operator()(const planned_evacuation& planned) const
    {
        return "evacuation of domain " + std::to_string(planned.domain);
    }
    std::string operator()(const planned_store_return& /*planned*/) const
    {
        return "store comes back from a copy";
    }
    std::string operator()(const planned_key_removal& /*planned*/) const
    {
        return "all keys are taken away, then the last workspace";
    }
    std::string operator()(const planned_silence& /*planned*/) const
    {
        return "open connections fall silent";
    }
    std::string operator()(const planned_departure& planned) const
    {
        return "runner " + std::to_string(planned.runner) + " leaves without a word";
    }
    std::string operator()(const planned_pause& planned) const
    {
        return "pause of servers from " + std::to_string(planned.first) + ", share " +
               std::to_string(planned.share);
    }
};

} // namespace

std::vector<planned_fault> draw_plan(const fault_plan_settings& settings)
{
    if (settings.silences)
        return silence_plan(settings);
    if (settings.pause_after_maintenance)
        return paused_maintenance_plan(settings);
    constexpr std::uint64_t maintenance_only_divisor = 3;
    constexpr double ms_in_second = 1000.0;
    random_source random{settings.seed};
    const bool maintenance_only = settings.seed % maintenance_only_divisor == 0;
    std::vector<planned_fault> plan;
    double at_ms = 0.0;
    for (;;) {
        at_ms += random.exponential(ms_in_second / settings.faults_per_s);
        if (at_ms >= static_cast<double>(settings.length.count()))
            break;
        planned_fault planned;
        planned.at = std::chrono::milliseconds{static_cast<std::int64_t>(at_ms)};
        planned.active_for = std::chrono::milliseconds{random.between(200, 4'000)};
        (maintenance_only ? draw_maintenance : draw_any)(planned, random, settings);
        plan.push_back(planned);
    }
    if (settings.pauses)
        add_pauses(plan, settings);
    if (settings.evacuations)
        add_evacuations(plan, settings);
    if (settings.store_returns && !maintenance_only)
        add_store_returns(plan, settings);
    if (settings.key_removals)
        add_key_removal(plan, settings);
    std::stable_sort(plan.begin(), plan.end(),
                     [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return plan;
}

planned_fleet_outage draw_fleet_outage(std::uint64_t seed)
{
    constexpr std::uint64_t stream = 0xa11007ULL;
    constexpr double share_of_seeds = 0.5;
    constexpr double rare_share = 0.25;
    random_source random{seed ^ stream};
    planned_fleet_outage drawn;
    drawn.how = draw<fleet_loss>(random);
    drawn.down = milliseconds{random.between(300, 4'000)};
    if (random.chance(share_of_seeds))
        drawn.start_interval = milliseconds{random.between(5, 200)};
    drawn.times = random.chance(rare_share) ? 2 : 1;
    drawn.first_start = random.chance(rare_share);
    if (random.chance(share_of_seeds)) {
        drawn.store_fault = draw_link_fault(random);
        drawn.store_fault_for = drawn.down + milliseconds{random.between(0, 3'000)};
    }
    return drawn;
}

std::string to_string(const planned_fleet_outage& planned)
{
    std::string text = "all daemons lost by " + std::string{to_name(planned.how)};
    text += " for " + std::to_string(planned.down.count()) + " ms, ";
    text += std::to_string(planned.times) + " times, ";
    text += std::to_string(planned.start_interval.count()) + " ms between starts";
    text += planned.first_start ? ", as at a first start" : "";
    text += "; links to the store " + std::string{to_name(planned.store_fault)};
    text += " for " + std::to_string(planned.store_fault_for.count()) + " ms";
    if (planned.cut_off > 0)
        text += "; " + std::to_string(planned.cut_off) + " daemons cut off from all runners (" +
                std::string{to_name(planned.cut_how)} + "), " +
                std::to_string(planned.cut_before.count()) + " ms before";
    return text;
}

std::string to_string(const planned_fault& planned)
{
    return std::to_string(planned.at.count()) + " ms for " +
           std::to_string(planned.active_for.count()) +
           " ms: " + std::visit(fault_formatter{}, planned.action);
}

} // namespace jaynotch
