#include "daemon/metrics.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

bool has(const std::string& page, const std::string& line)
{
    return page.find(line) != std::string::npos;
}

} // namespace

// Guards against events that the /metrics page does not count, or counts under a name or label
// other than the one that operators look up.
Test(metrics, the_page_counts_requests_by_outcome_and_reason)
{
    metrics exported_metrics;
    exported_metrics.ended(outcome::answered, 120ms);
    exported_metrics.refused(error_kind::overloaded);
    exported_metrics.attempt_failed(attempt_failure::stalled);
    exported_metrics.attempt_cancelled(cancel_reason::target_silent);
    exported_metrics.attempt_held(hold_reason::retries_used);
    exported_metrics.attempt_repeated();
    exported_metrics.queued(30ms);
    exported_metrics.loop_delay(2ms);
    gauges now;
    now.groups_forming = 2;
    now.spare_runners = 5;
    now.config_age = 3s;
    now.keys_required = true;
    now.keys = 7;
    now.config_unreadable = true;
    now.start_to_targets = 2s;
    const std::string page = exported_metrics.render(now);
    cr_assert(has(page, "jaynotch_requests_total{outcome=\"answered\"} 1"), "%s", page.c_str());
    cr_assert(has(page, "jaynotch_refusals_total{kind=\"overloaded\"} 1"));
    cr_assert(has(page, "jaynotch_attempt_failures_total{reason=\"stalled\"} 1"));
    cr_assert(has(page, "jaynotch_attempts_cancelled_total{reason=\"target_silent\"} 1"));
    cr_assert(has(page, "jaynotch_attempts_held_total{reason=\"retries_used\"} 1"));
    cr_assert(has(page, "jaynotch_attempts_repeated_total 1"));
    cr_assert(has(page, "jaynotch_queue_seconds_bucket{le=\"0.05\"} 1"));
    cr_assert(has(page, "jaynotch_queue_seconds_bucket{le=\"0.025\"} 0"));
    cr_assert(has(page, "jaynotch_loop_delay_seconds_count 1"));
    cr_assert(has(page, "jaynotch_groups_forming 2"));
    cr_assert(has(page, "jaynotch_spare_runners 5"));
    cr_assert(has(page, "jaynotch_config_age_seconds 3"));
    cr_assert(has(page, "jaynotch_keys_required 1"));
    cr_assert(has(page, "jaynotch_keys 7"));
    cr_assert(has(page, "jaynotch_config_unreadable 1"));
    cr_assert(has(page, "jaynotch_start_to_servers_seconds 2"));
}
