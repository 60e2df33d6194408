// The ends of a request. Each function issues one final command and erases the row, so there can't
// be a second one: events for a request without a row are ignored.
//
// Whether a request may have run is derived only from `may_have_run`, which is set when an attempt
// ends and is never reset (see request_attempt.cc).
#include "routing/request_state.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

void request_core::state::erase(request_row& row)
{
    const request_id request = row.info.id;
    release_target(row); // frees the target's capacity for every kind of end
    stop_awaiting(row);
    stop_awaiting_begin(row);
    wakes.erase({row.wake, request});
    relayed_open -= row.info.relayed ? 1 : 0;
    if (row.phase != request_phase::querying_key)
        --pools.at(row.terms.pool).requests;
    if (row.phase == request_phase::queued) {
        pool_row& pool = pools.at(row.terms.pool);
        if (pool.queue.remove(flow_of(row), request))
            --pool.use_of(row.info.workspace, peers).queued;
        pool.drop_if_unused(row.info.workspace);
    }
    requests.erase(request);
}

void request_core::state::finish_complete(request_row& row, command_list& out)
{
    if (row.caller_left) {
        ++counters.caller_disconnects;
        out.emplace_back(forget{row.info.id});
    }
    else {
        ++counters.completed;
        out.emplace_back(complete{row.info.id});
    }
    erase(row);
}

void request_core::state::settle_claim_on_failure(request_row& row, time_point now)
{
    if (!row.keyed)
        return;
    if (row.may_have_run)
        claims.record_unknown(row.info.id, now);
    else
        claims.abandon(row.info.id, now);
}

void request_core::state::finish_refuse(request_row& row, error failure, ran_state ran,
                                        std::optional<std::chrono::milliseconds> after,
                                        time_point now, command_list& out)
{
    settle_claim_on_failure(row, now);
    if (row.caller_left) {
        ++counters.caller_disconnects;
        out.emplace_back(forget{row.info.id});
    }
    else {
        ++counters.refused;
        // This call did not run, but an earlier one with the same key may have. A retry with a new
        // key could run it twice.
        if (row.terms.repeat == repeat_policy::keyed && ran == ran_state::no && after)
            failure.remedy += ", with the same key";
        out.emplace_back(refuse{row.info.id, std::move(failure), ran, after, row.terms.route,
                                row.reached_server});
    }
    erase(row);
}

void request_core::state::finish_failed(request_row& row, error failure, time_point now,
                                        command_list& out)
{
    if (!row.head_delivered || row.caller_left) {
        const ran_state ran = row.may_have_run ? ran_state::unknown : ran_state::no;
        if (ran == ran_state::unknown && row.terms.repeat != repeat_policy::idempotent) {
            failure.kind = error_kind::unknown_outcome;
            failure.remedy = row.keyed ? "ask for the status of its key; do not use another key"
                                       : "find out whether it took effect before sending it again";
        }
        // A request that did not run may be retried when a server is likely to have capacity.
        std::optional<std::chrono::milliseconds> after;
        if (ran == ran_state::no) {
            const pool_row& pool = pools.at(row.terms.pool);
            after = retry_after(pool.reach.lost_for_all()
                                    ? std::max(pool.service_s, lost_servers_return_s)
                                    : pool.service_s);
        }
        finish_refuse(row, std::move(failure), ran, after, now, out);
        return;
    }
    settle_claim_on_failure(row, now);
    ++counters.truncated;
    const pool_row& pool = pools.at(row.terms.pool);
    const auto silent = [&](target_row_index at) { return targets.at(at).health.silent; };
    end_truncated end{row.info.id, std::move(failure)};
    end.servers_used = row.servers_used;
    end.most_servers = row.terms.most_servers;
    end.retries_left = pool.budget->left();
    end.silent_servers = static_cast<std::size_t>(
        std::count_if(pool.view.targets.begin(), pool.view.targets.end(), silent));
    end.servers = pool.view.targets.size();
    out.emplace_back(std::move(end));
    erase(row);
}

void request_core::state::finish_replay(request_row& row, const stored_answer& answer,
                                        command_list& out)
{
    ++counters.replayed;
    out.emplace_back(replay{row.info.id, answer});
    erase(row);
}

void request_core::state::finish_forget(request_row& row, time_point now, command_list& out)
{
    settle_claim_on_failure(row, now);
    ++counters.caller_disconnects;
    out.emplace_back(forget{row.info.id});
    erase(row);
}

void request_core::state::finish_report(request_row& row, const claim_status_reported& report,
                                        command_list& out)
{
    ++counters.completed;
    out.emplace_back(report_key_status{row.info.id, report.state, report.answer});
    erase(row);
}

void request_core::state::refuse_untracked(request_id request, error failure,
                                           std::optional<std::chrono::milliseconds> after,
                                           command_list& out)
{
    ++counters.refused;
    out.emplace_back(refuse{request, std::move(failure), ran_state::no, after, {}, false});
}

std::chrono::milliseconds request_core::state::retry_after(double wait_s)
{
    // Random between once and twice the wait, so that requests refused together don't return
    // together.
    constexpr std::chrono::milliseconds longest{60'000};
    constexpr double ms_in_second = 1000.0;
    const double spread_ms = wait_s * (1.0 + random.unit()) * ms_in_second;
    const std::chrono::milliseconds wait{static_cast<std::int64_t>(std::ceil(spread_ms))};
    return std::clamp(wait, settings.min_retry_after, longest);
}

} // namespace jaynotch
