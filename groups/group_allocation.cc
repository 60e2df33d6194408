// Worth: for each model the logarithm of its groups, weighted by its part of the work, damped. That
// makes the first groups of a model worth most and gives each model runners after its part. A
// domain counts with the groups that it has left on average over a few losses: spares are worth
// most beside large groups, each of which strands many runners when it misses one. Added to it is a
// little for the runners left over, each of which makes a broken group whole again in a moment, and
// for each failure domain that has a model of its own, since it may be cut off.
//
// Search: every domain starts with the fill that leaves the fewest runners over; then single
// domains and pairs of them take the fills that make the whole worth more, until none can be
// bettered. Pairs are needed, since giving a group of one model for one of the other often takes
// two domains. That is the optimum in every case that the tests enumerate.
//
// Cost: the worth depends on sums over the domains only, so a change is judged by what it adds to
// them. Fabric domains of a failure domain that have equally many runners are alike: only how many
// of them have which fill is searched. So the search grows with the kinds of domains, not with the
// domains, and where all differ, max_evaluations bounds it. The bound is on steps, not on time: all
// managers must find the same allotment.
#include "groups/group_allocation.h"

#include <cmath>

namespace jaynotch::groups {

namespace {

constexpr double spare_weight = 0.26;            ///< of the logarithm of the runners left over
constexpr double own_model_bonus = 0.05;         ///< of a failure domain's first group of a model
constexpr double log_offset = 0.1;               ///< a model without a group counts badly, not -inf
constexpr std::size_t max_evaluations = 300'000; ///< changes that one search judges
constexpr double min_gain = 1e-9;                ///< less is rounding

/// All fills of `runners` that leave no more over than spares for the losses to bear, and what is
/// too few for a group of the largest model.
void enumerate(const std::vector<pool>& pools, std::size_t index, std::uint32_t left,
               group_counts& given, std::vector<group_counts>& found)
{
    if (index == pools.size()) {
        const bool wasteful = std::all_of(pools.begin(), pools.end(), [&](const pool& kind) {
            return kind.replica_vms + tolerated_losses <= left;
        });
        if (!wasteful)
            found.push_back(given);
        return;
    }
    const std::uint32_t size = std::max(1U, pools[index].replica_vms);
    for (std::uint32_t count = 0; count * size <= left; ++count) {
        given.push_back(count);
        enumerate(pools, index + 1, left - count * size, given, found);
        given.pop_back();
    }
}

std::uint32_t runners_in(const group_counts& counts, const std::vector<pool>& pools)
{
    std::uint32_t sum = 0;
    for (std::size_t index = 0; index < counts.size(); ++index)
        sum += counts[index] * pools[index].replica_vms;
    return sum;
}

/// What the groups of a model weigh. The square root lies between equal weights and the model's
/// part of the work: a model with little work needs more beyond it, since few groups fill up by
/// chance and miss each one that is lost (square-root staffing).
double weight_of(const pool& kind)
{
    constexpr double min_share = 0.01;
    return std::sqrt(std::max(kind.forming.share, min_share));
}

/// Groups of each model, averaged over the losses to bear. Spares are kept for the model with the
/// largest groups of the domain: it makes the survivors of one of those whole again. Without a
/// spare the group is gone, and its survivors are spares.
std::vector<double> expected_groups(const group_counts& counts, const std::vector<pool>& pools,
                                    double spares)
{
    std::vector<double> now(counts.begin(), counts.end());
    std::vector<double> sum = now;
    std::size_t largest = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const bool larger = pools[index].replica_vms > pools[largest].replica_vms;
        if (counts[index] > 0 && (counts[largest] == 0 || larger))
            largest = index;
    }
    for (std::uint32_t loss = 0; loss < tolerated_losses; ++loss) {
        double members = 0.0;
        for (std::size_t index = 0; index < now.size(); ++index)
            members += now[index] * pools[index].replica_vms;
        std::vector<double> next = now;
        for (std::size_t index = 0; members > 0.0 && index < now.size(); ++index) {
            const double hit = now[index] * pools[index].replica_vms / members;
            const double covered = index == largest ? std::min(hit, spares) : 0.0;
            spares -= covered;
            next[index] = std::max(0.0, now[index] - (hit - covered));
            if (index == largest)
                spares += (hit - covered) * (pools[index].replica_vms - 1);
        }
        now = std::move(next);
        for (std::size_t index = 0; index < now.size(); ++index)
            sum[index] += now[index];
    }
    for (double& one : sum)
        one /= tolerated_losses + 1;
    return sum;
}

} // namespace

double utility_of(const group_allocation& given, const std::vector<pool>& pools,
                  const std::map<fabric_domain_id, domain_capacity>& capacities)
{
    std::vector<double> groups(pools.size(), 0.0);
    std::map<failure_domain_id, std::vector<bool>> has_own;
    double spares = 0.0;
    double utility = 0.0;
    for (const auto& [domain, counts] : given) {
        const domain_capacity& capacity = capacities.at(domain);
        std::vector<bool>& own = has_own[capacity.failure_domain];
        own.resize(pools.size(), false);
        const double left = capacity.runners - runners_in(counts, pools);
        const std::vector<double> expected = expected_groups(counts, pools, left);
        for (std::size_t index = 0; index < counts.size(); ++index) {
            groups[index] += expected[index];
            own[index] = own[index] || counts[index] > 0;
        }
        spares += left;
    }
    utility += spare_weight * std::log(spares + log_offset);
    double sum = 0.0;
    for (const pool& kind : pools)
        sum += weight_of(kind);
    for (std::size_t index = 0; index < pools.size(); ++index)
        utility += weight_of(pools[index]) / sum * static_cast<double>(pools.size()) *
                   std::log(groups[index] + log_offset);
    for (const auto& [domain, own] : has_own)
        utility += own_model_bonus * static_cast<double>(std::count(own.begin(), own.end(), true));
    return utility;
}

namespace {

/// One way to fill a fabric domain, with what it adds to the sums.
struct domain_fill {
    group_counts counts;
    double left = 0.0;            ///< runners
    std::vector<double> expected; ///< groups by model
};

/// Fabric domains of one failure domain with equally many runners.
struct domain_class {
    std::size_t failure_domain = 0; ///< index
    std::vector<fabric_domain_id> members;
    std::vector<domain_fill> fills;
    std::vector<std::uint32_t> taken; ///< members with each fill
};

/// One of some like domains changes its fill.
struct fill_change {
    std::size_t kind = 0; ///< index of the like domains
    std::size_t from = 0;
    std::size_t to = 0;
};

class fill_search {
public:
    fill_search(const std::vector<pool>& pools,
                const std::map<fabric_domain_id, domain_capacity>& capacities)
        : m_pools{pools}, m_groups(pools.size(), 0.0)
    {
        double sum = 0.0;
        for (const pool& kind : pools)
            sum += weight_of(kind);
        for (const pool& kind : pools)
            m_weights.push_back(weight_of(kind) / sum * static_cast<double>(pools.size()));
        classify_domains(capacities);
        for (domain_class& kind : m_classes)
            start(kind);
        m_utility = utility();
    }

    void run()
    {
        while (improve_single() || improve_pair()) {
        }
    }

    [[nodiscard]] group_allocation found() const
    {
        group_allocation given;
        for (const domain_class& kind : m_classes) {
            auto member = kind.members.begin();
            for (std::size_t fill = kind.fills.size(); fill-- > 0;) {
                for (std::uint32_t count = 0; count < kind.taken[fill]; ++count)
                    given[*member++] = kind.fills[fill].counts;
            }
        }
        return given;
    }

private:
    void classify_domains(const std::map<fabric_domain_id, domain_capacity>& capacities)
    {
        std::map<failure_domain_id, std::size_t> failure_domains;
        std::map<std::pair<std::size_t, std::uint32_t>, std::size_t> kinds;
        for (const auto& [domain, capacity] : capacities) {
            const std::size_t failure_domain =
                failure_domains.try_emplace(capacity.failure_domain, failure_domains.size())
                    .first->second;
            const auto [kind, fresh] =
                kinds.try_emplace({failure_domain, capacity.runners}, m_classes.size());
            if (fresh)
                m_classes.push_back(make_class(failure_domain, capacity.runners));
            m_classes[kind->second].members.push_back(domain);
        }
        m_own.assign(failure_domains.size(), std::vector<std::uint32_t>(m_pools.size(), 0));
    }

    [[nodiscard]] domain_class make_class(std::size_t failure_domain, std::uint32_t runners) const
    {
        domain_class made;
        made.failure_domain = failure_domain;
        std::vector<group_counts> fills;
        group_counts given;
        enumerate(m_pools, 0, runners, given, fills);
        for (group_counts& counts : fills) {
            domain_fill fill;
            fill.left = runners - runners_in(counts, m_pools);
            fill.expected = expected_groups(counts, m_pools, fill.left);
            fill.counts = std::move(counts);
            made.fills.push_back(std::move(fill));
        }
        made.taken.assign(made.fills.size(), 0);
        return made;
    }

    void start(domain_class& kind)
    {
        const auto fullest = std::min_element(
            kind.fills.begin(), kind.fills.end(),
            [](const domain_fill& a, const domain_fill& b) { return a.left < b.left; });
        const auto index = static_cast<std::size_t>(fullest - kind.fills.begin());
        for (std::size_t member = 0; member < kind.members.size(); ++member)
            add(kind, index);
    }

    void add(domain_class& kind, std::size_t fill)
    {
        ++kind.taken[fill];
        const domain_fill& added = kind.fills[fill];
        m_spares += added.left;
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            m_groups[index] += added.expected[index];
            m_own[kind.failure_domain][index] += added.counts[index] > 0 ? 1 : 0;
        }
    }

    void remove(domain_class& kind, std::size_t fill)
    {
        --kind.taken[fill];
        const domain_fill& removed = kind.fills[fill];
        m_spares -= removed.left;
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            m_groups[index] -= removed.expected[index];
            m_own[kind.failure_domain][index] -= removed.counts[index] > 0 ? 1 : 0;
        }
    }

    void make(const fill_change& change)
    {
        remove(m_classes[change.kind], change.from);
        add(m_classes[change.kind], change.to);
    }

    void undo(const fill_change& change) { make({change.kind, change.to, change.from}); }

    /// The same as utility_of(), from the sums.
    [[nodiscard]] double utility() const
    {
        // What is left of a sum after additions and subtractions may be a little below zero.
        double sum = spare_weight * std::log(std::max(0.0, m_spares) + log_offset);
        for (std::size_t index = 0; index < m_groups.size(); ++index)
            sum += m_weights[index] * std::log(std::max(0.0, m_groups[index]) + log_offset);
        for (const std::vector<std::uint32_t>& own : m_own) {
            for (const std::uint32_t domains : own)
                sum += domains > 0 ? own_model_bonus : 0.0;
        }
        return sum;
    }

    /// Keeps the change if it makes the whole worth more.
    bool keep_if_better()
    {
        ++m_evaluations;
        const double changed = utility();
        if (changed <= m_utility + min_gain)
            return false;
        m_utility = changed;
        return true;
    }

    [[nodiscard]] bool exhausted() const { return m_evaluations >= max_evaluations; }

    /// Changes of some like domains that are possible now, those of `first` and later ones.
    [[nodiscard]] std::vector<fill_change> changes(std::size_t first) const
    {
        std::vector<fill_change> possible;
        for (std::size_t kind = first; kind < m_classes.size(); ++kind) {
            const domain_class& alike = m_classes[kind];
            for (std::size_t from = 0; from < alike.fills.size(); ++from) {
                for (std::size_t to = 0; alike.taken[from] > 0 && to < alike.fills.size(); ++to) {
                    if (to != from)
                        possible.push_back({kind, from, to});
                }
            }
        }
        return possible;
    }

    bool improve_single()
    {
        bool improved = false;
        for (const fill_change& change : changes(0)) {
            // The same change may help again, for the next of the like domains.
            while (m_classes[change.kind].taken[change.from] > 0 && !exhausted()) {
                make(change);
                if (!keep_if_better()) {
                    undo(change);
                    break;
                }
                improved = true;
            }
        }
        return improved;
    }

    bool improve_pair()
    {
        for (const fill_change& first : changes(0)) {
            make(first);
            for (const fill_change& second : changes(first.kind)) {
                if (exhausted())
                    break;
                make(second);
                if (keep_if_better())
                    return true;
                undo(second);
            }
            undo(first);
        }
        return false;
    }

    const std::vector<pool>& m_pools;
    std::vector<double> m_weights;
    std::vector<domain_class> m_classes;
    double m_spares = 0.0;
    std::vector<double> m_groups;                  ///< lasting ones, by model
    std::vector<std::vector<std::uint32_t>> m_own; ///< domains by failure domain and model
    double m_utility = 0.0;
    std::size_t m_evaluations = 0;
};

} // namespace

group_allocation allocate_groups(const std::vector<pool>& pools,
                                 const std::map<fabric_domain_id, domain_capacity>& capacities)
{
    fill_search search{pools, capacities};
    search.run();
    return search.found();
}

} // namespace jaynotch::groups
