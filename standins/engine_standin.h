// Stand-in for the model engine on one backend VM.
//
//   auto engine = engine_standin::start(executor, {.vm = vm_id{"vm-1"}}, directory);
//   engine.value()->apply({.straggle = 3.0});
//
// It loads weights from the weight store and executes orders, with or without checking their
// fencing numbers. The member of rank 0 serves the OpenAI API for its group; the response text is
// deterministic, so the caller can verify it (load/answer_text.h). Each step of the batch needs
// every member of the group: a paused member stalls the group, a straggler slows it down, and a
// member that died or left aborts the group's responses.
//
// GET /control/executions lists every request that ran here, for the invariant checks. `partial` is
// set if a step of the request ran without all members.
#pragma once

#include "services/services.h"
#include "standins/engine_batch.h"
#include "standins/faults.h"
#include "standins/prefix_cache.h"
#include "standins/standin_server.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaynotch {

struct engine_standin_settings {
    vm_id vm{"vm-1"};
    std::string listen = "127.0.0.1:0";
    std::string weight_store; ///< "IP:port"; if empty, loading takes load_time
    duration load_time = std::chrono::milliseconds{50};
    bool check_fencing = true; ///< reject orders with an old fencing number
    duration load_lag = std::chrono::milliseconds{200}; ///< maximum age of the values in /metrics
    batch_settings batch;
    prefix_cache_settings cache;
};

/// A request that an engine executed.
struct engine_execution {
    std::string attempt;
    std::string digest; ///< of the request body
    group_id group;
    fencing_number fencing;
    std::uint32_t tokens = 0; ///< output tokens sent by this engine
    bool finished = false;    ///< the complete response was sent
    bool partial = false;     ///< a member was missing in at least one step
    time_point start_time;
};

class engine_standin;

/// The engines of this process by address. Group members in one process check each other directly,
/// without a connection.
class engine_directory {
public:
    void add(const std::shared_ptr<engine_standin>& engine);
    /// Adds a further address of an engine, such as that of a proxy in front of it.
    void add_alias(const std::string& address, const std::shared_ptr<engine_standin>& engine);
    [[nodiscard]] std::shared_ptr<engine_standin> find(const std::string& address) const;

private:
    std::unordered_map<std::string, std::weak_ptr<engine_standin>> m_engines;
};

/// State of a group as seen by its member of rank 0; larger values are worse.
enum class group_health {
    complete, ///< every member is ready in this group with the same member list
    stalled,  ///< a member is paused or does not answer
    broken,   ///< a member is dead, not ready or in another group
};

class engine_standin : public std::enable_shared_from_this<engine_standin> {
public:
    static result<std::shared_ptr<engine_standin>>
    start(const boost::asio::any_io_executor& executor, const engine_standin_settings& settings,
          std::shared_ptr<engine_directory> directory);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    [[nodiscard]] const vm_id& vm() const { return m_settings.vm; }
    [[nodiscard]] const fault_state& faults() const { return m_faults; }
    void apply(const fault_change& change);
    /// The status report, which may be false while the `claim_ready` fault is on.
    [[nodiscard]] engine_report report() const;
    [[nodiscard]] const std::vector<engine_execution>& executions() const { return m_executions; }
    /// Number of orders executed although a newer fencing number was known.
    [[nodiscard]] std::uint64_t stale_orders_taken() const { return m_stale_orders_taken; }

private:
    struct completion_call; // engine_serving.cc

    engine_standin(const boost::asio::any_io_executor& executor,
                   const engine_standin_settings& settings,
                   std::shared_ptr<engine_directory> directory);

    // Orders, reports and metrics (engine_standin.cc).
    awaitable<void> handle(standin_exchange& exchange);
    awaitable<bool> handle_control(standin_exchange& exchange);
    awaitable<void> handle_assign(standin_exchange& exchange);
    awaitable<void> handle_release(standin_exchange& exchange);
    /// Copies a block of the prefix cache from another engine.
    awaitable<void> import_kv(standin_exchange& exchange);
    /// Applies an assignment; starts loading unless this engine already serves the same one.
    void join(const engine_order_assign& order);
    /// Aborts all responses and returns to idle.
    void leave();
    /// Reads this member's part of the weights, with retries, and becomes ready.
    static awaitable<void> load(std::shared_ptr<engine_standin> self, std::uint64_t epoch);
    /// Waits until the batch is empty, then leaves the group.
    static awaitable<void> drain(std::shared_ptr<engine_standin> self, std::uint64_t epoch);
    /// Whether a newer fencing number than the order's is known.
    [[nodiscard]] bool is_stale(fencing_number order) const;
    [[nodiscard]] std::string render_executions() const;
    /// Load in Prometheus text format.
    [[nodiscard]] std::string render_metrics();
    /// Ends like a killed process: connections are reset, the batch is lost.
    void die();
    /// Starts like a new process: new boot id, no group, no fencing number, empty cache.
    void boot();

    // Serving (engine_serving.cc).
    awaitable<void> serve(standin_exchange& exchange, bool chat);
    /// Parses the request body; fails on malformed input.
    static result<completion_call> read_call(standin_exchange& exchange, bool chat);
    /// Adds the request to the batch and to the list of executions.
    result<void> add_to_batch(standin_exchange& exchange, completion_call& call);
    /// Whether it serves this model or adapter.
    [[nodiscard]] bool has_model(const std::string& name) const;
    /// Answers an error with the header that states that the request did not run.
    awaitable<void> refuse(standin_exchange& exchange, boost::beast::http::status status,
                           std::string refusal);
    /// Why this engine can't serve the request now; empty if it can.
    [[nodiscard]] std::string refusal_reason(standin_exchange& exchange) const;
    awaitable<void> answer_stream(standin_exchange& exchange, const completion_call& call);
    awaitable<void> answer_buffered(standin_exchange& exchange, const completion_call& call);
    /// Waits until the sequence has more than `above` tokens or ends; false if it was aborted or
    /// the client disconnected.
    awaitable<bool> wait_for_tokens(standin_exchange& exchange, batch_sequence& sequence,
                                    std::uint32_t above);
    /// Runs steps until the batch is empty or the group is broken.
    static awaitable<void> run_steps(std::shared_ptr<engine_standin> self);
    /// The worst health of all members. That of members in other processes is queried over the
    /// network and reused for members_health_ttl.
    awaitable<group_health> check_members();
    /// Whether a member's report matches this engine's group.
    [[nodiscard]] group_health check_report(const engine_report& member) const;
    [[nodiscard]] group_health check_local_member(const engine_standin& member) const;
    /// The largest `straggle` factor of the members in this process.
    [[nodiscard]] double slowest_member() const;

    boost::asio::any_io_executor m_executor;
    engine_standin_settings m_settings;
    std::shared_ptr<engine_directory> m_directory;
    std::shared_ptr<standin_server> m_server;
    fault_state m_faults;
    engine_batch m_batch;
    prefix_cache m_cache;
    std::vector<engine_execution> m_executions;

    std::string m_boot_id; ///< differs after each simulated restart
    std::uint64_t m_boot_count = 0;
    std::uint64_t m_epoch = 0; ///< incremented on each change of assignment; older coroutines stop
    group_id m_group;
    fencing_number m_fencing;
    std::uint32_t m_rank = 0;
    std::vector<std::string> m_members;
    std::string m_model;
    std::string m_version;
    std::vector<std::string> m_adapters;
    engine_state m_state = engine_state::idle;
    double m_progress = 0.0;
    double m_step_ms = 0.0;  ///< moving average of the duration of a step; 0: no step yet
    bool m_stepping = false; ///< run_steps() is running
    std::uint64_t m_stale_orders_taken = 0;
    engine_load m_sampled_load; ///< values of /metrics; refreshed after load_lag
    time_point m_load_sampled_at;
    time_point m_members_checked_at;
    group_health m_members_health = group_health::complete; ///< of members in other processes
};

} // namespace jaynotch
