// Test fixture: a discrete-event simulation of entry nodes, a key-value store, backend servers and
// callers, with faults drawn from a seeded generator. It records every execution on the backend
// servers and every final answer to a caller, so that tests can compare them.
#pragma once

#include "routing/core_fixture.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace jaynotch::testing {

/// Probability of each fault, 0..1.
struct fault_rates {
    double kv_reply_lost = 0.0;   ///< the transaction takes effect, its reply is lost
    double kv_request_lost = 0.0; ///< the transaction takes no effect
    double kv_delayed = 0.0;      ///< reported as failed, takes effect seconds later
    double connect_refused = 0.0;
    double did_not_run = 0.0; ///< the server refuses and reports that the call did not run
    double cut_before_run = 0.0;
    double cut_after_run = 0.0;
    double wrong_attempt_id = 0.0; ///< the answer carries another attempt's id
    double stalled = 0.0;          ///< the call runs without an answer
    double caller_leaves = 0.0;
    double node_pauses = 0.0; ///< for each request
    double node_dies = 0.0;   ///< for each request
};

/// A caller's request and what it received.
struct caller_record {
    std::string path;
    std::string key;
    std::string body;
    int finals = 0;
    bool completed = false;
    bool replayed = false;
    bool refused = false;
    ran_state ran = ran_state::unknown;
    error_kind kind = error_kind::internal;
    std::string answer; ///< body of a completed or replayed answer
    bool node_died = false;
};

class history_simulation {
public:
    history_simulation(std::uint64_t seed, fault_rates faults, int nodes);

    /// Schedules a call to `node` at time `at`.
    void call(duration at, int node, const std::string& path, const std::string& key,
              const std::string& body);
    /// The key-value store processes no calls from `from` to `to`; they fail.
    void store_outage(duration from, duration to);
    void run(duration until);

    std::vector<caller_record> callers;
    /// Number of executions by the caller's index, and by key.
    std::map<std::size_t, int> executions_by_caller;
    std::map<std::string, int> executions_by_key;
    std::map<std::string, std::string> answer_by_key; ///< of the last execution
    std::size_t kv_writes = 0;

private:
    struct timed {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const timed& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct node_row {
        std::unique_ptr<request_core> core;
        int boot = 0;
        time_point paused_until;
        std::map<request_id, std::size_t> caller_of;
        std::map<attempt_id, std::string> answer_of; ///< the server's answer to the attempt
        std::map<request_id, attempt_id> delivered;
        std::set<attempt_id> cancelled;
    };

    void schedule(duration after, std::function<void()> act);
    void boot(int node);
    /// Delivers an event to a node as soon as it is not paused, unless it has been restarted.
    void deliver_event(int node, int boot, event happened);
    void execute(int node, const command_list& commands);
    void carry_out(int node, const send_attempt& sent);
    void keep_ticking(int node, int boot_number);
    void connect(int node, int boot_number, const send_attempt& sent, std::size_t caller);
    void answer(int node, const send_attempt& sent, std::size_t caller);
    void carry_out(int node, const call_kv& call);
    void finish(int node, request_id request, const std::function<void(caller_record&)>& note);
    kv_outcome apply(const kv_transaction& transaction);
    duration random_delay(int low_ms, int high_ms);

    random_source m_random;
    fault_rates m_faults;
    time_point m_now{std::chrono::hours{1}};
    time_point m_start{std::chrono::hours{1}};
    std::uint64_t m_order = 0;
    std::priority_queue<timed> m_queue;
    std::vector<node_row> m_nodes;
    std::map<std::string, kv_entry> m_store;
    std::int64_t m_revision = 1;
    std::uint64_t m_next_request = 1;
    time_point m_dark_from;
    time_point m_dark_to;
};

inline history_simulation::history_simulation(std::uint64_t seed, fault_rates faults, int nodes)
    : m_random{seed}, m_faults{faults}, m_nodes(static_cast<std::size_t>(nodes))
{
    for (int node = 0; node < nodes; ++node)
        boot(node);
}

inline void history_simulation::schedule(duration after, std::function<void()> act)
{
    m_queue.push({m_now + after, m_order++, std::move(act)});
}

inline duration history_simulation::random_delay(int low_ms, int high_ms)
{
    return std::chrono::milliseconds{m_random.between(low_ms, high_ms)};
}

inline void history_simulation::boot(int node)
{
    node_row& row = m_nodes[static_cast<std::size_t>(node)];
    // Callers of the process that died get no answer.
    for (const auto& [request, caller] : row.caller_of)
        callers[caller].node_died = callers[caller].node_died || callers[caller].finals == 0;
    row = node_row{nullptr, row.boot + 1, m_now, {}, {}, {}, {}};
    core_settings settings = fixture::default_settings("entry-" + std::to_string(node));
    settings.incarnation = std::to_string(row.boot);
    settings.prefix_index_entries = 4;
    row.core = std::make_unique<request_core>(
        request_core::create(settings, random_source{m_random.bits()}, m_now).value());
    command_list out;
    row.core->handle(tables_installed{make_tables()}, m_now, out);
    keep_ticking(node, row.boot);
}

inline void history_simulation::keep_ticking(int node, int boot_number)
{
    if (m_nodes[static_cast<std::size_t>(node)].boot != boot_number)
        return;
    deliver_event(node, boot_number, tick{});
    schedule(std::chrono::milliseconds{20},
             [this, node, boot_number] { keep_ticking(node, boot_number); });
}

inline void history_simulation::deliver_event(int node, int boot_number, event happened)
{
    node_row& row = m_nodes[static_cast<std::size_t>(node)];
    if (row.boot != boot_number)
        return;
    if (m_now < row.paused_until) {
        schedule(row.paused_until - m_now,
                 [this, node, boot_number, happened = std::move(happened)] {
                     deliver_event(node, boot_number, happened);
                 });
        return;
    }
    command_list out;
    row.core->handle(happened, m_now, out);
    execute(node, out);
}

inline void history_simulation::execute(int node, const command_list& commands)
{
    node_row& row = m_nodes[static_cast<std::size_t>(node)];
    for (const command& each : commands) {
        if (const auto* sent = std::get_if<send_attempt>(&each))
            carry_out(node, *sent);
        else if (const auto* kv = std::get_if<call_kv>(&each))
            carry_out(node, *kv);
        else if (const auto* lease = std::get_if<grant_lease>(&each))
            schedule(random_delay(1, 3), [this, node, boot = row.boot, token = lease->token] {
                if (m_now >= m_dark_from && m_now < m_dark_to)
                    deliver_event(node, boot,
                                  lease_result{token, error{error_kind::unavailable, "", ""}});
                else
                    deliver_event(node, boot, lease_result{token, lease_id{9}});
            });
        else if (const auto* delivered = std::get_if<deliver>(&each))
            row.delivered[delivered->request] = delivered->attempt;
        else if (const auto* cancelled = std::get_if<cancel_attempt>(&each))
            row.cancelled.insert(cancelled->attempt);
        else if (const auto* completed = std::get_if<complete>(&each))
            finish(node, completed->request, [&](caller_record& record) {
                record.completed = true;
                record.answer = row.answer_of[row.delivered[completed->request]];
            });
        else if (const auto* replayed = std::get_if<replay>(&each))
            finish(node, replayed->request, [&](caller_record& record) {
                record.replayed = true;
                record.answer = replayed->answer.body;
            });
        else if (const auto* refused = std::get_if<refuse>(&each))
            finish(node, refused->request, [&](caller_record& record) {
                record.refused = true;
                record.ran = refused->ran;
                record.kind = refused->failure.kind;
            });
        else if (const auto* cut = std::get_if<end_truncated>(&each))
            finish(node, cut->request, [](caller_record&) {});
        else if (const auto* removed = std::get_if<forget>(&each))
            finish(node, removed->request, [](caller_record&) {});
    }
}

inline void history_simulation::finish(int node, request_id request,
                                       const std::function<void(caller_record&)>& note)
{
    node_row& row = m_nodes[static_cast<std::size_t>(node)];
    caller_record& record = callers[row.caller_of.at(request)];
    ++record.finals;
    note(record);
}

inline void history_simulation::call(duration at, int node, const std::string& path,
                                     const std::string& key, const std::string& body)
{
    const std::size_t caller = callers.size();
    callers.push_back({});
    callers.back().path = path;
    callers.back().key = key;
    callers.back().body = body;
    schedule(at - (m_now - m_start), [this, node, caller] {
        node_row& row = m_nodes[static_cast<std::size_t>(node)];
        const request_id request{m_next_request++};
        row.caller_of[request] = caller;
        request_info info;
        info.id = request;
        info.method = "POST";
        info.path = callers[caller].path;
        info.workspace = workspace_id{"farm"};
        info.idempotency_key = callers[caller].key;
        info.body_digest = callers[caller].body;
        deliver_event(node, row.boot, request_arrived{info});
        const int boot_number = row.boot;
        if (m_random.chance(m_faults.caller_leaves))
            schedule(random_delay(0, 60), [this, node, boot_number, request] {
                deliver_event(node, boot_number, caller_gone{request});
            });
        if (m_random.chance(m_faults.node_pauses))
            schedule(random_delay(0, 30), [this, node] {
                m_nodes[static_cast<std::size_t>(node)].paused_until =
                    m_now + random_delay(100, 15'000);
            });
        if (m_random.chance(m_faults.node_dies))
            schedule(random_delay(0, 30), [this, node] { boot(node); });
    });
}

inline void history_simulation::carry_out(int node, const send_attempt& sent)
{
    node_row& row = m_nodes[static_cast<std::size_t>(node)];
    const int boot_number = row.boot;
    const std::size_t caller = row.caller_of.at(sent.request);
    if (m_random.chance(m_faults.connect_refused)) {
        schedule(random_delay(0, 3), [this, node, boot_number, sent] {
            deliver_event(
                node, boot_number,
                attempt_failed{sent.request, sent.attempt, attempt_failure::not_connected});
        });
        return;
    }
    schedule(random_delay(0, 3),
             [this, node, boot_number, sent, caller] { connect(node, boot_number, sent, caller); });
}

inline void history_simulation::connect(int node, int boot_number, const send_attempt& sent,
                                        std::size_t caller)
{
    // The shell is part of the node: a paused or dead node does not connect.
    const node_row& row = m_nodes[static_cast<std::size_t>(node)];
    if (row.boot != boot_number || row.cancelled.contains(sent.attempt))
        return;
    if (m_now < row.paused_until) {
        schedule(row.paused_until - m_now, [this, node, boot_number, sent, caller] {
            connect(node, boot_number, sent, caller);
        });
        return;
    }
    deliver_event(node, boot_number, attempt_sent{sent.request, sent.attempt});
    schedule(random_delay(0, 20), [this, node, sent, caller] { answer(node, sent, caller); });
}

inline void history_simulation::answer(int node, const send_attempt& sent, std::size_t caller)
{
    const int boot_number = m_nodes[static_cast<std::size_t>(node)].boot;
    const auto fail = [&](attempt_failure reason) {
        schedule(random_delay(0, 5), [this, node, boot_number, sent, reason] {
            deliver_event(node, boot_number, attempt_failed{sent.request, sent.attempt, reason});
        });
    };
    if (m_random.chance(m_faults.cut_before_run))
        return fail(attempt_failure::cut);
    if (m_random.chance(m_faults.did_not_run)) {
        schedule(random_delay(0, 5), [this, node, boot_number, sent] {
            deliver_event(node, boot_number,
                          attempt_head{sent.request, sent.attempt, 409, sent.attempt, true, ""});
        });
        return;
    }
    // The call runs: recorded as an execution.
    const caller_record& asked = callers[caller];
    const std::string body =
        "answer to " + asked.body + " by attempt " + std::to_string(sent.attempt.value());
    ++executions_by_caller[caller];
    if (!asked.key.empty()) {
        ++executions_by_key[asked.key];
        answer_by_key[asked.key] = body;
    }
    if (m_random.chance(m_faults.cut_after_run))
        return fail(attempt_failure::cut);
    if (m_random.chance(m_faults.stalled))
        return;
    const bool wrong_attempt_id = m_random.chance(m_faults.wrong_attempt_id);
    schedule(random_delay(0, 30), [this, node, boot_number, sent, body, wrong_attempt_id] {
        const attempt_id named{sent.attempt.value() + (wrong_attempt_id ? 1 : 0)};
        m_nodes[static_cast<std::size_t>(node)].answer_of[sent.attempt] =
            wrong_attempt_id ? "answer to somebody else" : body;
        deliver_event(node, boot_number,
                      attempt_head{sent.request, sent.attempt, 200, named, false, ""});
        schedule(random_delay(0, 5), [this, node, boot_number, sent, body] {
            deliver_event(node, boot_number,
                          attempt_finished{sent.request, sent.attempt, true,
                                           stored_answer{200, "text/plain", body}});
        });
    });
}

inline void history_simulation::carry_out(int node, const call_kv& call)
{
    const int boot_number = m_nodes[static_cast<std::size_t>(node)].boot;
    const auto reply_error = [&] {
        schedule(std::chrono::milliseconds{300}, [this, node, boot_number, token = call.token] {
            deliver_event(node, boot_number,
                          kv_result{token, error{error_kind::unavailable, "", ""}});
        });
    };
    if (m_random.chance(m_faults.kv_request_lost))
        return reply_error();
    if (m_random.chance(m_faults.kv_delayed)) {
        schedule(random_delay(300, 6'000),
                 [this, transaction = call.transaction] { apply(transaction); });
        return reply_error();
    }
    const bool lost = m_random.chance(m_faults.kv_reply_lost);
    if (lost)
        reply_error();
    schedule(random_delay(1, 4), [this, node, boot_number, call, lost] {
        if (m_now >= m_dark_from && m_now < m_dark_to) {
            if (!lost)
                deliver_event(node, boot_number,
                              kv_result{call.token, error{error_kind::unavailable, "", ""}});
            return;
        }
        const kv_outcome outcome = apply(call.transaction);
        if (lost)
            return;
        schedule(random_delay(1, 4), [this, node, boot_number, token = call.token, outcome] {
            deliver_event(node, boot_number, kv_result{token, outcome});
        });
    });
}

inline kv_outcome history_simulation::apply(const kv_transaction& transaction)
{
    kv_outcome outcome;
    outcome.succeeded = true;
    for (const kv_compare& compare : transaction.compares) {
        const auto found = m_store.find(compare.key);
        const std::int64_t revision = found == m_store.end() ? 0 : found->second.mod_revision;
        outcome.succeeded = outcome.succeeded && revision == compare.mod_revision;
    }
    const auto& done = outcome.succeeded ? transaction.then : transaction.otherwise;
    bool writes = false;
    for (const kv_operation& operation : done)
        writes = writes || !std::holds_alternative<kv_get>(operation);
    m_revision += writes ? 1 : 0;
    kv_writes += writes ? 1 : 0;
    for (const kv_operation& operation : done) {
        if (const auto* put = std::get_if<kv_put>(&operation)) {
            kv_entry& entry = m_store[put->key];
            entry.key = put->key;
            entry.value = put->value;
            entry.mod_revision = m_revision;
            entry.create_revision = entry.create_revision == 0 ? m_revision : entry.create_revision;
        }
        else if (const auto* removed = std::get_if<kv_delete>(&operation))
            m_store.erase(removed->key);
        else if (const auto found = m_store.find(std::get<kv_get>(operation).key);
                 found != m_store.end())
            outcome.entries.push_back(found->second);
    }
    outcome.revision = m_revision;
    return outcome;
}

inline void history_simulation::store_outage(duration from, duration to)
{
    m_dark_from = m_start + from;
    m_dark_to = m_start + to;
}

inline void history_simulation::run(duration until)
{
    while (!m_queue.empty() && m_queue.top().at <= m_start + until) {
        const timed next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.act();
    }
}

} // namespace jaynotch::testing
