// Load balancing is by power of two choices (Mitzenmacher 2001) on the estimated load: of two
// random targets the less loaded one is chosen. With the least loaded of all targets, all nodes
// that see the same delayed report would send to the target that looked idle (herding); random
// pairs avoid this, which matters most if there are few targets.
//
// Prefix affinity with bounded load takes precedence (after Mirrokni, Thorup, Zadimoghaddam 2018):
// the target with the longest cached prefix, or else the home of the prompt, is chosen while its
// load is at most `load_bound` times the mean plus `load_slack`.
//
// The home of a prompt is computed without messages between entry nodes. It is found by rendezvous
// hashing of the first block of the prompt whose share of the traffic a few targets can serve: at
// most `max_homes`, and at most half of the pool. Blocks of a system prompt that all requests share
// are thereby skipped, and the turns of one conversation reach the same target through any node. A
// block whose traffic needs more than one target has as many homes, of which the least loaded one
// is used.
#include "routing/picker.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jaynotch {

namespace {

constexpr double load_bound = 1.25;
constexpr double load_slack = 2.0;
/// A failure domain to which this node sends nothing yields no load reports. Its targets are
/// assumed to be less loaded than the others; otherwise a node whose own domain is full would never
/// discover that another has capacity.
constexpr double unreported_load_factor = 0.75; ///< of the mean of the reported loads
constexpr double prior_weight = 0.1;            ///< weight of the assumption; a fresh report has 1
constexpr std::size_t max_holders = 4;
constexpr std::size_t max_homes = 4;

bool eligible(const target_row& row, const pick_request& wanted)
{
    if (!row.may_be_picked())
        return false;
    if (row.kind == pool_kind::plain)
        return true;
    if (!wanted.version.empty() && row.info.version != wanted.version)
        return false;
    return wanted.adapter.empty() || std::find(row.info.adapters.begin(), row.info.adapters.end(),
                                               wanted.adapter) != row.info.adapters.end();
}

bool was_tried(const pick_request& wanted, target_row_index row)
{
    return std::find(wanted.tried.begin(), wanted.tried.end(), row) != wanted.tried.end();
}

} // namespace

std::uint64_t mix_hashes(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t mixed = a ^ b;
    mixed = (mixed ^ mixed >> 30U) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ mixed >> 27U) * 0x94D049BB133111EBULL;
    return mixed ^ mixed >> 31U;
}

namespace {

/// Selection of one target of a pool.
class chooser {
public:
    chooser(const target_table& targets, pool_view& pool, const pick_request& wanted,
            random_source& random, time_point now)
        : m_targets{targets}, m_pool{pool}, m_wanted{wanted}, m_random{random}, m_now{now}
    {}

    target_row_index two_choices()
    {
        if (m_pool.targets.empty())
            return no_target;
        const target_row_index first = random_usable(no_target);
        if (first == no_target)
            return no_target;
        const target_row_index second = random_usable(first);
        return second == no_target || score(first) <= score(second) ? first : second;
    }

    target_row_index round_robin()
    {
        for (std::size_t step = 0; step < m_pool.targets.size(); ++step) {
            const std::size_t at = m_pool.round_robin_next++ % m_pool.targets.size();
            if (usable(m_pool.targets[at]))
                return m_pool.targets[at];
        }
        return no_target;
    }

    target_row_index least_own()
    {
        target_row_index least = no_target;
        for (const target_row_index row : m_pool.targets) {
            if (!usable(row))
                continue;
            if (least == no_target || m_targets.at(row).own < m_targets.at(least).own)
                least = row;
        }
        return least;
    }

    pick_result by_prefix(prefix_index& prefixes)
    {
        std::array<prefix_match, max_holders> holders{};
        const std::size_t found = prefixes.longest_matches(m_wanted.blocks, holders);
        const std::span known{holders.data(), found};
        // Of equally long matches, the less loaded target comes first.
        std::sort(known.begin(), known.end(), [&](const auto& a, const auto& b) {
            if (a.blocks != b.blocks)
                return a.blocks > b.blocks;
            return score(a.slot.row) < score(b.slot.row);
        });
        const home found_home = home_of(prefixes);
        for (const prefix_match& holder : known) {
            // A match within the blocks that every target holds does not distinguish the targets.
            if (holder.blocks <= found_home.shared_blocks)
                break;
            if (is_current(holder.slot) && within_load_bound(holder.slot.row))
                return {holder.slot.row, holder.blocks};
        }
        if (found_home.row != no_target && within_load_bound(found_home.row))
            return {found_home.row, cached_blocks_at(found_home.row, known)};
        const target_row_index row = two_choices();
        return {row, cached_blocks_at(row, known)};
    }

private:
    struct home {
        target_row_index row = no_target;
        std::uint32_t shared_blocks = 0; ///< leading blocks that every target likely has cached
    };

    bool usable(target_row_index row) const
    {
        return eligible(m_targets.at(row), m_wanted) && !was_tried(m_wanted, row);
    }

    bool is_current(target_slot slot) const
    {
        return slot.row < m_targets.size() &&
               m_targets.at(slot.row).generation == slot.generation &&
               m_targets.at(slot.row).present;
    }

    double score(target_row_index row) const
    {
        const target_row& judged = m_targets.at(row);
        return (estimated_load(judged, m_pool, m_now) + 1.0) * judged.health.slowness;
    }

    /// Whether affinity may send one more request to this target.
    bool within_load_bound(target_row_index row) const
    {
        if (!usable(row))
            return false;
        const auto count = static_cast<double>(m_pool.targets.size());
        const double mean = m_pool.own / count + m_pool.mean_others;
        const double bound = std::min(load_bound * mean + load_slack, m_pool.max_per_target + 0.0);
        return score(row) <= bound + 1.0;
    }

    target_row_index random_usable(target_row_index excluded)
    {
        const std::size_t count = m_pool.targets.size();
        const std::size_t from = m_random.index(count);
        for (std::size_t step = 0; step < count; ++step) {
            const target_row_index row = m_pool.targets[(from + step) % count];
            if (row != excluded && usable(row))
                return row;
        }
        return no_target;
    }

    home home_of(prefix_index& prefixes)
    {
        home found;
        prefixes.count_request();
        const auto count = static_cast<double>(m_pool.targets.size());
        const double max_home_targets = std::max(1.0, std::min(count / 2.0, max_homes + 0.0));
        const std::size_t depth = std::min(m_wanted.blocks.size(), max_prefix_blocks);
        for (std::size_t at = 0; at < depth; ++at) {
            const std::uint64_t block = m_wanted.blocks[at];
            const double targets_needed = prefixes.count_block_request(block) * count;
            if (targets_needed > max_home_targets) {
                found.shared_blocks = static_cast<std::uint32_t>(at + 1);
                continue;
            }
            const auto homes = static_cast<std::size_t>(std::ceil(targets_needed));
            found.row = least_loaded_home(block, std::clamp<std::size_t>(homes, 1, max_homes));
            return found;
        }
        return found;
    }

    /// Returns the least loaded of the `homes` usable targets that rank highest for `block`.
    target_row_index least_loaded_home(std::uint64_t block, std::size_t homes)
    {
        struct ranked {
            std::uint64_t rank = 0;
            target_row_index row = no_target;
        };
        std::array<ranked, max_homes> best{};
        for (std::size_t at = 0; at < m_pool.targets.size(); ++at) {
            const target_row_index row = m_pool.targets[at];
            if (!usable(row))
                continue;
            ranked added{mix_hashes(block, m_pool.id_hashes[at]), row};
            for (std::size_t place = 0; place < homes; ++place) {
                if (best[place].row == no_target || added.rank > best[place].rank)
                    std::swap(added, best[place]);
            }
        }
        target_row_index chosen = best.front().row;
        for (std::size_t place = 1; place < homes; ++place) {
            if (best[place].row != no_target && score(best[place].row) + 1.0 < score(chosen))
                chosen = best[place].row;
        }
        return chosen;
    }

    std::uint32_t cached_blocks_at(target_row_index row,
                                   std::span<const prefix_match> holders) const
    {
        for (const prefix_match& holder : holders) {
            if (holder.slot.row == row && is_current(holder.slot))
                return holder.blocks;
        }
        return 0;
    }

    const target_table& m_targets;
    pool_view& m_pool;
    const pick_request& m_wanted;
    random_source& m_random;
    time_point m_now;
};

} // namespace

void rebuild_targets(pool_view& view, const target_table& targets, const pool_id& pool)
{
    view.targets = targets.targets_of_pool(pool);
    view.id_hashes.clear();
    view.domain_indexes.clear();
    std::map<failure_domain_id, std::size_t> indexes;
    for (const target_row_index row : view.targets) {
        const target& info = targets.at(row).info;
        view.id_hashes.push_back(hash64(info.id.value()));
        view.domain_indexes.push_back(
            indexes.try_emplace(info.failure_domain, indexes.size()).first->second);
    }
    view.mean_others_by_domain.assign(indexes.size(), 0.0);
}

double expected_others(const pool_view& pool, std::size_t position)
{
    return pool.mean_others_by_domain[pool.domain_indexes[position]];
}

double estimated_load(const target_row& row, const pool_view& pool, time_point now)
{
    return row.own + row.load.others(pool.mean_others, now);
}

void refresh_view(pool_view& pool, const target_table& targets, time_point now)
{
    struct weighted_sum {
        double sum = 0.0;
        double total_weight = 0.0;

        void add(double others, double weight)
        {
            sum += weight * others;
            total_weight += weight;
        }
    };
    weighted_sum all;
    std::vector<weighted_sum> by_domain(pool.mean_others_by_domain.size());
    pool.own = 0;
    for (std::size_t position = 0; position < pool.targets.size(); ++position) {
        const target_row& counted = targets.at(pool.targets[position]);
        const double weight = counted.load.freshness(now);
        all.add(counted.load.reported_others(), weight);
        by_domain[pool.domain_indexes[position]].add(counted.load.reported_others(), weight);
        pool.own += counted.own;
    }
    pool.mean_others = all.total_weight > 0.0 ? all.sum / all.total_weight : 0.0;
    const double prior = unreported_load_factor * pool.mean_others;
    for (std::size_t domain = 0; domain < by_domain.size(); ++domain) {
        const weighted_sum& domain_loads = by_domain[domain];
        pool.mean_others_by_domain[domain] =
            (domain_loads.sum + prior_weight * prior) / (domain_loads.total_weight + prior_weight);
    }
}

pick_result pick(const target_table& targets, pool_view& pool, prefix_index& prefixes,
                 pick_policy policy, const pick_request& wanted, random_source& random,
                 time_point now)
{
    const auto choose = [&](const pick_request& request) -> pick_result {
        chooser choice{targets, pool, request, random, now};
        switch (policy) {
        case pick_policy::round_robin:
            return {choice.round_robin(), 0};
        case pick_policy::least_own:
            return {choice.least_own(), 0};
        case pick_policy::two_choices:
            break;
        }
        if (request.blocks.empty())
            return {choice.two_choices(), 0};
        return choice.by_prefix(prefixes);
    };
    pick_result chosen = choose(wanted);
    if (chosen.row == no_target && !wanted.tried.empty()) {
        pick_request again = wanted;
        again.tried = {};
        chosen = choose(again);
    }
    return chosen;
}

} // namespace jaynotch
