// From arrival to the queue: routing, early refusal of requests that can't be served in time, and
// claims of keyed requests.
//
// Early refusal precedes the claim, so overload puts no load on the key-value service. The claim
// precedes the queue, so a repeat is answered from its record without using the pool's capacity.
#include "routing/modelled_pick.h"
#include "routing/request_state.h"
#include "routing/server_memory.h"

namespace jaynotch {

namespace {

constexpr std::size_t max_key_bytes = 256;
constexpr std::chrono::seconds no_target_retry{2};
constexpr std::chrono::seconds store_unavailable_retry{2};
constexpr std::chrono::seconds in_progress_retry{1};
constexpr std::chrono::seconds full_retry{5};

/// Cost of a request in fair queueing. An engine's work is mostly the tokens that it generates; a
/// prompt token costs about an eighth of one, since prompts are processed in parallel.
double cost_of(const request_info& info)
{
    constexpr double prompt_part = 0.125;
    constexpr double unit_tokens = 256.0;
    constexpr double least = 0.1;
    constexpr double most = 64.0;
    if (info.kind == request_kind::plain)
        return 1.0;
    const double tokens = prompt_part * info.prompt_tokens + info.answer_tokens;
    return std::clamp(tokens / unit_tokens, least, most);
}

/// How long callers wait for the first event of a stream: at least 2 s, and longer on routes with
/// longer latency targets (4 times the first event's target, 8 times the target between events).
duration first_event_timeout(const route& taken)
{
    constexpr std::chrono::milliseconds least{2'000};
    return std::max({least, 4 * taken.first_target, 8 * taken.gap_target});
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string describe(const request_info& info)
{
    if (info.kind == request_kind::plain)
        return info.method + " " + info.path;
    return std::string{to_name(info.kind)} + " with model \"" + info.model + "\"";
}

} // namespace

/// Determines the request's workspace from its key, if the tables define workspace keys; false if
/// the request was refused.
bool request_core::state::authenticate(request_info& info, const route& taken,
                                       std::optional<priority_class>& priority, command_list& out)
{
    if (!workspaces_by_key)
        return true;
    info.workspace = workspace_id{};
    // A caller without a key has no workspace, even if the tables contain an empty key.
    const auto known = info.credential.empty() ? workspaces_by_key->end()
                                               : workspaces_by_key->find(info.credential);
    if (known != workspaces_by_key->end()) {
        info.workspace = known->second.name;
        priority = known->second.priority;
        return true;
    }
    if (taken.open)
        return true;
    refuse_untracked(info.id,
                     {error_kind::unauthorized, "the request bears no key of a workspace",
                      "send a key that is in force"},
                     std::nullopt, out);
    return false;
}

/// Picks one of the route's services at random by weight and returns its pool; size() if it has
/// none. A service of weight 0 is never picked.
pool_index request_core::state::choose_pool(const route& taken, const request_info& info)
{
    if (taken.backends.empty())
        return pools.find(taken.pool);
    double sum = 0.0;
    for (const backend_share& backend : taken.backends)
        sum += backend.weight;
    double left = random.unit() * sum;
    const backend_share* chosen = nullptr;
    for (const backend_share& backend : taken.backends) {
        if (backend.weight <= 0.0)
            continue;
        chosen = &backend;
        left -= backend.weight;
        if (left < 0.0)
            break;
    }
    if (chosen == nullptr)
        return pools.size();
    return pools.find_for_service(chosen->service, info.model);
}

bool request_core::state::refuse_unroutable(const request_info& info, const route* taken,
                                            pool_index index, time_point now, command_list& out)
{
    const auto refuse_with = [&](error_kind kind, std::string message, std::string remedy,
                                 std::optional<std::chrono::milliseconds> after = std::nullopt) {
        refuse_untracked(info.id, {kind, std::move(message), std::move(remedy)}, after, out);
        return true;
    };
    if (requests.contains(info.id))
        return true; // duplicate id, a bug in the shell: the first request gets the only answer
    if (requests.size() >= settings.max_requests)
        return refuse_with(error_kind::overloaded, "this entry VM holds as many requests as it may",
                           "come back after the time in Retry-After", full_retry);
    if (taken == nullptr)
        return refuse_with(error_kind::not_found, "no route takes " + describe(info),
                           "check the name or path, or add a row to routes.toml");
    // The service has no pool for this model; a later configuration may add one, hence a retry.
    if (index == pools.size() && !taken->backends.empty())
        return refuse_with(error_kind::unavailable,
                           "route " + taken->name.value() +
                               " leads to nothing that serves model \"" + info.model + "\"",
                           "come back after the time in Retry-After", no_target_retry);
    if (index == pools.size() || !pools.at(index).present)
        return refuse_with(error_kind::not_found,
                           "route " + taken->name.value() + " names a pool that does not exist",
                           "add pool " + taken->pool.value() + " to pools.toml");
    if (exceeds_any_replica(pools.at(index).info, info.prompt_tokens))
        return refuse_with(error_kind::unavailable,
                           "its prompt exceeds the memory of each backend server, " +
                               std::to_string(pools.at(index).info.memory_tokens) + " tokens",
                           "send a shorter prompt");
    if (info.deadline && *info.deadline <= now)
        return refuse_with(error_kind::deadline_exceeded, "the deadline had passed on arrival",
                           "send it with a later deadline");
    if (pools.at(index).usable_targets == 0 && !detours_on_arrival(info, pools.at(index), now))
        return refuse_with(error_kind::unavailable,
                           "pool " + taken->pool.value() + " has nothing complete to serve it",
                           "come back after the time in Retry-After", no_target_retry);
    if (!info.relayed && pools.at(index).reach.lost_for_all() &&
        !detours_on_arrival(info, pools.at(index), now))
        return refuse_with(
            error_kind::unavailable, "no node reaches a backend server that could run it",
            "come back after the time in Retry-After", retry_after(lost_servers_return_s));
    if (info.idempotency_key.size() > max_key_bytes)
        return refuse_with(error_kind::invalid_argument, "the idempotency key is too long",
                           "use a key of at most 256 bytes");
    if (taken->repeat == repeat_policy::keyed && !info.idempotency_key.empty() &&
        info.body_digest.empty())
        return refuse_with(error_kind::too_large, "the body of a keyed call is too large to check",
                           "send a smaller body");
    return false;
}

void request_core::state::arrive(const request_info& asked, time_point now, command_list& out)
{
    ++counters.arrived;
    request_info info = asked;
    const route* taken = routes.find(info);
    std::optional<priority_class> own_priority;
    if (taken != nullptr && !authenticate(info, *taken, own_priority, out))
        return;
    const pool_index index = taken == nullptr ? pools.size() : choose_pool(*taken, info);
    if (refuse_unroutable(info, taken, index, now, out))
        return;
    if (info.relayed && refuse_relayed(info, pools.at(index), out))
        return;
    if (refuse_overload(info, pools.at(index), out))
        return;
    request_row& row = requests[info.id];
    row.info = std::move(info);
    row.phase = request_phase::claiming;
    row.arrived = now;
    if (row.info.relayed) {
        ++counters.relayed;
        ++relayed_open;
        row.servers_used = row.info.relayed->servers_used;
        row.attempt_count = row.info.relayed->first_attempt ? 0 : 1;
    }
    row.terms.pool = index;
    ++pools.at(row.terms.pool).requests;
    row.terms.route = taken->name.value();
    row.terms.first_target = taken->first_target;
    row.terms.gap_target = taken->gap_target;
    row.terms.adapter = taken->adapter;
    row.terms.priority = own_priority.value_or(taken->priority);
    row.terms.repeat = taken->repeat;
    row.terms.retries = taken->retries;
    row.terms.timeout = taken->timeout;
    row.terms.longest_stream = taken->longest_stream;
    row.terms.key_keeping = taken->key_keeping;
    row.terms.retry_server_errors = taken->retry_server_errors;
    row.terms.most_servers = taken->most_servers;
    const bool engine_stream = row.info.kind != request_kind::plain && row.info.stream;
    const bool may_resume = settings.mechanisms.has(mechanism::resumption);
    row.terms.resumable = (may_resume && taken->resumable) ||
                          (engine_stream && taken->repeat == repeat_policy::idempotent);
    row.info.stream = row.info.stream || taken->streaming;
    row.start_by = latest_start(row, now);
    row.deadline = now + taken->timeout;
    if (row.info.deadline)
        row.deadline = std::min(row.deadline, *row.info.deadline);
    row.answer_deadline = row.deadline + taken->longest_stream;
    if (taken->streaming)
        row.deadline = std::min(row.deadline, now + first_event_timeout(*taken));
    row.late = is_returning_caller(row, now);
    row.queue_until = now + (row.deadline - now) / 2;
    row.wake = row.deadline;
    if (refuse_before_stop(row, now, out))
        return;
    limit_to_stop(row);
    row.keyed = taken->repeat == repeat_policy::keyed && !row.info.idempotency_key.empty();

    if (refuse_blocked(row, now, out))
        return;
    if (detours_on_arrival(row.info, pools.at(index), now) && send_through_node(row, now, out))
        return;
    const bool keyed = std::exchange(row.keyed, false); // no claim has been made yet
    if (refuse_limited(row, now, out) || refuse_early(row, now, out))
        return;
    row.keyed = keyed;
    if (row.keyed)
        begin_claim(row, now, out);
    else
        enqueue(row, now, out);
}

/// The latest dispatch that still meets the route's target for the first event. The prediction
/// assumes full groups, since requests wait only if the groups are full.
time_point request_core::state::latest_start(const request_row& row, time_point now) const
{
    const duration first_target = row.terms.first_target;
    if (first_target.count() == 0)
        return time_point::max();
    const pool_row& pool = pools.at(row.terms.pool);
    if (!pool.modelled())
        return now + first_target;
    const double first_ms =
        first_event_ms_when_full(targets, pool.view, pool.info, row.info.prompt_tokens);
    const std::chrono::duration<double, std::milli> first{first_ms};
    return now + first_target - std::chrono::duration_cast<duration>(first);
}

/// Whether the caller is likely to have been refused before, in which case the latency target for
/// the first event has already been missed. With newest-first queueing the request would be served
/// before requests that can still be in time; those would be refused and return in turn, so that
/// under overload no request would be in time.
bool request_core::state::is_returning_caller(const request_row& row, time_point now)
{
    const bool has_target = row.terms.first_target.count() > 0 && row.info.deadline;
    if (!has_target || !pools.at(row.terms.pool).modelled())
        return false;
    constexpr double ms_in_second = 1000.0;
    const double left_ms = ms_in_second * seconds(*row.info.deadline - now);
    caller_timeout_estimate& estimate = caller_timeouts_by_route[row.terms.route];
    const bool returning = estimate.is_returning(left_ms);
    estimate.note(left_ms);
    return returning && settings.mechanisms.has(mechanism::returning_gives_way);
}

bool request_core::state::refuse_early(request_row& row, time_point now, command_list& out)
{
    if (!settings.admission)
        return false;
    const pool_row& pool = pools.at(row.terms.pool);
    const flow_key flow = flow_of(row);
    const double weight = pool.weight_of(row.info.workspace, row.terms.priority);
    const double wait_s = pool.estimated_wait_s(flow, weight);
    const double left_s = seconds(row.deadline - now) - pool.limit.first_token_s();
    if (wait_s <= max_queued_fraction * left_s)
        return false;
    ++counters.refused_early;
    finish_refuse(row,
                  {error_kind::overloaded, "it would wait past its deadline",
                   "come back after the time in Retry-After"},
                  ran_state::no, retry_after(wait_s), now, out);
    return true;
}

void request_core::state::begin_claim(request_row& row, time_point now, command_list& out)
{
    const time_point wait_until = std::min(row.deadline, now + settings.max_repeat_wait);
    const std::string key = claim_key(deployment, row.info.workspace, row.info.idempotency_key);
    if (claims.begin(row.info.id, key, row.info.body_digest, row.terms.key_keeping, wait_until,
                     now))
        return;
    row.keyed = false;
    finish_refuse(row,
                  {error_kind::overloaded, "too many keyed calls wait for their claims",
                   "come back after the time in Retry-After"},
                  ran_state::no, full_retry, now, out);
}

void request_core::state::enqueue(request_row& row, time_point now, command_list& out)
{
    pool_row& pool = pools.at(row.terms.pool);
    if (!settings.admission) {
        row.phase = request_phase::sending;
        if (try_send(row, now, out))
            return;
        finish_refuse(row, {error_kind::unavailable, "no target can be picked", "come back later"},
                      ran_state::no, no_target_retry, now, out);
        return;
    }
    const double weight = pool.weight_of(row.info.workspace, row.terms.priority);
    // If all groups are full, first-come-first-served would make every request wait for as long as
    // its latency target allows and then begin too late. With newest first, the requests that are
    // served are in time.
    const bool newest_first = pool.modelled() && settings.mechanisms.has(mechanism::newest_first);
    const queue_end end = newest_first ? queue_end::front : queue_end::back;
    if (!pool.queue.push(flow_of(row), weight, {row.info.id, cost_of(row.info)}, end)) {
        finish_refuse(row,
                      {error_kind::overloaded, "the queue of this workspace is full",
                       "come back after the time in Retry-After"},
                      ran_state::no, full_retry, now, out);
        return;
    }
    row.phase = request_phase::queued;
    ++pool.use_of(row.info.workspace, peers).queued;
    const pool_index index = row.terms.pool;
    const request_id request = row.info.id;
    dispatch(index, now, out);
    const auto still = requests.find(request);
    if (still == requests.end() || still->second.phase != request_phase::queued)
        return;
    counters.held_from_cold += withholds_from_cold(pools.at(index)) ? 1 : 0;
    set_wake(still->second, next_wake_time(still->second));
}

void request_core::state::on_key_status_requested(const key_status_requested& requested,
                                                  time_point now, command_list& out)
{
    const std::string key = claim_key(deployment, requested.workspace, requested.idempotency_key);
    ++counters.arrived;
    if (requests.contains(requested.request))
        return;
    if (requests.size() >= settings.max_requests ||
        !claims.query_status(requested.request, key, now)) {
        refuse_untracked(requested.request,
                         {error_kind::overloaded, "too many questions wait", "ask again later"},
                         full_retry, out);
        return;
    }
    request_row& row = requests[requested.request];
    row.info.id = requested.request;
    row.phase = request_phase::querying_key;
    row.deadline = now + 3 * settings.kv_timeout; // another call may have to finish first
    set_wake(row, row.deadline);
}

void request_core::state::run_claims(time_point now, command_list& out)
{
    claims.pump(now, out);
    // A resolution may lead to others, for example if its claim passes to the next requester. Each
    // round resolves some requests, so the loop ends.
    for (std::vector<claim_resolution> resolved = claims.take_resolutions(); !resolved.empty();
         resolved = claims.take_resolutions())
    {
        for (const claim_resolution& each : resolved)
            on_claim_resolved(each, now, out);
        claims.pump(now, out);
    }
    counters.claim_transactions = claims.transactions();
}

void request_core::state::on_claim_resolved(const claim_resolution& resolution, time_point now,
                                            command_list& out)
{
    const request_id request =
        std::visit([](const auto& each) { return each.request; }, resolution);
    const auto found = requests.find(request);
    if (found == requests.end())
        return;
    request_row& row = found->second;
    // If the shell reuses an id, a claim's resolution must not end another request.
    const bool is_query = row.phase == request_phase::querying_key;
    const bool fits = is_query ? std::holds_alternative<claim_status_reported>(resolution) ||
                                     std::holds_alternative<claim_store_unavailable>(resolution)
                               : row.phase == request_phase::claiming &&
                                     !std::holds_alternative<claim_status_reported>(resolution);
    if (!fits) {
        claims.abandon(request, now);
        return;
    }
    ++counters.claims_resolved;
    struct visitor {
        state& core;
        request_row& row;
        time_point now;
        command_list& out;

        void refuse_with(error_kind kind, std::string message, std::string remedy, ran_state ran,
                         std::optional<std::chrono::seconds> after) const
        {
            row.keyed = false; // this request does not own the claim
            core.finish_refuse(row, {kind, std::move(message), std::move(remedy)}, ran, after, now,
                               out);
        }
        void operator()(const claim_granted& /*resolution*/) const { core.enqueue(row, now, out); }
        void operator()(const claim_replayed& replayed) const
        {
            core.finish_replay(row, replayed.answer, out);
        }
        void operator()(const claim_ran_without_answer& /*resolution*/) const
        {
            refuse_with(error_kind::too_large, "the call ran; its answer was too large to be kept",
                        "read its effect back from the service", ran_state::yes, std::nullopt);
        }
        void operator()(const claim_conflict& /*resolution*/) const
        {
            refuse_with(error_kind::conflict, "the key was used with another body",
                        "use a new key for a new call", ran_state::no, std::nullopt);
        }
        void operator()(const claim_unknown& /*resolution*/) const
        {
            refuse_with(error_kind::unknown_outcome,
                        "a call with this key was accepted and its outcome is not known",
                        "read its effect back from the service; a new key would repeat it",
                        ran_state::unknown, std::nullopt);
        }
        void operator()(const claim_in_progress& /*resolution*/) const
        {
            refuse_with(error_kind::unknown_outcome, "a call with this key is still on its way",
                        "ask again with the same key", ran_state::unknown, in_progress_retry);
        }
        void operator()(const claim_store_unavailable& /*resolution*/) const
        {
            if (row.phase == request_phase::querying_key) {
                core.finish_refuse(row,
                                   {error_kind::unavailable, "the record can't be read now",
                                    "ask again with the same key"},
                                   ran_state::unknown, store_unavailable_retry, now, out);
                return;
            }
            refuse_with(error_kind::unavailable,
                        "the key-value service gave no answer, so the call was not sent",
                        "come back after the time in Retry-After", ran_state::no,
                        store_unavailable_retry);
        }
        void operator()(const claim_status_reported& reported) const
        {
            core.finish_report(row, reported, out);
        }
    };
    std::visit(visitor{*this, row, now, out}, resolution);
}

} // namespace jaynotch
