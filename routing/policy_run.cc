// Discrete-event simulation: a single queue of timed actions drives all nodes and engines. Messages
// between them take one millisecond each way; load reports, gossip and cache events are delayed
// further.
#include "routing/policy_run.h"

#include "routing/policy_workload.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace jaynotch::policy {

namespace {

constexpr double one_way_s = 0.001;
constexpr double max_gap_s = 0.1; ///< mean time between tokens of a good response
constexpr double tick_s = 0.02;
constexpr std::uint32_t tokens_per_progress = 16;
/// Requests that arrive this close to the end of a run are not counted: they may not have ended.
constexpr double excluded_tail_s = 25.0;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double percentile(std::vector<double>& values, double part)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[at];
}

/// State of a request on the caller's side.
struct caller {
    double arrived_s = 0.0;
    double first_s = -1.0;
    int workspace = 0;
    request_info info;
    std::uint32_t tokens_emitted = 0;
    int resubmissions = 0;
};

class driver {
public:
    explicit driver(const run_options& options)
        : m_options{options}, m_random{options.seed}, m_load{options.seed + 1, options.groups}
    {
        for (int at = 0; at < options.groups; ++at) {
            engine_model model = options.engine;
            if (at < options.stragglers)
                model.slowness = 3.0;
            m_engines.emplace_back(model);
            m_stepping.push_back(false);
            m_dead.push_back(false);
        }
        for (int at = 0; at < options.nodes; ++at)
            m_cores.push_back(make_core(at));
    }

    run_report run()
    {
        schedule_arrivals();
        every(tick_s, [this] {
            for (int node = 0; node < m_options.nodes; ++node)
                dispatch(node, tick{});
        });
        every(0.5, [this] { report_loads(); });
        if (m_options.cache_events)
            every(1.0, [this] { publish_cache_events(); });
        if (m_options.lost_groups > 0)
            at(m_options.fault_at, [this] { lose_groups(); });
        while (!m_queue.empty() && m_queue.top().at_s <= m_options.seconds) {
            const timed next = m_queue.top();
            m_queue.pop();
            m_now_s = next.at_s;
            next.act();
        }
        return report();
    }

private:
    struct timed {
        double at_s = 0.0;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const timed& other) const
        {
            return at_s != other.at_s ? at_s > other.at_s : order > other.order;
        }
    };

    request_core make_core(int node)
    {
        core_settings settings;
        settings.node = node_id{"node-" + std::to_string(node)};
        settings.incarnation = "1";
        settings.pick = m_options.pick;
        settings.admission = m_options.admission;
        if (!m_options.adaptive)
            settings.mechanisms = mechanism_set::all_except({"adaptive_limit"}).value();
        settings.retry_budget = m_options.retry_budget;
        request_core made =
            request_core::create(settings, random_source{m_random.bits()}, now()).value();
        configuration tables;
        tables.deployment = "policy";
        route chat;
        chat.name = route_id{"chat"};
        chat.model = "m";
        chat.workspaces = {"*"};
        chat.pool = pool_id{"pool"};
        chat.timeout =
            std::chrono::milliseconds{static_cast<std::int64_t>(m_options.deadline_s * 1'000)};
        chat.retries = m_options.retries;
        tables.routes = {chat};
        pool engines;
        engines.name = pool_id{"pool"};
        engines.max_in_flight_per_replica = m_options.in_flight_per_group;
        tables.pools = {engines};
        command_list ignored;
        made.handle(tables_installed{tables}, now(), ignored);
        made.handle(groups_changed{alive()}, now(), ignored);
        return made;
    }

    std::vector<target> alive() const
    {
        std::vector<target> groups;
        for (int at = 0; at < m_options.groups; ++at) {
            if (m_dead[static_cast<std::size_t>(at)])
                continue;
            target made;
            made.id = target_id{"g" + std::to_string(at)};
            made.pool = pool_id{"pool"};
            made.version = "1";
            groups.push_back(made);
        }
        return groups;
    }

    [[nodiscard]] time_point now() const { return time_point{to_duration(1'000.0 + m_now_s)}; }

    void at(double when_s, std::function<void()> act)
    {
        m_queue.push({when_s, m_order++, std::move(act)});
    }

    void every(double interval_s, const std::function<void()>& act)
    {
        at(m_now_s + interval_s, [this, interval_s, act] {
            act();
            every(interval_s, act);
        });
    }

    void schedule_arrivals()
    {
        at(m_now_s + m_random.exponential(1.0 / m_options.offered), [this] {
            arrive();
            schedule_arrivals();
        });
    }

    void arrive()
    {
        const std::uint64_t id = ++m_next_request;
        const int node =
            static_cast<int>(m_random.index(static_cast<std::size_t>(m_options.nodes)));
        caller& made = m_callers[id];
        made.info = m_load.next(id);
        made.arrived_s = m_now_s;
        made.workspace = std::stoi(made.info.workspace.value().substr(3));
        m_counted += counts(made) ? 1 : 0;
        request_info seen = made.info;
        if (!m_options.use_prefixes)
            seen.prefix_blocks.clear();
        dispatch(node, request_arrived{std::move(seen)});
    }

    [[nodiscard]] bool counts(const caller& each) const
    {
        return each.arrived_s >= m_options.warm_up &&
               each.arrived_s < m_options.seconds - excluded_tail_s;
    }

    void dispatch(int node, const event& happened)
    {
        command_list out;
        m_cores[static_cast<std::size_t>(node)].handle(happened, now(), out);
        for (const command& each : out)
            execute(node, each);
    }

    void execute(int node, const command& each)
    {
        if (const auto* sent = std::get_if<send_attempt>(&each))
            send(node, *sent);
        else if (const auto* stopped = std::get_if<cancel_attempt>(&each))
            at(m_now_s + one_way_s, [this, stopped = *stopped] {
                m_engines[engine_of(stopped.attempt, stopped.target)].cancel(stopped.attempt);
            });
        else if (const auto* completed = std::get_if<complete>(&each))
            end(completed->request, true);
        else if (const auto* refused = std::get_if<refuse>(&each))
            end_refused(refused->request, refused->ran);
        else if (const auto* cut = std::get_if<end_truncated>(&each))
            end(cut->request, false);
        else if (const auto* shared = std::get_if<share_demand>(&each))
            at(m_now_s + 0.1, [this, node, rows = shared->rows] {
                for (int peer = 0; peer < m_options.nodes; ++peer) {
                    if (peer != node)
                        dispatch(peer, peer_demand_received{node_id{"node-" + std::to_string(node)},
                                                            rows});
                }
            });
    }

    [[nodiscard]] std::size_t engine_of(attempt_id attempt, const target_id& target) const
    {
        const auto moved = m_placements.find(attempt);
        if (moved != m_placements.end())
            return moved->second;
        return static_cast<std::size_t>(std::stoi(target.value().substr(1)));
    }

    void send(int node, const send_attempt& sent)
    {
        if (m_options.ideal_router)
            m_placements[sent.attempt] = best_engine(m_callers[sent.request.value()].info);
        const std::size_t index = engine_of(sent.attempt, sent.target);
        dispatch(node, attempt_sent{sent.request, sent.attempt});
        at(m_now_s + one_way_s, [this, node, sent, index] {
            if (m_dead[index])
                return;
            const caller& origin = m_callers[sent.request.value()];
            sequence added;
            added.node = node;
            added.request = sent.request;
            added.attempt = sent.attempt;
            added.priority = sent.priority;
            added.blocks = origin.info.prefix_blocks;
            added.answer_left = std::max(1U, origin.info.answer_tokens - origin.tokens_emitted);
            m_engines[index].add(std::move(added));
            step_if_idle(index);
        });
    }

    /// The engine with the longest actual match among those whose actual load is bounded, else the
    /// least loaded.
    std::size_t best_engine(const request_info& info) const
    {
        double mean = 0.0;
        for (std::size_t each = 0; each < m_engines.size(); ++each)
            mean += static_cast<double>(m_engines[each].load()) / m_options.groups;
        std::size_t best = 0;
        double best_score = -1e9;
        for (std::size_t each = 0; each < m_engines.size(); ++each) {
            if (m_dead[each])
                continue;
            const auto load = static_cast<double>(m_engines[each].load());
            const bool bounded = load <= 1.25 * mean + 2.0;
            const double score =
                (bounded ? 1'000.0 * m_engines[each].cache().matched_blocks(info.prefix_blocks)
                         : -1e6) -
                load;
            if (score > best_score) {
                best_score = score;
                best = each;
            }
        }
        return best;
    }

    void step_if_idle(std::size_t index)
    {
        if (m_stepping[index] || m_dead[index] || m_engines[index].idle())
            return;
        m_stepping[index] = true;
        const auto result = std::make_shared<step_result>(m_engines[index].step());
        at(m_now_s + result->took_s, [this, index, result] {
            m_stepping[index] = false;
            if (m_dead[index])
                return;
            deliver_step(index, *result);
            step_if_idle(index);
        });
    }

    void deliver_step(std::size_t index, const step_result& result)
    {
        for (const sequence& each : result.first_tokens)
            send_event(each, true, false);
        for (const sequence& each : m_engines[index].running()) {
            const auto found = m_callers.find(each.request.value());
            if (found == m_callers.end())
                continue;
            found->second.tokens_emitted =
                std::max(found->second.tokens_emitted, each.tokens_emitted);
            if (each.tokens_emitted > 0 && each.tokens_emitted % tokens_per_progress == 0)
                send_event(each, false, false);
        }
        for (const sequence& each : result.ended)
            send_event(each, false, true);
    }

    void send_event(const sequence& from, bool first, bool last)
    {
        at(m_now_s + one_way_s,
           [this, node = from.node, request = from.request, attempt = from.attempt, first, last] {
               if (first) {
                   const auto found = m_callers.find(request.value());
                   if (found != m_callers.end() && found->second.first_s < 0.0)
                       found->second.first_s = m_now_s;
                   dispatch(node, attempt_head{request, attempt, 200, attempt, false, "1"});
               }
               dispatch(node, attempt_progress{request, attempt, 1});
               if (last)
                   dispatch(node, attempt_finished{request, attempt, true, {}});
           });
    }

    void end_refused(request_id request, ran_state ran)
    {
        const auto found = m_callers.find(request.value());
        if (found == m_callers.end())
            return;
        if (resubmit(found->second))
            return;
        if (counts(found->second)) {
            (ran == ran_state::no ? m_refused : m_late) += 1;
            m_refused_after_s += m_now_s - found->second.arrived_s;
        }
        m_callers.erase(found);
    }

    /// Simulates a caller that retries at once: submits the same request under a new id.
    bool resubmit(const caller& failed)
    {
        if (failed.resubmissions >= m_options.client_retries)
            return false;
        const std::uint64_t id = ++m_next_request;
        caller again = failed;
        ++again.resubmissions;
        again.info.id = request_id{id};
        m_callers.erase(failed.info.id.value());
        m_callers[id] = again;
        at(m_now_s + one_way_s, [this, id] {
            const int node =
                static_cast<int>(m_random.index(static_cast<std::size_t>(m_options.nodes)));
            dispatch(node, request_arrived{m_callers[id].info});
        });
        return true;
    }

    void end(request_id request, bool completed)
    {
        const auto found = m_callers.find(request.value());
        if (found == m_callers.end())
            return;
        const caller& done = found->second;
        const double first_s = done.first_s - done.arrived_s;
        const double gap_s =
            (m_now_s - done.first_s) / std::max<double>(1.0, done.info.answer_tokens);
        const bool good = completed && first_s <= m_options.deadline_s && gap_s <= max_gap_s;
        if (completed)
            m_load.answered(request.value(), done.info.prefix_blocks);
        if (good)
            m_good_at.push_back(m_now_s);
        if (counts(done)) {
            m_good += good ? 1 : 0;
            m_late += good ? 0 : 1;
            m_first.push_back(first_s);
            m_gaps.push_back(gap_s);
            if (done.workspace > workspaces / 2)
                m_first_of_small.push_back(first_s);
        }
        m_callers.erase(found);
    }

    void report_loads()
    {
        for (std::size_t each = 0; each < m_engines.size(); ++each) {
            const target_load load = m_engines[each].report();
            const target_id id{"g" + std::to_string(each)};
            const auto lag = std::chrono::milliseconds{
                static_cast<std::int64_t>(m_options.report_lag_s * 1'000)};
            at(m_now_s + m_options.report_lag_s, [this, load, id, lag] {
                for (int node = 0; node < m_options.nodes; ++node)
                    dispatch(node, load_reported{id, load, lag});
            });
        }
    }

    void publish_cache_events()
    {
        for (std::size_t each = 0; each < m_engines.size(); ++each) {
            const auto events = m_engines[each].take_cache_events();
            if (m_random.chance(m_options.events_lost))
                continue;
            const target_id id{"g" + std::to_string(each)};
            at(m_now_s + m_options.events_lag_s, [this, events, id] {
                for (int node = 0; node < m_options.nodes; ++node)
                    dispatch(node, cache_events_received{id, events, false});
            });
        }
    }

    void lose_groups()
    {
        // The entry nodes are notified after half a second; until then the group is silent.
        constexpr double noticed_s = 0.5;
        for (int lost = 0; lost < m_options.lost_groups; ++lost) {
            const auto index = static_cast<std::size_t>(m_options.groups - 1 - lost);
            m_dead[index] = true;
            m_engines[index].clear();
            at(m_now_s + noticed_s, [this, index] {
                for (int node = 0; node < m_options.nodes; ++node) {
                    dispatch(node, group_broken{target_id{"g" + std::to_string(index)}});
                    dispatch(node, groups_changed{alive()});
                }
            });
        }
    }

    run_report report()
    {
        run_report made;
        const double measured_s = m_options.seconds - m_options.warm_up - excluded_tail_s;
        const double counted = std::max(1.0, static_cast<double>(m_counted));
        made.offered = counted / measured_s;
        made.goodput = static_cast<double>(m_good) / measured_s;
        made.refused = static_cast<double>(m_refused) / counted;
        made.late = static_cast<double>(m_late) / counted;
        made.refused_after_s = m_refused_after_s / std::max(1.0, double(m_refused + m_late));
        made.first_p50_s = percentile(m_first, 0.5);
        made.first_p95_s = percentile(m_first, 0.95);
        made.first_p99_s = percentile(m_first, 0.99);
        made.gap_p95_s = percentile(m_gaps, 0.95);
        made.small_workspaces_p95_s = percentile(m_first_of_small, 0.95);
        std::uint64_t blocks = 0;
        std::uint64_t held = 0;
        for (const engine& each : m_engines) {
            blocks += each.prompt_blocks;
            held += each.prompt_blocks_held;
        }
        made.hit_share = static_cast<double>(held) / std::max<double>(1.0, double(blocks));
        made.good_at_s = m_good_at;
        for (const request_core& core : m_cores) {
            made.retries += core.counters().retries;
            made.resumes += core.counters().resumes;
            made.ejections += core.counters().ejections;
        }
        return made;
    }

    run_options m_options;
    random_source m_random;
    workload m_load;
    double m_now_s = 0.0;
    std::uint64_t m_order = 0;
    std::uint64_t m_next_request = 0;
    std::priority_queue<timed> m_queue;
    std::vector<engine> m_engines;
    std::vector<bool> m_stepping;
    std::vector<bool> m_dead;
    std::vector<request_core> m_cores;
    std::unordered_map<std::uint64_t, caller> m_callers;
    std::map<attempt_id, std::size_t> m_placements; ///< by the ideal router
    std::uint64_t m_counted = 0;
    std::uint64_t m_good = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_late = 0;
    double m_refused_after_s = 0.0;
    std::vector<double> m_first;
    std::vector<double> m_first_of_small;
    std::vector<double> m_gaps;
    std::vector<double> m_good_at;
};

} // namespace

run_report run(const run_options& options)
{
    return driver{options}.run();
}

} // namespace jaynotch::policy
