// Ejection counts consecutive failures instead of a failure rate: with 3 requests in flight per
// group and node, a rate has too few samples to be significant. The ejection time doubles with each
// consecutive ejection. After an ejection the target is on trial: it gets one request at a time,
// and a success ends the trial (a half-open circuit breaker per target).
//
// Slowness is the ratio of the moving average of the time to the first token to the pool's median.
// Ratios within a dead band count as 1, since averages of few samples differ by chance. Slowness
// only scales the load in target selection: a slow target gets proportionally less and still enough
// requests to detect its recovery.
#include "routing/outliers.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::uint32_t failures_to_eject = 3;
constexpr std::size_t max_ejected_divisor = 3; ///< at most 1/3 of a pool is ejected
constexpr std::chrono::seconds base_ejection_time{2};
constexpr std::uint32_t max_doublings = 4;
/// About the time that the watchers need to withdraw the ticket of a group whose members change.
constexpr std::chrono::milliseconds refusal_cooldown{500};
constexpr double smoothing = 0.15;
constexpr std::uint32_t min_slowness_samples = 8;
constexpr double dead_band = 1.5;
constexpr double max_slowness = 8.0;

void end_ejection(target_health& health, time_point now)
{
    if (!health.ejected || now < health.ejected_until)
        return;
    health.ejected = false;
    health.on_trial = true;
    // A single failure ejects it again.
    health.consecutive_failures = failures_to_eject - 1;
}

void eject(target_health& health, time_point now)
{
    health.ejected = true;
    health.on_trial = false;
    health.ejected_until =
        now + base_ejection_time * (1U << std::min(health.ejections, max_doublings));
    ++health.ejections;
}

} // namespace

void note_success(target_health& health)
{
    health.consecutive_failures = 0;
    health.ejections = 0;
    health.on_trial = false;
}

void note_failure(target_health& health)
{
    ++health.consecutive_failures;
}

void note_refusal(target_health& health, time_point now)
{
    health.refusing = true;
    health.refusing_until = now + refusal_cooldown;
}

void note_first_token(target_health& health, double seconds)
{
    ++health.first_token_samples;
    if (health.first_token_samples == 1)
        health.first_token_s = seconds;
    else
        health.first_token_s += smoothing * (seconds - health.first_token_s);
}

std::size_t eject_outliers(target_table& targets, std::span<const target_row_index> pool,
                           time_point now)
{
    std::size_t out_of_rotation = 0;
    std::size_t usable = 0;
    for (const target_row_index row : pool) {
        target_row& judged = targets.at(row);
        end_ejection(judged.health, now);
        judged.health.refusing = judged.health.refusing && now < judged.health.refusing_until;
        if (judged.leaving())
            continue;
        ++usable;
        out_of_rotation += judged.health.ejected ? 1 : 0;
    }
    std::size_t ejected = 0;
    for (const target_row_index row : pool) {
        target_row& judged = targets.at(row);
        if (judged.leaving() || judged.health.ejected)
            continue;
        if (judged.health.consecutive_failures < failures_to_eject)
            continue;
        if (out_of_rotation + 1 > usable / max_ejected_divisor &&
            !(usable == 2 && out_of_rotation == 0))
            break;
        eject(judged.health, now);
        ++out_of_rotation;
        ++ejected;
    }
    return ejected;
}

void update_slowness(target_table& targets, std::span<const target_row_index> pool)
{
    std::vector<double> times;
    for (const target_row_index row : pool) {
        const target_health& health = targets.at(row).health;
        if (health.first_token_samples >= min_slowness_samples)
            times.push_back(health.first_token_s);
    }
    if (times.size() < 3)
        return;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    for (const target_row_index row : pool) {
        target_health& health = targets.at(row).health;
        const bool judged = health.first_token_samples >= min_slowness_samples && *middle > 0.0;
        const double ratio = judged ? health.first_token_s / *middle : 1.0;
        health.slowness = ratio < dead_band ? 1.0 : std::min(ratio, max_slowness);
    }
}

} // namespace jaynotch
