#include "routing/server_memory.h"

#include <algorithm>

// Others' requests are counted as usual ones, plus two standard deviations of their number: a
// replica that is wrongly found full costs a wait, one that ends costs all its requests.

namespace jaynotch {

namespace {

constexpr double deviations = 2.0;

double usual_tokens(const engine_figures& figures)
{
    return static_cast<double>(figures.mean_prompt_tokens) + figures.mean_answer_tokens;
}

} // namespace

double request_tokens(std::uint32_t prompt_tokens, std::uint32_t answer_tokens,
                      const engine_figures& figures)
{
    return static_cast<double>(prompt_tokens > 0 ? prompt_tokens : figures.mean_prompt_tokens) +
           (answer_tokens > 0 ? answer_tokens : figures.mean_answer_tokens);
}

bool exceeds_any_replica(const pool& pool_info, std::uint32_t prompt_tokens)
{
    return pool_info.memory_tokens > 0 && prompt_tokens > pool_info.memory_tokens;
}

bool has_memory_for(const pool& pool_info, const replica_use& use, double tokens)
{
    if (pool_info.memory_tokens == 0)
        return true;
    const double others =
        (use.others + deviations * use.deviation) * usual_tokens(pool_info.engine);
    const double held = use.own_tokens + others;
    return held <= 0.0 || held + tokens <= static_cast<double>(pool_info.memory_tokens);
}

bool is_large(const pool& pool_info, double tokens, std::size_t nodes)
{
    const double part = static_cast<double>(pool_info.memory_tokens) /
                        static_cast<double>(std::max<std::size_t>(1, nodes));
    return pool_info.memory_tokens > 0 && tokens > part;
}

} // namespace jaynotch
