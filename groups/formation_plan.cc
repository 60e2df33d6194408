// Use of free runners.
//
// Before the first request, weights load ten times faster and without a rate limit. So every fabric
// domain is filled then, according to the allocation of the whole fleet
// (groups/group_allocation.h), which each manager computes on its own from the registry.
//
// After that, loading weights is the slowest step by far. So groups are formed only from runners
// whose hosts have the weights staged, i.e. spares and survivors of dissolved groups, beginning
// with the model that has the fewest groups for its share of the work. Runners without weights
// (mostly new ones) are staged with the model whose next group in their domain lacks the fewest
// runners. Staged spares are then warmed up.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

constexpr duration warm_join = 200ms;     ///< join of a runner whose last group had the model
constexpr duration formation_slack = 10s; ///< added to the expected time of joins and loads
constexpr double load_burst = 3.0;        ///< capacity of the token bucket for loads
constexpr double need_tolerance = 1.3;    ///< needs within this factor count as equal
constexpr std::int64_t epochs_in_term = 4096;

bool has_staged(const runner_view& view, const std::string& model)
{
    return std::find(view.row.staged.begin(), view.row.staged.end(), model) !=
           view.row.staged.end();
}

/// Whether weights of any model of `pools` are staged on the runner's host, or being staged.
bool is_prepared(const runner_view& view, const std::vector<pool>& pools)
{
    return !view.staging.empty() ||
           std::any_of(pools.begin(), pools.end(),
                       [&](const pool& model_pool) { return has_staged(view, model_pool.model); });
}

} // namespace

duration formation_manager::state::time_to_ready(const runner_view& view,
                                                 const pool& model_pool) const
{
    if (view.warm_model == model_pool.model)
        return std::min<duration>(warm_join, model_pool.forming.warm_up);
    if (has_staged(view, model_pool.model))
        return model_pool.forming.warm_up;
    return model_pool.forming.load;
}

/// Runners that are in no group according to both the registry and themselves.
///
/// The registry alone is not sufficient. Runners can't write entries while the store is down, and
/// the manager may use a spare for a group meanwhile. A node that starts and becomes the manager
/// just as the store returns reads the state from before the outage; it would order a member of an
/// open group to join another one, and the VM would serve in both. So a manager asks each runner
/// once before it uses it. The runner's answer may be outdated as well, because an earlier order
/// can reach it later. So a join carries the number of orders that the runner had begun when it
/// answered, and the runner refuses the join after any other order.
std::vector<runner_view*> formation_manager::state::free_runners(const fabric_domain_id& domain,
                                                                 time_point now)
{
    std::vector<runner_view*> free;
    for (runner_view* view : by_fabric.at(domain)) {
        const bool usable = is_reachable(*view) && !view->row.leaving && !view->pending &&
                            now >= view->next_order_at;
        // A runner whose entry names a group has to leave it first, whatever the head reported: an
        // open order whose reply was lost may still be executed there.
        if (!usable || view->row.group)
            continue;
        if (view->membership_confirmed)
            free.push_back(view);
        else
            query_runner(*view, now);
    }
    return free;
}

/// The models by their number of groups relative to their share of the work, ascending.
std::vector<model_need> formation_manager::state::models_by_need() const
{
    std::map<std::string, double> groups;
    for (const auto& [domain, heads] : registry.heads_by_domain()) {
        if (domain == settings.domain || registry.is_evacuated(domain))
            continue;
        for (const auto& [model, count] : heads)
            groups[model] += static_cast<double>(count);
    }
    for (const auto& [vm, view] : runners) {
        const bool head = view.listed && view.row.group && view.row.group->rank == 0;
        if (!head || is_warm_up({view.row.group->group, view.row.group->epoch}))
            continue;
        const auto plan = planned.find({view.row.group->group, view.row.group->epoch});
        groups[plan == planned.end() ? view.row.model : plan->second.model] += 1.0;
    }
    std::vector<model_need> ranked;
    for (const pool& model_pool : pools) {
        const double wanted = std::max(model_pool.forming.share, 0.01) / model_pool.replica_vms;
        ranked.push_back({groups[model_pool.model] / wanted, &model_pool});
    }
    std::sort(ranked.begin(), ranked.end(), [](const model_need& a, const model_need& b) {
        return a.groups_per_share != b.groups_per_share ? a.groups_per_share < b.groups_per_share
                                                        : a.model_pool->name < b.model_pool->name;
    });
    return ranked;
}

/// Takes a token for one load from this failure domain's part of the weight store's rate limit;
/// false if none is left. Always true before the first request or without a rate limit.
bool formation_manager::state::take_load_token(const pool& model_pool, time_point now)
{
    if (!traffic || model_pool.forming.loads_per_s <= 0.0)
        return true;
    const auto parts =
        static_cast<double>(std::max<std::size_t>(1, registry.heads_by_domain().size()));
    const double passed = std::chrono::duration<double>(now - load_tokens_at).count();
    load_tokens_at = now;
    load_tokens =
        std::min(load_burst, load_tokens + passed * model_pool.forming.loads_per_s / parts);
    if (load_tokens < 1.0)
        return false;
    load_tokens -= 1.0;
    return true;
}

void formation_manager::state::order_joins(const planned_group& plan, time_point now)
{
    for (const vm_id& vm : plan.members) {
        runner_view* view = find(vm);
        // A runner that is in a composition already has to leave it first.
        if (view == nullptr || view->row.group)
            continue;
        if (view->membership_confirmed)
            order(*view,
                  join_group{plan.group, plan.epoch, plan.model, plan.members, view->begun_orders},
                  now);
        else
            query_runner(*view, now);
    }
}

/// Orders a new composition; false if the manager has just given up its key, because its term has
/// no group numbers left.
bool formation_manager::state::start_group(const pool& model_pool,
                                           std::vector<runner_view*> members, group_purpose purpose,
                                           time_point now)
{
    if (last_group_number >= std::min(settings.max_groups_per_term, epochs_in_term - 1)) {
        lease_election.outdated(now);
        return false;
    }
    planned_group plan;
    plan.purpose = purpose;
    plan.epoch = lease_election.term() * epochs_in_term + ++last_group_number;
    plan.group = group_id{"g" + std::to_string(plan.epoch)};
    plan.model = model_pool.model;
    duration longest{0};
    for (const runner_view* member : members) {
        plan.members.push_back(member->row.id);
        longest = std::max(longest, time_to_ready(*member, model_pool));
    }
    plan.deadline = now + 2 * longest + formation_slack;
    const group_key key{plan.group, plan.epoch};
    add_notice(log_level::info, purpose == group_purpose::serve ? "group_forming" : "spare_warming",
               plan.group.value(),
               model_pool.name.value() + " of " + std::to_string(members.size()) + " in " +
                   members.front()->row.fabric_domain.value());
    order_joins(plan, now);
    planned.emplace(key, std::move(plan));
    return true;
}

/// Starts one group of `model_pool` from free runners that can be ready within `longest`; false if
/// there are too few, or if start_group() failed.
bool formation_manager::state::form_group(const fabric_domain_id& domain, const pool& model_pool,
                                          duration longest, time_point now)
{
    std::vector<runner_view*> free = free_runners(domain, now);
    std::erase_if(
        free, [&](const runner_view* view) { return time_to_ready(*view, model_pool) > longest; });
    if (free.size() < model_pool.replica_vms)
        return false;
    // Only the head gets requests, and a cold one bears few of them.
    const auto warm = [](const runner_view* view) { return view->row.cold_left.count() == 0; };
    std::sort(free.begin(), free.end(), [&](const runner_view* a, const runner_view* b) {
        const duration left = time_to_ready(*a, model_pool);
        const duration right = time_to_ready(*b, model_pool);
        if (left != right)
            return left < right;
        return warm(a) != warm(b) ? warm(a) : a->row.id < b->row.id;
    });
    free.resize(model_pool.replica_vms);
    std::stable_partition(free.begin(), free.end(), warm);
    return start_group(model_pool, std::move(free), group_purpose::serve, now);
}

/// Fills every fabric domain of this failure domain according to the allocation of the whole fleet.
void formation_manager::state::form_initial_groups(time_point now)
{
    const bool settled = now - registry.last_joined() >= settings.settle_time ||
                         now - registry.first_joined() >= settings.max_settle_time;
    if (!settled)
        return;
    const bool outdated = registry.last_joined() != allocated_at_join ||
                          registry.evacuated_domains() != evacuated_at_allocation;
    if (!initial_allocation || outdated) {
        std::map<fabric_domain_id, domain_capacity> usable = registry.capacities();
        std::erase_if(usable, [&](const auto& entry) {
            return registry.is_evacuated(entry.second.failure_domain);
        });
        initial_allocation = allocate_groups(pools, usable);
        allocated_at_join = registry.last_joined();
        evacuated_at_allocation = registry.evacuated_domains();
    }
    std::map<fabric_domain_id, std::map<std::string, std::uint32_t>> formed;
    for (const auto& [key, plan] : planned) {
        const runner_view* head = find(plan.members.front());
        if (head != nullptr && plan.purpose == group_purpose::serve)
            ++formed[head->row.fabric_domain][plan.model];
    }
    for (const auto& [domain, counts] : *initial_allocation) {
        if (!by_fabric.contains(domain))
            continue;
        for (std::size_t index = 0; index < counts.size(); ++index) {
            const pool& model_pool = pools[index];
            for (std::uint32_t done = formed[domain][model_pool.model]; done < counts[index];
                 ++done)
                form_group(domain, model_pool, model_pool.forming.load, now);
        }
    }
}

/// The model with the largest groups among those that have a group in the domain; null if none has.
const pool* formation_manager::state::largest_model(const fabric_domain_id& domain) const
{
    const pool* largest = nullptr;
    for (const pool& model_pool : pools) {
        const std::vector<runner_view*>& local_runners = by_fabric.at(domain);
        const bool has_group =
            std::any_of(local_runners.begin(), local_runners.end(), [&](const runner_view* view) {
                return view->listed && view->row.group && view->row.group->rank == 0 &&
                       view->row.model == model_pool.model && !is_warm_up(key_of(*view->row.group));
            });
        if (has_group && (largest == nullptr || model_pool.replica_vms > largest->replica_vms))
            largest = &model_pool;
    }
    return largest;
}

/// Chooses the model to stage on spares. First the model with the largest groups of the domain,
/// until it has `tolerated_losses` spares, because a large group without a spare idles the most
/// runners. Then a model whose next group the runners without weights can complete, or that has
/// clearly too few groups. Otherwise the largest again: a few runners with another model would idle
/// next to an incomplete group that they could complete.
const pool* formation_manager::state::model_to_stage(const fabric_domain_id& domain,
                                                     const std::vector<runner_view*>& spare,
                                                     const std::vector<model_need>& ranked) const
{
    const pool* const largest = largest_model(domain);
    const auto standbys = std::count_if(spare.begin(), spare.end(), [&](const runner_view* view) {
        return largest != nullptr &&
               (view->staging == largest->model || has_staged(*view, largest->model));
    });
    const bool guard_enabled = settings.mechanisms.has(mechanism::guard_largest);
    if (guard_enabled && largest != nullptr && standbys < tolerated_losses)
        return largest;
    const auto unprepared = static_cast<std::size_t>(
        std::count_if(spare.begin(), spare.end(),
                      [&](const runner_view* view) { return !is_prepared(*view, pools); }));
    const pool* best = nullptr;
    std::size_t fewest_missing = 0;
    double best_need = 0.0;
    double largest_need = 0.0;
    for (const auto& [groups_per_share, model_pool] : ranked) {
        if (model_pool == largest)
            largest_need = groups_per_share;
        const auto staged_runners = static_cast<std::size_t>(std::count_if(
            spare.begin(), spare.end(), [model = model_pool->model](const runner_view* view) {
                return view->staging == model || has_staged(*view, model);
            }));
        const std::size_t runners_missing =
            model_pool->replica_vms - staged_runners % model_pool->replica_vms;
        // A model with clearly fewer groups for its share comes first, however many runners its
        // next group lacks. Among models of similar need, the one whose next group lacks the
        // fewest.
        const bool clearly_needier =
            best != nullptr && groups_per_share > need_tolerance * best_need;
        const bool closer = runners_missing <= unprepared &&
                            (fewest_missing > unprepared || runners_missing < fewest_missing);
        if (best == nullptr || (!clearly_needier && closer)) {
            best_need = best == nullptr ? groups_per_share : best_need;
            best = model_pool;
            fewest_missing = runners_missing;
        }
    }
    const bool clearly_needed = best_need * need_tolerance < largest_need;
    return fewest_missing > unprepared && largest != nullptr && !clearly_needed ? largest : best;
}

void formation_manager::state::stage_spares(const fabric_domain_id& domain,
                                            const std::vector<model_need>& ranked, time_point now)
{
    const std::vector<runner_view*> spare = free_runners(domain, now);
    for (runner_view* view : spare) {
        if (is_prepared(*view, pools))
            continue;
        const pool* model_pool = model_to_stage(domain, spare, ranked);
        if (model_pool == nullptr || !take_load_token(*model_pool, now))
            return;
        if (order(*view, stage_model{model_pool->model}, now)) {
            view->staging = model_pool->model;
            view->staging_until = now + 2 * model_pool->forming.load + formation_slack;
        }
    }
}

/// Warms up staged spares. A join takes more than a second if the weights are only staged on the
/// host, and a fifth of that if the runner's last group had the same model. So each spare joins a
/// composition of its own and leaves it again before it is needed.
void formation_manager::state::warm_spares(const fabric_domain_id& domain, time_point now)
{
    for (runner_view* view : free_runners(domain, now)) {
        for (const pool& model_pool : pools) {
            const bool single_runner_groups = model_pool.replica_vms < 2;
            if (single_runner_groups || view->warm_model == model_pool.model ||
                !has_staged(*view, model_pool.model))
                continue;
            if (!start_group(model_pool, {view}, group_purpose::warm_up, now))
                return;
            break;
        }
    }
}

void formation_manager::state::form_groups(time_point now)
{
    if (!traffic)
        form_initial_groups(now);
    const std::vector<model_need> ranked = models_by_need();
    for (const auto& [domain, members] : by_fabric) {
        for (const model_need& needed : ranked) {
            while (form_group(domain, *needed.model_pool, needed.model_pool->forming.warm_up, now))
            {
            }
        }
        if (!lease_election.leading(now))
            return;
        // Before the first request, spares are left alone until the initial groups are planned.
        if (traffic || now - registry.first_joined() >= 2 * settings.max_settle_time) {
            stage_spares(domain, ranked, now);
            if (settings.mechanisms.has(mechanism::warm_spares))
                warm_spares(domain, now);
        }
    }
}

} // namespace jaynotch::groups
