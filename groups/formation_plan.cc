// What is made of free runners.
//
// Before the first request weights load ten times faster and without a bound on their rate, so
// every fabric domain is filled then, as the allotment of the whole fleet says (groups/allot.h);
// each manager works it out alone from the registry.
//
// Later a load takes longer than anything else, so a group is made only of runners whose hosts have
// the weights: survivors of groups that lost a member and spares, the model that lacks groups most
// first. Runners without weights, newcomers mostly, are staged with the model whose next group in
// their domain lacks the fewest runners. Spares that are staged are warmed up in turn.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

constexpr duration warm_join = 200ms;     ///< of a runner whose last group had the model
constexpr duration formation_slack = 10s; ///< beyond the time that joins and loads should take
constexpr double load_burst = 3.0;        ///< loads that may begin at once, of those saved up
constexpr double need_tolerance = 1.3;    ///< needs within this factor count as equal
constexpr std::int64_t epochs_in_term = 4096;

bool has_staged(const runner_view& view, const std::string& model)
{
    return std::find(view.row.staged.begin(), view.row.staged.end(), model) !=
           view.row.staged.end();
}

/// Has weights of some model of `pools` on its host, or gets them.
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
        return warm_join;
    if (has_staged(view, model_pool.model))
        return model_pool.forming.warm_up;
    return model_pool.forming.load;
}

/// Runners that are in no group, by the registry and by their own word.
///
/// The registry alone is not enough. Runners write nothing while the store is down, and the manager
/// may meanwhile make a group of one that was a spare. A node that starts as the store comes back
/// and becomes the manager reads what was before; it would order a member of an open group to join
/// another, and one VM would serve in two. So a manager asks each runner once before it uses it.
/// What a runner said may be over too: an order may reach it late, behind the word. So a join names
/// how many orders the runner had begun by that word, and the runner refuses it after any other.
std::vector<runner_view*> formation_manager::state::free_runners(const fabric_domain_id& domain,
                                                                 time_point now)
{
    std::vector<runner_view*> free;
    for (runner_view* view : by_fabric.at(domain)) {
        const bool usable = is_reachable(*view) && !view->row.leaving && !view->pending &&
                            now >= view->next_order_at;
        // One whose entry names a group has to leave it first, whatever its head last said: an open
        // order that was lost may still be carried out there.
        if (!usable || view->row.group)
            continue;
        if (view->membership_confirmed)
            free.push_back(view);
        else
            query_runner(*view, now);
    }
    return free;
}

/// The models in the order of their groups for their share, the fewest first.
std::vector<model_need> formation_manager::state::models_by_need() const
{
    std::map<std::string, double> groups;
    for (const auto& [domain, heads] : registry.heads_by_domain()) {
        if (domain == settings.domain)
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

/// Takes one load out of this domain's part of the weight store's rate, if there is one.
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
        // One that has turned up in another composition has to leave that first.
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

void formation_manager::state::start_group(const pool& model_pool,
                                           std::vector<runner_view*> members, group_purpose purpose,
                                           time_point now)
{
    if (last_group_number + 1 >= epochs_in_term) {
        lease_election.outdated(now); // a new term brings new epochs
        return;
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
}

/// Makes one group of `kind` whose members are all ready within `longest`; false if it can't.
bool formation_manager::state::form_group(const fabric_domain_id& domain, const pool& model_pool,
                                          duration longest, time_point now)
{
    std::vector<runner_view*> free = free_runners(domain, now);
    std::erase_if(
        free, [&](const runner_view* view) { return time_to_ready(*view, model_pool) > longest; });
    if (free.size() < model_pool.replica_vms)
        return false;
    std::sort(free.begin(), free.end(), [&](const runner_view* a, const runner_view* b) {
        const duration left = time_to_ready(*a, model_pool);
        const duration right = time_to_ready(*b, model_pool);
        return left != right ? left < right : a->row.id < b->row.id;
    });
    free.resize(model_pool.replica_vms);
    start_group(model_pool, std::move(free), group_purpose::serve, now);
    return true;
}

/// Fills every fabric domain of the own failure domain as the allotment of the whole fleet says.
void formation_manager::state::form_initial_groups(time_point now)
{
    const bool settled = now - registry.last_joined() >= settings.settle_time ||
                         now - registry.first_joined() >= settings.max_settle_time;
    if (!settled)
        return;
    if (!initial_allocation || registry.last_joined() != allocated_at_join) {
        initial_allocation = allocate_groups(pools, registry.capacities());
        allocated_at_join = registry.last_joined();
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

/// Of those that have a group in the domain. Null if none has.
const pool* formation_manager::state::largest_model(const fabric_domain_id& domain) const
{
    const pool* largest = nullptr;
    for (const pool& model_pool : pools) {
        const std::vector<runner_view*>& there = by_fabric.at(domain);
        const bool here = std::any_of(there.begin(), there.end(), [&](const runner_view* view) {
            return view->listed && view->row.group && view->row.group->rank == 0 &&
                   view->row.model == model_pool.model && !is_warm_up(key_of(*view->row.group));
        });
        if (here && (largest == nullptr || model_pool.replica_vms > largest->replica_vms))
            largest = &model_pool;
    }
    return largest;
}

/// The model with the largest groups of the domain until it has spares for the losses that the
/// domain is to bear: a large group without a spare strands the most runners. Then a model whose
/// next group the bare runners complete, or that clearly lacks groups. Otherwise the largest again:
/// two or three runners with another model would wait beside a broken group that they could make
/// whole.
const pool* formation_manager::state::model_to_stage(const fabric_domain_id& domain,
                                                     const std::vector<runner_view*>& spare,
                                                     const std::vector<model_need>& ranked) const
{
    const pool* const largest = largest_model(domain);
    const auto standbys = std::count_if(spare.begin(), spare.end(), [&](const runner_view* view) {
        return largest != nullptr &&
               (view->staging == largest->model || has_staged(*view, largest->model));
    });
    const bool guarded = settings.mechanisms.has(mechanism::guard_largest);
    if (guarded && largest != nullptr && standbys < tolerated_losses)
        return largest;
    const auto bare = static_cast<std::size_t>(
        std::count_if(spare.begin(), spare.end(),
                      [&](const runner_view* view) { return !is_prepared(*view, pools); }));
    const pool* best = nullptr;
    std::size_t fewest_missing = 0;
    double best_need = 0.0;
    double largest_need = 0.0;
    for (const auto& [groups_per_share, model_pool] : ranked) {
        if (model_pool == largest)
            largest_need = groups_per_share;
        const auto have = static_cast<std::size_t>(std::count_if(
            spare.begin(), spare.end(), [model = model_pool->model](const runner_view* view) {
                return view->staging == model || has_staged(*view, model);
            }));
        const std::size_t runners_missing =
            model_pool->replica_vms - have % model_pool->replica_vms;
        // A model that has clearly fewer groups for its share goes first, however many runners its
        // next group still lacks; among models of about equal need the one that lacks the fewest.
        const bool needier = best != nullptr && groups_per_share > need_tolerance * best_need;
        const bool nearer =
            runners_missing <= bare && (fewest_missing > bare || runners_missing < fewest_missing);
        if (best == nullptr || (!needier && nearer)) {
            best_need = best == nullptr ? groups_per_share : best_need;
            best = model_pool;
            fewest_missing = runners_missing;
        }
    }
    const bool lacking = best_need * need_tolerance < largest_need;
    return fewest_missing > bare && largest != nullptr && !lacking ? largest : best;
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

/// A spare whose host has the weights joins in more than a second, one whose last group had them in
/// a fifth of that. Each spare therefore joins a composition of its own and leaves it again, at a
/// time when nobody waits for it.
void formation_manager::state::warm_spares(const fabric_domain_id& domain, time_point now)
{
    for (runner_view* view : free_runners(domain, now)) {
        for (const pool& model_pool : pools) {
            const bool alone_serves = model_pool.replica_vms < 2;
            if (alone_serves || view->warm_model == model_pool.model ||
                !has_staged(*view, model_pool.model))
                continue;
            start_group(model_pool, {view}, group_purpose::warm_up, now);
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
        if (traffic || now - registry.first_joined() >= 2 * settings.max_settle_time) {
            stage_spares(domain, ranked, now);
            if (settings.mechanisms.has(mechanism::warm_spares))
                warm_spares(domain, now);
        }
    }
}

} // namespace jaynotch::groups
