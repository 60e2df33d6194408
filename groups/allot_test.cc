#include "groups/allot.h"
#include "groups/fake_registry.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

std::map<fabric_domain_id, domain_room> rooms_of(const std::vector<std::uint32_t>& sizes)
{
    std::map<fabric_domain_id, domain_room> rooms;
    for (std::size_t index = 0; index < sizes.size(); ++index)
        rooms[fabric_domain_id{"d" + std::to_string(index)}] = {
            failure_domain_id{"f" + std::to_string(index % 3)}, sizes[index]};
    return rooms;
}

/// The best of all fills whatsoever: the slow reference.
double best_of_all(const std::vector<pool>& pools,
                   const std::map<fabric_domain_id, domain_room>& rooms, allotment given,
                   std::map<fabric_domain_id, domain_room>::const_iterator at)
{
    if (at == rooms.end())
        return worth_of(given, pools, rooms);
    double best = -1e9;
    const std::uint32_t most = at->second.runners / pools[0].replica_vms;
    for (std::uint32_t first = 0; first <= most; ++first) {
        const std::uint32_t left = at->second.runners - first * pools[0].replica_vms;
        for (std::uint32_t second = 0; second <= left / pools[1].replica_vms; ++second) {
            given[at->first] = {first, second};
            best = std::max(best, best_of_all(pools, rooms, given, std::next(at)));
        }
    }
    return best;
}

double part_of_runners(const allotment& given, const std::vector<pool>& pools, std::size_t index)
{
    double own = 0.0;
    double all = 0.0;
    for (const auto& [domain, counts] : given) {
        for (std::size_t kind = 0; kind < counts.size(); ++kind) {
            const double runners = counts[kind] * pools[kind].replica_vms;
            all += runners;
            own += kind == index ? runners : 0.0;
        }
    }
    return own / all;
}

} // namespace

Test(allot, is_as_good_as_the_best_of_all_fills)
{
    const std::vector<pool> pools = fake_registry::pools();
    for (const auto& sizes : std::vector<std::vector<std::uint32_t>>{
             {9, 9, 9, 9, 9, 9}, {9}, {7, 8, 9}, {3, 4, 5, 6}, {2, 12}, {20, 20}})
    {
        const auto rooms = rooms_of(sizes);
        const double best = best_of_all(pools, rooms, {}, rooms.begin());
        cr_assert_geq(worth_of(allot(pools, rooms), pools, rooms), best - 1e-6);
    }
}

// A model of 16 runners and one of 4 with equal shares of the work. Were groups counted instead of
// runners, the large model would get three groups of the fleet and its callers would be refused.
Test(allot, runners_follow_the_shares_of_the_work)
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 16;
    pools[0].forming.share = 0.5;
    pools[1].replica_vms = 4;
    pools[1].forming.share = 0.5;
    const allotment given = allot(pools, rooms_of({37, 37, 37, 37, 37, 37}));
    cr_assert_gt(part_of_runners(given, pools, 0), 0.4);
    cr_assert_lt(part_of_runners(given, pools, 0), 0.65);
}

Test(allot, a_domain_too_small_for_any_group_gets_none)
{
    const allotment given = allot(fake_registry::pools(), rooms_of({2}));
    cr_assert_eq(given.at(fabric_domain_id{"d0"}), (group_counts{0, 0}));
}

// A model of 16 runners in domains of 37. Two groups and one of the small model leave one runner
// over; the first member lost beyond it takes 15 others out of work for as long as weights load.
Test(allot, large_groups_keep_spares_beside_them)
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 16;
    pools[0].forming.share = 0.5;
    pools[1].replica_vms = 4;
    pools[1].forming.share = 0.5;
    const allotment given = allot(pools, rooms_of({37, 37, 37, 37, 37, 37}));
    std::uint32_t large = 0;
    for (const auto& [domain, counts] : given) {
        large += counts[0];
        if (counts[0] > 0)
            cr_assert_geq(37 - 16 * counts[0] - 4 * counts[1], 2U);
    }
    cr_assert_geq(large, 6U);
}
