// Every change removes the runner's old entry from all counts, edits it and counts it again, so the
// counts always match the entries.
#include "groups/runner_registry.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

bool is_head(const runner& row)
{
    return row.group && row.group->rank == 0;
}

bool is_open_head(const runner& row)
{
    return is_head(row) && row.group->phase == member_phase::open;
}

/// The row if the router uses it: a listed plain server or open head. Otherwise nullopt.
std::optional<runner> served_row(const registered_runner& entry)
{
    const bool served = !entry.row.joins_groups() || is_open_head(entry.row);
    return entry.listed && served ? std::optional{entry.row} : std::nullopt;
}

/// The composition that the entry counts towards; nullopt if it is unlisted or names none.
std::optional<group_key> counted_group(const registered_runner& entry)
{
    return entry.listed && entry.row.group ? std::optional{key_of(*entry.row.group)} : std::nullopt;
}

} // namespace

void runner_registry::update(const runner& read, time_point now)
{
    expire_unlisted(now);
    const auto [found, inserted] = m_runners.try_emplace(read.id);
    const registered_runner& known = found->second;
    runner row = read;
    row.leaving = row.leaving || (known.said_leaving && known.row.born_ms == row.born_ms);
    if (known.listed && known.row == row)
        return;
    if (row.joins_groups() && m_first_joined == time_point{})
        m_first_joined = now;
    if (row.joins_groups() && !known.listed)
        m_last_joined = now;
    change(found->second, now, [&](registered_runner& entry) {
        if (entry.row.born_ms != row.born_ms)
            entry = registered_runner{};
        if (row.leaving && !entry.row.leaving)
            entry.leaving_since = now;
        // An entry that is read again, or changed in other fields, is from the same time as before.
        if (row.cold_left != entry.row.cold_left || entry.cold_until <= now)
            entry.cold_until = row.cold_left.count() > 0 ? now + row.cold_left : time_point{};
        entry.row = row;
        entry.listed = true;
        if (!row.model.empty())
            entry.warm_model = row.model;
    });
}

void runner_registry::remove(const vm_id& vm, time_point now)
{
    expire_unlisted(now);
    const auto found = m_runners.find(vm);
    if (found == m_runners.end() || !found->second.listed)
        return;
    change(found->second, now, [&](registered_runner& entry) {
        entry.listed = false;
        entry.unlisted_at = now;
    });
    m_unlisted.emplace_back(now, vm);
}

bool runner_registry::note_leaving(const vm_id& vm, std::int64_t born_ms, time_point now)
{
    const auto found = m_runners.find(vm);
    if (found == m_runners.end() || found->second.row.born_ms != born_ms ||
        found->second.row.leaving)
        return false;
    change(found->second, now, [&](registered_runner& entry) {
        entry.said_leaving = true;
        entry.row.leaving = true;
        entry.leaving_since = now;
    });
    return true;
}

bool runner_registry::set_evacuated(const failure_domain_id& domain, bool evacuated)
{
    const bool changed = evacuated ? m_evacuated.insert(domain).second : m_evacuated.erase(domain);
    if (changed)
        ++m_serving_version;
    return changed;
}

bool runner_registry::tell(const runner_word& word, time_point now)
{
    const auto found = m_runners.find(word.vm);
    if (found == m_runners.end() || !found->second.listed)
        return false;
    const runner& known = found->second.row;
    if (word.born_ms != 0 && word.born_ms != known.born_ms)
        return false;
    if (known.group == word.group && known.model == word.model)
        return true;
    change(found->second, now, [&](registered_runner& entry) {
        entry.row.group = word.group;
        entry.row.model = word.model;
        entry.reported_at = now;
        if (!word.model.empty())
            entry.warm_model = word.model;
    });
    return true;
}

void runner_registry::change(registered_runner& entry, time_point now,
                             const std::function<void(registered_runner&)>& edit)
{
    const std::optional<runner> served = served_row(entry);
    const std::optional<group_key> counted = counted_group(entry);
    const std::optional<membership> previous_group = entry.row.group;
    const bool open_before = counted && m_compositions.at(*counted).open > 0;
    uncount(entry);
    edit(entry);
    count(entry, now);
    const std::optional<group_key> counts_now = counted_group(entry);
    const bool open_now = counts_now && m_compositions.at(*counts_now).open > 0;
    if (previous_group)
        erase_if_unnamed(key_of(*previous_group));
    const bool regrouped = counts_now != counted && (open_before || open_now);
    if (regrouped || served_row(entry) != served)
        ++m_serving_version;
}

const registered_runner* runner_registry::find(const vm_id& vm) const
{
    const auto found = m_runners.find(vm);
    return found == m_runners.end() ? nullptr : &found->second;
}

std::size_t runner_registry::members_of(const group_key& key) const
{
    const auto found = m_compositions.find(key);
    return found == m_compositions.end() ? 0 : found->second.listed;
}

runner_registry::missing_members runner_registry::missing_from(const group_key& key,
                                                               time_point now) const
{
    missing_members missing;
    for (auto at = m_unlisted.rbegin(); at != m_unlisted.rend(); ++at) {
        const auto& [removed_at, vm] = *at;
        if (now - removed_at >= entry_grace_period)
            break;
        const registered_runner* entry = find(vm);
        const bool still_missing =
            entry != nullptr && !entry->listed && entry->unlisted_at == removed_at;
        if (!still_missing || !entry->row.group || key_of(*entry->row.group) != key)
            continue;
        ++missing.count;
        missing.until = std::min(missing.until, removed_at + entry_grace_period);
    }
    return missing;
}

std::optional<time_point> runner_registry::first_seen(const group_key& key) const
{
    const auto found = m_compositions.find(key);
    return found == m_compositions.end() ? std::nullopt : std::optional{found->second.first_seen};
}

void runner_registry::count(const registered_runner& entry, time_point now)
{
    const runner& row = entry.row;
    if (row.group) {
        const auto [found, inserted] = m_compositions.try_emplace(key_of(*row.group));
        if (inserted)
            found->second.first_seen = now;
        ++found->second.named;
        found->second.listed += entry.listed ? 1 : 0;
        found->second.open += entry.listed && is_open_head(row) ? 1 : 0;
    }
    model_counts* heads = row.joins_groups() ? &m_heads_by_domain[row.failure_domain] : nullptr;
    if (!entry.listed)
        return;
    ++m_listed;
    if (heads == nullptr) {
        m_plain.insert(row.id);
        return;
    }
    if (is_head(row)) {
        m_heads.insert(row.id);
        ++(*heads)[row.model];
    }
    if (!row.leaving) {
        domain_capacity& capacity = m_capacities[row.fabric_domain];
        capacity.failure_domain = row.failure_domain;
        ++capacity.runners;
    }
}

void runner_registry::uncount(const registered_runner& entry)
{
    const runner& row = entry.row;
    if (row.group) {
        composition& named = m_compositions.at(key_of(*row.group));
        named.listed -= entry.listed ? 1 : 0;
        named.open -= entry.listed && is_open_head(row) ? 1 : 0;
        --named.named;
    }
    if (!entry.listed)
        return;
    --m_listed;
    m_plain.erase(row.id);
    if (m_heads.erase(row.id) != 0)
        --m_heads_by_domain[row.failure_domain][row.model];
    if (row.joins_groups() && !row.leaving && --m_capacities[row.fabric_domain].runners == 0)
        m_capacities.erase(row.fabric_domain);
}

void runner_registry::erase_if_unnamed(const group_key& key)
{
    const auto found = m_compositions.find(key);
    if (found != m_compositions.end() && found->second.named == 0)
        m_compositions.erase(found);
}

void runner_registry::expire_unlisted(time_point now)
{
    while (!m_unlisted.empty() && now - m_unlisted.front().first > unlisted_retention) {
        const auto found = m_runners.find(m_unlisted.front().second);
        const bool kept = found == m_runners.end() || found->second.listed ||
                          found->second.unlisted_at != m_unlisted.front().first;
        m_unlisted.pop_front();
        if (kept)
            continue;
        uncount(found->second);
        if (found->second.row.group)
            erase_if_unnamed(key_of(*found->second.row.group));
        m_runners.erase(found);
    }
}

} // namespace jaynotch::groups
