// From the queue to a target, and the timers of each request.
//
// Each request has one wake-up time, the earliest at which an action may be due. Received parts of
// an answer only update `last_part`; when the wake-up time comes, it is moved on if nothing is due
// yet. So a received token does not change the ordered set of wake-ups.
#include "routing/modelled_pick.h"
#include "routing/request_state.h"
#include "routing/server_memory.h"

#include <cmath>

namespace jaynotch {

namespace {

constexpr std::size_t max_tried_targets = 4;
/// Requests that wait for a replica's memory and are passed over in one dispatch.
constexpr std::size_t max_passed_over = 4;
/// A queued request is refused when the time left before its deadline falls below this many typical
/// times to the first token: its answer would probably come too late, and the engine's work would
/// be wasted.
constexpr double reserved_first_token_times = 2.0;

duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

} // namespace

void request_core::state::dispatch(pool_index index, time_point now, command_list& out)
{
    dispatch(index, queue_pass::in_time, now, out);
    dispatch(index, queue_pass::late, now, out);
}

void request_core::state::dispatch(pool_index index, queue_pass pass, time_point now,
                                   command_list& out)
{
    const auto eligible = [&](const flow_key& flow) {
        return flow.late == (pass == queue_pass::late) &&
               pools.at(index).below_limit(flow.workspace, settings.node);
    };
    std::vector<queued_request> passed_over;
    while (pools.at(index).queue.size() > 0) {
        pool_row& pool = pools.at(index);
        if (settings.admission && !pool.modelled() &&
            pool.in_flight - pool.in_flight_leaving >= pool.allowed_in_flight())
        {
            pool.limit_reached = true;
            break;
        }
        const std::optional<queued_request> next = pool.queue.pop(eligible, now);
        if (!next)
            break;
        request_row& row = requests.at(next->request);
        row.phase = request_phase::sending;
        --pool.use_of(row.info.workspace, peers).queued;
        if (refuse_blocked(row, now, out) || try_send(row, now, out))
            continue;
        row.phase = request_phase::queued;
        ++pool.use_of(row.info.workspace, peers).queued;
        passed_over.push_back(*next);
        if (!waits_for_memory(row) || passed_over.size() > max_passed_over)
            break;
    }
    for (auto waiting = passed_over.rbegin(); waiting != passed_over.rend(); ++waiting) {
        const request_row& row = requests.at(waiting->request);
        pools.at(index).queue.push_front(flow_of(row), queue_weight(row), *waiting);
    }
}

double request_core::state::tokens_of(const request_row& row) const
{
    return request_tokens(row.info.prompt_tokens, row.info.answer_tokens,
                          pools.at(row.terms.pool).info.engine);
}

/// Whether smaller requests behind a waiting one may find room now although it doesn't.
bool request_core::state::waits_for_memory(const request_row& row) const
{
    return is_large(pools.at(row.terms.pool).info, tokens_of(row), fleet_size);
}

void request_core::state::dispatch_all(time_point now, command_list& out)
{
    for (pool_index index = 0; index < pools.size(); ++index)
        dispatch(index, now, out);
}

flow_key request_core::state::flow_of(const request_row& row) const
{
    return {row.info.workspace, row.terms.priority, gives_way(row)};
}

/// Whether the request is queued behind those that can still begin in time. A started stream is
/// not, since its caller notices the pause.
bool request_core::state::gives_way(const request_row& row) const
{
    return row.late && !row.head_delivered && settings.mechanisms.has(mechanism::late_gives_way);
}

double request_core::state::queue_weight(const request_row& row) const
{
    return pools.at(row.terms.pool).weight_of(row.info.workspace, row.terms.priority);
}

/// Returns no_target if the request has to wait.
target_row_index request_core::state::choose_target(const request_row& row,
                                                    std::span<const target_row_index> avoided,
                                                    time_point now)
{
    pool_row& pool = pools.at(row.terms.pool);
    if (pool.modelled()) {
        modelled_request wanted{static_cast<double>(row.info.prompt_tokens), avoided,
                                settings.failure_domain, fleet_size};
        wanted.gives_way = gives_way(row);
        wanted.node_hash = node_hash;
        wanted.first = random.index(std::max<std::size_t>(1, pool.view.targets.size()));
        wanted.mechanisms = settings.mechanisms;
        wanted.tokens = tokens_of(row);
        return pick_modelled(targets, pool.view, pool.info, wanted, now);
    }
    const std::span<const std::uint64_t> blocks{
        row.info.prefix_blocks.data(), std::min(row.info.prefix_blocks.size(), max_prefix_blocks)};
    const pick_request wanted{
        blocks, row.terms.adapter,
        row.head_delivered ? std::string_view{row.delivered_version} : std::string_view{}, avoided};
    const pick_result chosen =
        pick(targets, pool.view, pool.prefixes, settings.pick, wanted, random, now);
    if (chosen.row == no_target)
        return no_target;
    for (const std::uint64_t block : blocks)
        pool.prefixes.note_stored(block, targets.at(chosen.row).slot(chosen.row));
    counters.prefix_blocks += blocks.size();
    counters.prefix_blocks_cached += chosen.cached_blocks;
    return chosen.row;
}

bool request_core::state::try_send(request_row& row, time_point now, command_list& out)
{
    pool_row& pool = pools.at(row.terms.pool);
    const target_row_index chosen = choose_target(row, row.tried, now);
    if (chosen == no_target) {
        pool.drop_if_unused(row.info.workspace);
        return false;
    }
    send_to(row, chosen, now, out);
    return true;
}

/// Sends the request to a server that has a place for it.
void request_core::state::send_to(request_row& row, target_row_index chosen, time_point now,
                                  command_list& out)
{
    pool_row& pool = pools.at(row.terms.pool);
    target_row& target = targets.at(chosen);
    if (target.own == 0)
        target.last_activity = now;
    note_sent_to_server(target, pool, now);
    ++target.own;
    ++pool.view.own;
    ++pool.in_flight;
    ++pool.use_of(row.info.workspace, peers).in_flight;
    pool.available_places = std::max(0.0, pool.available_places - 1.0);

    begin_attempt(row, chosen, now);
    await_begin(row, now);
    row.attempt.pending_tokens = row.info.prompt_tokens;
    target.pending_tokens += row.attempt.pending_tokens;
    row.attempt.held_tokens = tokens_of(row);
    target.held_tokens += row.attempt.held_tokens;
    send_attempt sent = send_command_for(row, now);
    row.attempt.predicted = from_seconds(sent.basis.predicted_ms / 1000.0);
    out.emplace_back(std::move(sent));
    set_wake(row, next_wake_time(row));
}

/// Counts an attempt and makes it the request's current one.
void request_core::state::begin_attempt(request_row& row, target_row_index chosen, time_point now)
{
    ++counters.attempts;
    if (row.attempt_count == 0 && !targets.at(chosen).other_node)
        pools.at(row.terms.pool).budget->note_first_attempt();
    else if (row.head_delivered)
        ++counters.resumes;
    else
        ++counters.retries;
    ++row.attempt_count;
    row.has_attempt = true;
    row.attempt = attempt_row{};
    row.attempt.id = attempt_id{next_attempt++};
    row.attempt.target = chosen;
    row.attempt.started = now;
    row.attempt.last_part = now;
    row.attempt.version = targets.at(chosen).info.version;
    if (row.head_delivered)
        row.deadline = std::min(row.answer_deadline, now + longest_silence(row));
}

send_attempt request_core::state::send_command_for(const request_row& row, time_point now) const
{
    const target_row& target = targets.at(row.attempt.target);
    send_attempt sent;
    sent.request = row.info.id;
    sent.attempt = row.attempt.id;
    sent.target = target.info.id;
    sent.address = target.info.address;
    sent.kind = target.kind;
    sent.group = target.info.group;
    sent.fencing = target.info.fencing;
    sent.model = pools.at(row.terms.pool).info.model;
    sent.version = target.info.version;
    sent.adapter = row.terms.adapter;
    sent.priority = row.terms.priority;
    sent.repeat = row.terms.repeat;
    sent.instance = target.info.instance;
    sent.workspace = row.info.workspace;
    // The server stops at this time; row.deadline is only for the first byte.
    sent.deadline = row.answer_deadline;
    sent.resume = row.head_delivered;
    sent.basis = basis_of(row, target, now);
    return sent;
}

pick_basis request_core::state::basis_of(const request_row& row, const target_row& target,
                                         time_point now) const
{
    const pool_row& pool = pools.at(row.terms.pool);
    const auto position =
        std::find(pool.view.targets.begin(), pool.view.targets.end(), row.attempt.target) -
        pool.view.targets.begin();
    pick_basis basis;
    basis.sending = row.attempt_count;
    basis.servers_used = row.servers_used;
    basis.most_servers = row.terms.most_servers;
    basis.retries_left = pool.budget->left();
    basis.route = row.terms.route;
    basis.first_target = row.terms.first_target;
    basis.gap_target = row.terms.gap_target;
    basis.own = target.own - 1;
    if (!target.other_node)
        basis.others =
            target.load.others(expected_others(pool.view, static_cast<std::size_t>(position)), now);
    basis.load_age_ms = target.load.age_ms(now);
    basis.candidates = pool.view.targets.size();
    basis.waited_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - row.arrived).count();
    if (pool.modelled() && !target.other_node) {
        const engine_work work{basis.own + basis.others, 0.0,
                               static_cast<double>(target.pending_tokens)};
        basis.predicted_ms =
            first_event_ms(pool.info.engine, target.info.places, work, row.info.prompt_tokens);
    }
    return basis;
}

void request_core::state::note_tried(request_row& row)
{
    if (row.tried.size() < max_tried_targets)
        row.tried.push_back(row.attempt.target);
}

void request_core::state::requeue(request_row& row, time_point now)
{
    note_tried(row);
    row.has_attempt = false;
    row.phase = request_phase::queued;
    if (row.head_delivered)
        row.deadline = std::min(row.answer_deadline, now + settings.stall_timeout);
    pool_row& pool = pools.at(row.terms.pool);
    const flow_key flow = flow_of(row);
    // At the front and at no cost: its flow was charged when it was first dequeued.
    pool.queue.push_front(flow, queue_weight(row), {row.info.id, 0.0});
    ++pool.use_of(row.info.workspace, peers).queued;
    set_wake(row, next_wake_time(row));
}

/// Moves a waiting request behind those that can still begin in time; it gets the capacity that
/// they leave. If there is none within `late_wait`, there is unlikely to be any soon, and the
/// request is refused while its caller still has most of its time left.
void request_core::state::queue_as_late(request_row& row)
{
    pool_row& pool = pools.at(row.terms.pool);
    if (!pool.queue.remove(flow_of(row), row.info.id))
        return;
    constexpr std::chrono::milliseconds late_wait{250};
    row.late = true;
    row.queue_until = std::min<time_point>(row.queue_until, row.start_by + late_wait);
    // push_front() is for requests that were popped before: used here, each request that becomes
    // late would get its flow another turn at once. It only serves as a fallback for a full queue.
    const queued_request waiting{row.info.id, 1.0};
    if (!pool.queue.push(flow_of(row), queue_weight(row), waiting, queue_end::front))
        pool.queue.push_front(flow_of(row), queue_weight(row), waiting);
    set_wake(row, next_wake_time(row));
}

void request_core::state::set_wake(request_row& row, time_point at)
{
    wakes.erase({row.wake, row.info.id});
    row.wake = at;
    wakes.insert({at, row.info.id});
}

bool request_core::state::head_comes_early(const request_row& row) const
{
    // A non-streamed answer of a model is sent only after all of it has been generated.
    return row.info.stream || row.info.kind == request_kind::plain;
}

/// Silence of an attempt after which the request is moved, if another server can take it.
duration request_core::state::part_timeout(const request_row& row) const
{
    if (!pools.at(row.terms.pool).modelled())
        return settings.stall_timeout;
    // In a healthy engine a single stream doesn't pause: its connection has failed or its group has
    // stopped.
    constexpr double gap_multiple = 8.0;
    constexpr std::chrono::milliseconds min_timeout{800};
    constexpr std::chrono::milliseconds max_timeout{1'600};
    const double usual_ms = targets.at(row.attempt.target).health.gap_ms;
    return std::clamp<duration>(from_seconds(gap_multiple * usual_ms / 1000.0), min_timeout,
                                max_timeout) +
           delays.margin();
}

/// For how long an answer that has begun may bring no further byte before it is given up, also if
/// nothing better can be had. The route's timeout bounds the wait for each part as it does for the
/// first one.
duration request_core::state::longest_silence(const request_row& row) const
{
    return std::max<duration>(row.terms.timeout, settings.stall_timeout);
}

time_point request_core::state::silence_deadline(const request_row& row) const
{
    return std::min(row.answer_deadline, row.attempt.last_part + longest_silence(row));
}

duration request_core::state::head_timeout(const request_row& row) const
{
    if (pools.at(row.terms.pool).modelled()) {
        constexpr std::chrono::milliseconds modelled_timeout{1'200};
        return modelled_timeout + delays.margin();
    }
    // A target that takes far longer than the pool's typical time is probably stuck; a retry on
    // another one may still be in time. Applies only if a retry is allowed.
    constexpr double first_token_multiple = 8.0;
    constexpr std::chrono::seconds min_timeout{1};
    const double typical_s = pools.at(row.terms.pool).limit.first_token_s();
    if (typical_s == 0.0)
        return settings.stall_timeout;
    const duration timeout = from_seconds(first_token_multiple * typical_s);
    return std::clamp<duration>(timeout, min_timeout, settings.stall_timeout);
}

time_point request_core::state::next_wake_time(const request_row& row) const
{
    switch (row.phase) {
    case request_phase::queued: {
        if (row.head_delivered)
            return row.deadline;
        const double reserve_s =
            reserved_first_token_times * pools.at(row.terms.pool).limit.first_token_s();
        const bool modelled = pools.at(row.terms.pool).modelled();
        const time_point last_chance = modelled && !row.may_have_run
                                           ? row.queue_until
                                           : row.deadline - from_seconds(reserve_s);
        return row.late ? last_chance : std::min(last_chance, row.start_by);
    }
    case request_phase::sending:
        if (targets.at(row.attempt.target).other_node)
            return row.deadline; // the other node watches over the server
        if (head_comes_early(row) && may_retry(row, attempt_failure::stalled))
            return std::min(row.deadline, row.attempt.started + head_timeout(row));
        return row.deadline;
    case request_phase::answering:
        if (row.attempt.waits_for_caller)
            return row.answer_deadline;
        // Another node watches over its server itself.
        if (targets.at(row.attempt.target).other_node || !may_retry(row, attempt_failure::stalled))
            return silence_deadline(row);
        return std::min(silence_deadline(row), row.attempt.last_part + part_timeout(row));
    case request_phase::awaiting_retry:
        return row.wake;
    case request_phase::claiming:
    case request_phase::querying_key:
        break;
    }
    return row.deadline;
}

void request_core::state::wake_requests(time_point now, command_list& out)
{
    while (!wakes.empty() && wakes.begin()->at <= now) {
        const request_id request = wakes.begin()->request;
        wakes.erase(wakes.begin());
        const auto found = requests.find(request);
        if (found != requests.end())
            on_wake(found->second, now, out);
    }
}

void request_core::state::on_wake(request_row& row, time_point now, command_list& out)
{
    const time_point due = next_wake_time(row);
    if (due > now) {
        set_wake(row, due);
        return;
    }
    switch (row.phase) {
    case request_phase::queued: {
        if (!row.late && !row.head_delivered && now >= row.start_by && now < row.queue_until) {
            queue_as_late(row);
            return;
        }
        if (row.head_delivered || row.may_have_run) {
            finish_failed(row,
                          {error_kind::unavailable,
                           "its backend server was lost and no other was "
                           "free in time",
                           "send it again"},
                          now, out);
            return;
        }
        ++counters.refused_late;
        const double wait_s = pools.at(row.terms.pool).service_s;
        finish_refuse(row,
                      {error_kind::overloaded, "no place became free before its deadline",
                       "come back after the time in Retry-After"},
                      ran_state::no, retry_after(wait_s), now, out);
        return;
    }
    case request_phase::sending:
        if (now >= row.deadline) {
            row.may_have_run = row.may_have_run || row.attempt.sent;
            if (now - row.attempt.started > head_timeout(row)) {
                pools.at(row.terms.pool).limit.note_overload();
                note_failure(targets.at(row.attempt.target).health);
            }
            cancel(row, cancel_reason::out_of_time, now, out);
            finish_failed(row,
                          {error_kind::deadline_exceeded, "no answer before its deadline",
                           "send it again with more time"},
                          now, out);
            return;
        }
        move_or_hold(row, row.deadline, now, out);
        return;
    case request_phase::answering:
        if (now >= row.answer_deadline) {
            note_answer_ended(row, end_of_answer::out_of_time, now);
            cancel(row, cancel_reason::out_of_time, now, out);
            row.may_have_run = true;
            finish_failed(row,
                          {error_kind::deadline_exceeded,
                           "the answer took longer than the route's "
                           "longest_stream",
                           "ask for less, or raise longest_stream in routes.toml"},
                          now, out);
            return;
        }
        if (now >= silence_deadline(row)) {
            cancel(row, cancel_reason::stalled, now, out);
            end_attempt(row, attempt_failure::stalled, attempt_end::failed, now, out);
            return;
        }
        move_or_hold(row, silence_deadline(row), now, out);
        return;
    case request_phase::awaiting_retry:
        on_retry_due(row, now, out);
        return;
    case request_phase::querying_key:
        finish_refuse(row,
                      {error_kind::unavailable, "the record can't be read now",
                       "ask again with the same key"},
                      ran_state::unknown, std::chrono::seconds{2}, now, out);
        return;
    case request_phase::claiming:
        return; // the claim manager handles its deadline
    }
}

} // namespace jaynotch
