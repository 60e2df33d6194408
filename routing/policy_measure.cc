// Measurements on a single engine, and measurements over several runs.
#include "routing/policy_run.h"
#include "routing/policy_workload.h"

#include <algorithm>

namespace jaynotch::policy {

double closed_loop_rate(const engine_model& model, int in_flight)
{
    workload load{7, 1};
    engine measured{model};
    std::uint64_t id = 0;
    const auto add = [&] {
        const request_info info = load.next(++id);
        load.answered(id, info.prefix_blocks);
        sequence added;
        added.attempt = attempt_id{id};
        added.blocks = info.prefix_blocks;
        added.answer_left = info.answer_tokens;
        measured.add(std::move(added));
    };
    for (int at = 0; at < in_flight; ++at)
        add();
    constexpr double warm_up_s = 30.0;
    constexpr double measured_s = 200.0;
    double now_s = 0.0;
    double ended = 0.0;
    while (now_s < warm_up_s + measured_s) {
        const step_result step = measured.step();
        now_s += step.took_s;
        for (std::size_t done = 0; done < step.ended.size(); ++done) {
            add();
            ended += now_s > warm_up_s ? 1.0 : 0.0;
        }
    }
    return ended / measured_s;
}

double recovery_s(const run_options& options, int runs)
{
    std::vector<double> good_at_s;
    for (int number = 0; number < runs; ++number) {
        run_options each = options;
        each.seed += static_cast<std::uint64_t>(number);
        const run_report result = run(each);
        good_at_s.insert(good_at_s.end(), result.good_at_s.begin(), result.good_at_s.end());
    }
    const auto rate = [&](double from_s, double to_s) {
        const auto in = std::count_if(good_at_s.begin(), good_at_s.end(), [&](double good_s) {
            return good_s >= from_s && good_s < to_s;
        });
        return static_cast<double>(in) / (to_s - from_s);
    };
    constexpr double window_s = 1.0;
    constexpr double step_s = 0.25;
    constexpr double settled_s = 20.0;
    const double settled = rate(options.seconds - settled_s, options.seconds);
    double from_s = options.fault_at;
    while (from_s < options.seconds - settled_s && rate(from_s, from_s + window_s) < 0.95 * settled)
        from_s += step_s;
    return from_s - options.fault_at;
}

} // namespace jaynotch::policy
