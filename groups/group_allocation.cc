// Utility: the sum over the models of the logarithm of their group counts, weighted by the damped
// share of the work. So the first groups of a model are worth most, and each model gets runners
// according to its share. A fabric domain counts with the average number of groups that it has left
// over a few losses: spares are worth most next to large groups, which idle many runners when one
// member is missing. Small terms are added for spare runners, each of which can replace a lost
// member quickly, and for each model that a failure domain has a group of, because the failure
// domain may be cut off from the others.
//
// Search: every fabric domain starts with the fill (number of groups of each model) that leaves the
// fewest runners unused. Then single domains and pairs of domains change to fills that increase the
// total utility, until no change does. Pairs are needed because replacing a group of one model by
// one of another often affects two domains. The result is optimal in every case that the tests
// enumerate.
//
// Cost: the utility depends only on sums over the domains, so a change is evaluated by its effect
// on the sums. Fabric domains of one failure domain with the same number of runners form a class,
// and the search only considers how many domains of a class have each fill. So its cost grows with
// the number of classes, not of domains. If all domains differ, max_evaluations limits it. The
// limit is on steps, not on time, because all managers must compute the same allocation.
#include "groups/group_allocation.h"

#include <cmath>

namespace jaynotch::groups {

namespace {

constexpr double spare_weight = 0.26;    ///< weight of the logarithm of the number of spares
constexpr double own_model_bonus = 0.05; ///< for a failure domain's first group of a model
constexpr double log_offset = 0.1;       ///< keeps the logarithm of 0 groups finite
constexpr std::size_t max_evaluations = 300'000; ///< changes evaluated by one search
constexpr double min_gain = 1e-9;                ///< smaller gains are rounding errors

/// Appends all fills of `unused` runners to `found`, recursively by pool. Fills that leave a group
/// of the largest model and `tolerated_losses` spares unused are omitted as wasteful.
void enumerate(const std::vector<pool>& pools, std::size_t index, std::uint32_t unused,
               group_counts& given, std::vector<group_counts>& found)
{
    if (index == pools.size()) {
        const bool wasteful = std::all_of(pools.begin(), pools.end(), [&](const pool& model) {
            return model.replica_vms + tolerated_losses <= unused;
        });
        if (!wasteful)
            found.push_back(given);
        return;
    }
    const std::uint32_t size = std::max(1U, pools[index].replica_vms);
    for (std::uint32_t count = 0; count * size <= unused; ++count) {
        given.push_back(count);
        enumerate(pools, index + 1, unused - count * size, given, found);
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

/// Weight of a model's groups. The square root is a compromise between equal weights and the
/// model's share of the work: a model with little work needs proportionally more groups, because a
/// few groups are more easily saturated by random arrivals and by each loss (square-root staffing).
double weight_of(const pool& model)
{
    constexpr double min_share = 0.01;
    return std::sqrt(std::max(model.forming.share, min_share));
}

/// Expected number of groups of each model, averaged over 0 to `tolerated_losses` lost members.
/// Spares are reserved for the model with the largest groups in the domain, where each replaces one
/// lost member. Without a spare the group is lost, and its survivors become spares.
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
            const double loss_probability = now[index] * pools[index].replica_vms / members;
            const double covered = index == largest ? std::min(loss_probability, spares) : 0.0;
            spares -= covered;
            next[index] = std::max(0.0, now[index] - (loss_probability - covered));
            if (index == largest)
                spares += (loss_probability - covered) * (pools[index].replica_vms - 1);
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
        const double unused = capacity.runners - runners_in(counts, pools);
        const std::vector<double> expected = expected_groups(counts, pools, unused);
        for (std::size_t index = 0; index < counts.size(); ++index) {
            groups[index] += expected[index];
            own[index] = own[index] || counts[index] > 0;
        }
        spares += unused;
    }
    utility += spare_weight * std::log(spares + log_offset);
    double sum = 0.0;
    for (const pool& model : pools)
        sum += weight_of(model);
    for (std::size_t index = 0; index < pools.size(); ++index)
        utility += weight_of(pools[index]) / sum * static_cast<double>(pools.size()) *
                   std::log(groups[index] + log_offset);
    for (const auto& [domain, own] : has_own)
        utility += own_model_bonus * static_cast<double>(std::count(own.begin(), own.end(), true));
    return utility;
}

namespace {

/// One way to fill a fabric domain, with its contribution to the sums.
struct domain_fill {
    group_counts counts;
    double unused = 0.0;          ///< runners in no group
    std::vector<double> expected; ///< expected_groups() of `counts`
};

/// Fabric domains of one failure domain with the same number of runners.
struct domain_class {
    std::size_t failure_domain = 0; ///< index into m_own
    std::vector<fabric_domain_id> members;
    std::vector<domain_fill> fills;
    std::vector<std::uint32_t> fill_counts; ///< number of members with each fill
};

/// Changes the fill of one domain of a class.
struct fill_change {
    std::size_t class_index = 0;
    std::size_t from = 0; ///< index of a fill of the class
    std::size_t to = 0;   ///< index of a fill of the class
};

class fill_search {
public:
    fill_search(const std::vector<pool>& pools,
                const std::map<fabric_domain_id, domain_capacity>& capacities)
        : m_pools{pools}, m_groups(pools.size(), 0.0)
    {
        double sum = 0.0;
        for (const pool& model : pools)
            sum += weight_of(model);
        for (const pool& model : pools)
            m_weights.push_back(weight_of(model) / sum * static_cast<double>(pools.size()));
        classify_domains(capacities);
        for (domain_class& cls : m_classes)
            start(cls);
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
        for (const domain_class& cls : m_classes) {
            auto member = cls.members.begin();
            for (std::size_t fill = cls.fills.size(); fill-- > 0;) {
                for (std::uint32_t count = 0; count < cls.fill_counts[fill]; ++count)
                    given[*member++] = cls.fills[fill].counts;
            }
        }
        return given;
    }

private:
    void classify_domains(const std::map<fabric_domain_id, domain_capacity>& capacities)
    {
        std::map<failure_domain_id, std::size_t> failure_domains;
        std::map<std::pair<std::size_t, std::uint32_t>, std::size_t> class_indexes;
        for (const auto& [domain, capacity] : capacities) {
            const std::size_t failure_domain =
                failure_domains.try_emplace(capacity.failure_domain, failure_domains.size())
                    .first->second;
            const auto [position, inserted] =
                class_indexes.try_emplace({failure_domain, capacity.runners}, m_classes.size());
            if (inserted)
                m_classes.push_back(make_class(failure_domain, capacity.runners));
            m_classes[position->second].members.push_back(domain);
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
            fill.unused = runners - runners_in(counts, m_pools);
            fill.expected = expected_groups(counts, m_pools, fill.unused);
            fill.counts = std::move(counts);
            made.fills.push_back(std::move(fill));
        }
        made.fill_counts.assign(made.fills.size(), 0);
        return made;
    }

    void start(domain_class& cls)
    {
        const auto fullest = std::min_element(
            cls.fills.begin(), cls.fills.end(),
            [](const domain_fill& a, const domain_fill& b) { return a.unused < b.unused; });
        const auto index = static_cast<std::size_t>(fullest - cls.fills.begin());
        for (std::size_t member = 0; member < cls.members.size(); ++member)
            add(cls, index);
    }

    void add(domain_class& cls, std::size_t fill)
    {
        ++cls.fill_counts[fill];
        const domain_fill& added = cls.fills[fill];
        m_spares += added.unused;
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            m_groups[index] += added.expected[index];
            m_own[cls.failure_domain][index] += added.counts[index] > 0 ? 1 : 0;
        }
    }

    void remove(domain_class& cls, std::size_t fill)
    {
        --cls.fill_counts[fill];
        const domain_fill& removed = cls.fills[fill];
        m_spares -= removed.unused;
        for (std::size_t index = 0; index < m_groups.size(); ++index) {
            m_groups[index] -= removed.expected[index];
            m_own[cls.failure_domain][index] -= removed.counts[index] > 0 ? 1 : 0;
        }
    }

    void make(const fill_change& change)
    {
        remove(m_classes[change.class_index], change.from);
        add(m_classes[change.class_index], change.to);
    }

    void undo(const fill_change& change) { make({change.class_index, change.to, change.from}); }

    /// Equals utility_of(), computed from the sums.
    [[nodiscard]] double utility() const
    {
        // Rounding errors of additions and subtractions can make a sum slightly negative.
        double sum = spare_weight * std::log(std::max(0.0, m_spares) + log_offset);
        for (std::size_t index = 0; index < m_groups.size(); ++index)
            sum += m_weights[index] * std::log(std::max(0.0, m_groups[index]) + log_offset);
        for (const std::vector<std::uint32_t>& own : m_own) {
            for (const std::uint32_t domains : own)
                sum += domains > 0 ? own_model_bonus : 0.0;
        }
        return sum;
    }

    /// Accepts the current state if its utility is higher than that of the last accepted one.
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

    /// All possible changes in the class with index `first` and in later classes.
    [[nodiscard]] std::vector<fill_change> changes(std::size_t first) const
    {
        std::vector<fill_change> possible;
        for (std::size_t index = first; index < m_classes.size(); ++index) {
            const domain_class& cls = m_classes[index];
            for (std::size_t from = 0; from < cls.fills.size(); ++from) {
                for (std::size_t to = 0; cls.fill_counts[from] > 0 && to < cls.fills.size(); ++to) {
                    if (to != from)
                        possible.push_back({index, from, to});
                }
            }
        }
        return possible;
    }

    bool improve_single()
    {
        bool improved = false;
        for (const fill_change& change : changes(0)) {
            // The same change may also help for the next domain of the class.
            while (m_classes[change.class_index].fill_counts[change.from] > 0 && !exhausted()) {
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
            for (const fill_change& second : changes(first.class_index)) {
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
    std::vector<double> m_groups; ///< expected groups by model
    /// Number of fabric domains with groups of a model, by failure domain and model.
    std::vector<std::vector<std::uint32_t>> m_own;
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
