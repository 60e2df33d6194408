// Linear cost model of a batching engine: a decoding step costs a fixed time, a time per sequence
// and a time per token of context; a prompt costs a time per token and a time per attention pair,
// of which there are half as many as the square of its length. A pass is several steps.
//
// The number of running requests is an estimate. The expected wait for a place is therefore
// computed from the mean of the excess over the places under a normal distribution, which is above
// zero also if the mean number of requests is below the places.
#include "routing/engine_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace jaynotch {

namespace {

constexpr double pairs_in_unit = 1e6;
constexpr double tokens_in_unit = 1e3;

/// Mean of max(x, 0) for a normally distributed x.
double mean_of_positive_part(double mean, double deviation)
{
    if (deviation <= 0.0)
        return std::max(mean, 0.0);
    const double z = mean / deviation;
    const double density = std::exp(-z * z / 2.0) / std::sqrt(2.0 * std::numbers::pi);
    const double below = std::erfc(-z / std::numbers::sqrt2) / 2.0;
    return deviation * density + mean * below;
}

} // namespace

double pass_ms(const engine_figures& figures, double sequences)
{
    const double context =
        sequences * (figures.mean_prompt_tokens + figures.mean_answer_tokens / 2.0);
    const double step = figures.step_ms + figures.sequence_ms * sequences +
                        figures.context_ms_per_1k * context / tokens_in_unit;
    return figures.steps_per_pass * step * figures.time_factor;
}

double prompt_ms(const engine_figures& figures, double tokens)
{
    const double pairs = tokens * tokens / 2.0 / pairs_in_unit;
    return (tokens / figures.prompt_tokens_per_ms + pairs * figures.pairs_ms_per_1m) *
           figures.time_factor;
}

double answer_ms(const engine_figures& figures, double sequences)
{
    const double passes = std::ceil(figures.mean_answer_tokens / double(figures.steps_per_pass));
    return passes * pass_ms(figures, sequences);
}

double first_event_ms(const engine_figures& figures, double places, const engine_work& work,
                      double prompt_tokens)
{
    const double sequences = std::min(work.running, places);
    const double pass = pass_ms(figures, sequences + 1.0);
    // On average half of the current pass remains; the first event comes at the end of the next
    // one.
    double ms = (work.running > 0.0 ? 1.5 : 1.0) * pass;
    ms += prompt_ms(figures, prompt_tokens) + prompt_ms(figures, work.pending_tokens);
    ms += work.waiting * prompt_ms(figures, figures.mean_prompt_tokens);
    // The time until as many running requests have ended as exceed the places.
    const double excess = work.running + work.waiting + 1.0 - places;
    ms += mean_of_positive_part(excess, work.deviation) * answer_ms(figures, sequences + 1.0) /
          places;
    return ms;
}

duration max_event_gap(const engine_figures& figures, double places, double pending_tokens)
{
    constexpr double other_prompts = 4.0; // usual prompts that other nodes may have waiting
    const double in_one_pass = double(figures.steps_per_pass) * figures.chunk_tokens;
    const double read =
        std::min(in_one_pass, pending_tokens + other_prompts * figures.mean_prompt_tokens);
    const double ms = pass_ms(figures, places) + prompt_ms(figures, read);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

} // namespace jaynotch
