#include "groups/fake_registry.h"
#include "groups/group_allocation.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

std::map<fabric_domain_id, domain_capacity> capacities_of(const std::vector<std::uint32_t>& sizes)
{
    std::map<fabric_domain_id, domain_capacity> capacities;
    for (std::size_t index = 0; index < sizes.size(); ++index)
        capacities[fabric_domain_id{"d" + std::to_string(index)}] = {
            failure_domain_id{"f" + std::to_string(index % 3)}, sizes[index]};
    return capacities;
}

/// The highest utility over all possible fills, by exhaustive search.
double exhaustive_best(const std::vector<pool>& pools,
                       const std::map<fabric_domain_id, domain_capacity>& capacities,
                       group_allocation given,
                       std::map<fabric_domain_id, domain_capacity>::const_iterator at)
{
    if (at == capacities.end())
        return utility_of(given, pools, capacities);
    double best = -1e9;
    const std::uint32_t most = at->second.runners / pools[0].replica_vms;
    for (std::uint32_t first = 0; first <= most; ++first) {
        const std::uint32_t left = at->second.runners - first * pools[0].replica_vms;
        for (std::uint32_t second = 0; second <= left / pools[1].replica_vms; ++second) {
            given[at->first] = {first, second};
            best = std::max(best, exhaustive_best(pools, capacities, given, std::next(at)));
        }
    }
    return best;
}

/// All fills of a domain whose unused runners are fewer than a group of the largest model plus the
/// spares for the tolerated losses.
std::vector<group_counts> fills_of(std::uint32_t runners, const std::vector<pool>& pools)
{
    std::vector<group_counts> found;
    for (std::uint32_t first = 0; first * pools[0].replica_vms <= runners; ++first) {
        const std::uint32_t left = runners - first * pools[0].replica_vms;
        for (std::uint32_t second = 0; second * pools[1].replica_vms <= left; ++second) {
            const std::uint32_t over = left - second * pools[1].replica_vms;
            if (over < std::max(pools[0].replica_vms, pools[1].replica_vms) + tolerated_losses)
                found.push_back({first, second});
        }
    }
    return found;
}

/// A slow local search that computes the full utility for each change; the reference for fleets
/// that are too large for exhaustive search.
double utility_by_slow_search(const std::vector<pool>& pools,
                              const std::map<fabric_domain_id, domain_capacity>& capacities)
{
    group_allocation best;
    for (const auto& [domain, capacity] : capacities)
        best[domain] = fills_of(capacity.runners, pools).back();
    double utility = utility_of(best, pools, capacities);
    const auto better = [&](const fabric_domain_id& domain, const group_counts& choice) {
        group_counts before = std::exchange(best[domain], choice);
        const double changed = utility_of(best, pools, capacities);
        if (changed > utility + 1e-9) {
            utility = changed;
            return true;
        }
        best[domain] = std::move(before);
        return false;
    };
    for (bool improved = true; improved;) {
        improved = false;
        for (const auto& [domain, capacity] : capacities) {
            for (const group_counts& choice : fills_of(capacity.runners, pools))
                improved = better(domain, choice) || improved;
        }
        for (auto first = capacities.begin(); !improved && first != capacities.end(); ++first) {
            for (const group_counts& choice : fills_of(first->second.runners, pools)) {
                const group_counts before = std::exchange(best[first->first], choice);
                bool pair = false;
                for (auto second = std::next(first); second != capacities.end(); ++second) {
                    for (const group_counts& other : fills_of(second->second.runners, pools))
                        pair = better(second->first, other) || pair;
                }
                if (!pair)
                    best[first->first] = before;
                improved = improved || pair;
            }
        }
    }
    return utility;
}

double runner_fraction(const group_allocation& given, const std::vector<pool>& pools,
                       std::size_t index)
{
    double own = 0.0;
    double all = 0.0;
    for (const auto& [domain, counts] : given) {
        for (std::size_t model = 0; model < counts.size(); ++model) {
            const double runners = counts[model] * pools[model].replica_vms;
            all += runners;
            own += model == index ? runners : 0.0;
        }
    }
    return own / all;
}

} // namespace

Test(allocate_groups, matches_exhaustive_search)
{
    const std::vector<pool> pools = fake_registry::pools();
    for (const auto& sizes : std::vector<std::vector<std::uint32_t>>{
             {9, 9, 9, 9, 9, 9}, {9}, {7, 8, 9}, {3, 4, 5, 6}, {2, 12}, {20, 20}})
    {
        const auto capacities = capacities_of(sizes);
        const double best = exhaustive_best(pools, capacities, {}, capacities.begin());
        cr_assert_geq(utility_of(allocate_groups(pools, capacities), pools, capacities),
                      best - 1e-6);
    }
}

// A model of 16 runners and one of 4 with equal shares of the work. If groups were balanced instead
// of runners, the large model would get only three groups and its requests would be refused.
Test(allocate_groups, runners_follow_the_shares_of_the_work)
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 16;
    pools[0].forming.share = 0.5;
    pools[1].replica_vms = 4;
    pools[1].forming.share = 0.5;
    const group_allocation given = allocate_groups(pools, capacities_of({37, 37, 37, 37, 37, 37}));
    cr_assert_gt(runner_fraction(given, pools, 0), 0.4);
    cr_assert_lt(runner_fraction(given, pools, 0), 0.65);
}

Test(allocate_groups, a_domain_too_small_for_any_group_gets_none)
{
    const group_allocation given = allocate_groups(fake_registry::pools(), capacities_of({2}));
    cr_assert_eq(given.at(fabric_domain_id{"d0"}), (group_counts{0, 0}));
}

// A model of 16 runners in domains of 37. Two of its groups and one of the small model would leave
// a single spare; a second lost member would then idle 15 others while weights load.
Test(allocate_groups, large_groups_keep_spares)
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 16;
    pools[0].forming.share = 0.5;
    pools[1].replica_vms = 4;
    pools[1].forming.share = 0.5;
    const group_allocation given = allocate_groups(pools, capacities_of({37, 37, 37, 37, 37, 37}));
    std::uint32_t large = 0;
    for (const auto& [domain, counts] : given) {
        large += counts[0];
        if (counts[0] > 0)
            cr_assert_geq(37 - 16 * counts[0] - 4 * counts[1], 2U);
    }
    cr_assert_geq(large, 6U);
}

// Guards against a fast search that finds worse allocations than the slow one for hundreds of
// runners.
Test(allocate_groups, matches_slow_search_on_large_fleets)
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 32;
    pools[1].replica_vms = 8;
    for (const auto& sizes :
         {std::vector<std::uint32_t>(15, 73), std::vector<std::uint32_t>(22, 73),
          std::vector<std::uint32_t>{73, 72, 70, 66, 41, 40, 39, 33, 20, 9, 8, 73, 55, 50, 64}})
    {
        const auto capacities = capacities_of(sizes);
        const double slow = utility_by_slow_search(pools, capacities);
        const double fast = utility_of(allocate_groups(pools, capacities), pools, capacities);
        cr_assert_geq(fast, slow - 0.001 * std::abs(slow), "%f, slow search %f", fast, slow);
    }
}

Test(allocate_groups, each_domain_gets_one_fill_that_fits)
{
    const std::vector<pool> pools = fake_registry::pools();
    const auto capacities = capacities_of({9, 9, 12, 9, 12, 7, 2, 9});
    const group_allocation given = allocate_groups(pools, capacities);
    cr_assert_eq(given.size(), capacities.size());
    for (const auto& [domain, counts] : given)
        cr_assert_leq(counts[0] * pools[0].replica_vms + counts[1] * pools[1].replica_vms,
                      capacities.at(domain).runners);
}
