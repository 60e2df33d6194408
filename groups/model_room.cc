// Every load serves one of these purposes, in this order.
//
// - A group that lacks few runners, of which more than half are left and idle until the load ends.
// - Spares of the largest model of the domain, `tolerated_losses` of them, because a large group
//   without a spare idles the most runners when it loses one.
// - A group that the loads can complete. Among models of similar need, the one that lacks the
//   fewest runners comes first.
// - Otherwise the largest model again: a few runners with another one would idle next to a group
//   that they could complete.
//
// Runners that hold nothing are used first, because they are of no use until they are loaded. After
// them, idle runners load a second model onto their hosts. That takes nothing away: the model of
// their last group stays in their accelerators, so they still rejoin a group of it at once. So the
// survivors of a large group can become groups of a smaller model if the lost member isn't replaced
// before their loads end, and stay a large group if it is; nothing has to be predicted.
#include "groups/model_room.h"

#include "groups/group_allocation.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr double need_tolerance = 1.3; ///< needs within this factor count as equal

/// The choices made so far, on a copy of the domain in which they are under way.
class room_plan {
public:
    explicit room_plan(const domain_room& given) : m_room{given}
    {
        for (std::size_t model = 0; model < m_room.models.size(); ++model)
            m_by_need.push_back(model);
        std::stable_sort(m_by_need.begin(), m_by_need.end(), [&](std::size_t a, std::size_t b) {
            return m_room.models[a].need < m_room.models[b].need;
        });
    }

    std::vector<stage_choice> choose()
    {
        while (load_bare()) {
        }
        if (m_room.second_models) {
            complete_with_second_models();
            guard_with_second_models();
        }
        return std::move(m_chosen);
    }

private:
    [[nodiscard]] std::size_t holding(std::size_t model) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_room.free.begin(), m_room.free.end(),
                          [&](const room_runner& runner) { return runner.holds(model); }));
    }

    /// Runners that the model's next group lacks.
    [[nodiscard]] std::size_t missing(std::size_t model) const
    {
        const std::size_t size = std::max(1U, m_room.models[model].size);
        return size - holding(model) % size;
    }

    /// The model with the largest groups among those that have a group in the domain.
    [[nodiscard]] std::optional<std::size_t> largest() const
    {
        std::optional<std::size_t> found;
        for (std::size_t model = 0; model < m_room.models.size(); ++model) {
            const room_model& row = m_room.models[model];
            if (row.open_groups > 0 && (!found || row.size > m_room.models[*found].size))
                found = model;
        }
        return found;
    }

    /// The model whose next group `loads` loads can complete: the neediest one, or one of similar
    /// need that lacks fewer runners.
    [[nodiscard]] std::optional<std::size_t> closest_model(std::size_t loads) const
    {
        std::optional<std::size_t> best;
        for (const std::size_t model : m_by_need) {
            if (missing(model) > loads)
                continue;
            const bool clearly_needier =
                best && m_room.models[model].need > need_tolerance * m_room.models[*best].need;
            if (!best || (!clearly_needier && missing(model) < missing(*best)))
                best = model;
        }
        return best;
    }

    /// The neediest model of which more than half of a group idles, if `loads` loads complete it.
    [[nodiscard]] std::optional<std::size_t> nearly_complete_model(std::size_t loads) const
    {
        for (const std::size_t model : m_by_need) {
            const std::size_t size = std::max(1U, m_room.models[model].size);
            if (missing(model) <= loads && 2 * missing(model) < size)
                return model;
        }
        return std::nullopt;
    }

    void stage(std::size_t runner, std::size_t model, stage_reason why)
    {
        room_runner& chosen = m_room.free[runner];
        const bool keeps = chosen.warm && chosen.warm != model;
        m_chosen.push_back({runner, model, why, keeps ? chosen.warm : std::nullopt});
        chosen.staging = model;
    }

    /// Chooses the model of one runner that holds nothing; false if there is none.
    bool load_bare()
    {
        const auto bare = [](const room_runner& runner) { return runner.bare(); };
        const auto first = std::find_if(m_room.free.begin(), m_room.free.end(), bare);
        if (first == m_room.free.end() || m_room.models.empty())
            return false;
        const auto loads = static_cast<std::size_t>(std::count_if(first, m_room.free.end(), bare));
        const auto runner = static_cast<std::size_t>(first - m_room.free.begin());
        const std::optional<std::size_t> most = largest();
        const std::optional<std::size_t> repaired = nearly_complete_model(loads);
        if (repaired)
            stage(runner, *repaired, stage_reason::completes_group);
        else if (m_room.guard_largest && most && holding(*most) < tolerated_losses)
            stage(runner, *most, stage_reason::guards_groups);
        else if (const auto model = closest_model(loads))
            stage(runner, *model, stage_reason::completes_group);
        else
            stage(runner, first_model(most), stage_reason::first_model);
        return true;
    }

    /// The largest model, unless another one has clearly too few groups.
    [[nodiscard]] std::size_t first_model(const std::optional<std::size_t>& most) const
    {
        const std::size_t neediest = m_by_need.front();
        const bool clearly_needed =
            most && m_room.models[neediest].need * need_tolerance < m_room.models[*most].need;
        return most && !clearly_needed ? *most : neediest;
    }

    /// Whether the runner can load another model without losing one that it holds.
    [[nodiscard]] bool has_room(const room_runner& runner) const
    {
        const auto others = static_cast<std::size_t>(
            std::count_if(runner.staged.begin(), runner.staged.end(),
                          [&](std::size_t model) { return runner.warm != model; }));
        return runner.idle && runner.warm && !runner.staging && others < m_room.host_keeps;
    }

    /// Runners that can load `model` as a further one.
    [[nodiscard]] std::vector<std::size_t> takers(std::size_t model) const
    {
        std::vector<std::size_t> found;
        for (std::size_t runner = 0; runner < m_room.free.size(); ++runner) {
            if (has_room(m_room.free[runner]) && !m_room.free[runner].holds(model))
                found.push_back(runner);
        }
        return found;
    }

    void complete_with_second_models()
    {
        for (const std::size_t model : m_by_need) {
            const std::vector<std::size_t> able = takers(model);
            const std::size_t lacking = missing(model);
            for (std::size_t index = 0; lacking <= able.size() && index < lacking; ++index)
                stage(able[index], model, stage_reason::completes_group);
        }
    }

    void guard_with_second_models()
    {
        for (const std::size_t model : m_by_need) {
            if (m_room.models[model].open_groups == 0)
                continue;
            for (const std::size_t runner : takers(model)) {
                if (holding(model) > tolerated_losses)
                    break;
                stage(runner, model, stage_reason::guards_groups);
            }
        }
    }

    domain_room m_room;
    std::vector<std::size_t> m_by_need; ///< models, the neediest first
    std::vector<stage_choice> m_chosen;
};

} // namespace

std::vector<stage_choice> choose_stages(const domain_room& room)
{
    return room_plan{room}.choose();
}

} // namespace jaynotch::groups
