// Stand-in of the model engine on one backend VM.
//
//   auto engine = engine_standin::start(executor, {.vm = vm_id{"vm-1"}}, directory);
//   engine.value()->apply({.straggle = 3.0});
//
// It loads from the weight store, takes orders with or without a look at their fencing numbers,
// and, as the member of rank 0, serves the OpenAI API for its group with text that the caller can
// check (load/answer_text.h). Each step of the batch needs every member: a paused one stalls the
// group, a straggler slows it, one that died or left aborts its answers.
//
// GET /control/executions lists every request that ran here, with `partial` set where a member was
// not in the group when the answer was finished: the account for the invariant checks.
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
    std::string weight_store; ///< "IP:port"; empty: loading takes load_time
    duration load_time = std::chrono::milliseconds{50};
    bool check_fencing = true; ///< refuse orders with an old fencing number
    duration load_lag = std::chrono::milliseconds{200}; ///< age of what /metrics shows
    batch_settings batch;
    prefix_cache_settings cache;
};

/// One request that an engine ran.
struct engine_execution {
    std::string attempt;
    std::string digest; ///< of the request's body
    group_id group;
    fencing_number fencing;
    std::uint32_t tokens = 0; ///< produced here
    bool finished = false;    ///< all of it was written out
    bool partial = false;     ///< a member was missing while it ran
    time_point start_time;
};

class engine_standin;

/// Engines of one process by address, so that members look at each other without a socket.
class engine_directory {
public:
    void add(const std::shared_ptr<engine_standin>& engine);
    /// Another address that leads to an engine.
    void add_alias(const std::string& address, const std::shared_ptr<engine_standin>& engine);
    [[nodiscard]] std::shared_ptr<engine_standin> find(const std::string& address) const;

private:
    std::unordered_map<std::string, std::weak_ptr<engine_standin>> m_engines;
};

/// How a group looks to its member of rank 0.
enum class group_health {
    complete, ///< every member is ready in this group with the same list of members
    stalled,  ///< a member does not answer
    broken,   ///< a member is gone, or in another group
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
    /// What it says of itself, lies included.
    [[nodiscard]] engine_report report() const;
    [[nodiscard]] const std::vector<engine_execution>& executions() const { return m_executions; }
    /// Orders that were taken although a newer fencing number had been seen.
    [[nodiscard]] std::uint64_t stale_orders_taken() const { return m_stale_orders_taken; }

private:
    struct completion_call; // engine_serving.cc

    engine_standin(const boost::asio::any_io_executor& executor,
                   const engine_standin_settings& settings,
                   std::shared_ptr<engine_directory> directory);

    // Orders and reports (engine_standin.cc).
    awaitable<void> handle(standin_exchange& exchange);
    awaitable<bool> handle_control(standin_exchange& exchange);
    awaitable<void> handle_assign(standin_exchange& exchange);
    awaitable<void> handle_release(standin_exchange& exchange);
    awaitable<void> import_kv(standin_exchange& exchange);
    void join(const engine_order_assign& order);
    void leave();
    static awaitable<void> load(std::shared_ptr<engine_standin> self, std::uint64_t epoch);
    static awaitable<void> drain(std::shared_ptr<engine_standin> self, std::uint64_t epoch);
    [[nodiscard]] bool stale(fencing_number order) const;
    [[nodiscard]] std::string render_executions() const;
    [[nodiscard]] std::string render_metrics();
    void die();
    void boot();

    // Serving (engine_serving.cc).
    awaitable<void> serve(standin_exchange& exchange, bool chat);
    static result<completion_call> read_call(standin_exchange& exchange, bool chat);
    result<void> begin(standin_exchange& exchange, completion_call& call);
    [[nodiscard]] bool has_model(const std::string& name) const;
    awaitable<void> refuse(standin_exchange& exchange, boost::beast::http::status status,
                           std::string refusal);
    [[nodiscard]] std::string refusal_reason(standin_exchange& exchange) const;
    awaitable<void> answer_stream(standin_exchange& exchange, const completion_call& call);
    awaitable<void> answer_buffered(standin_exchange& exchange, const completion_call& call);
    awaitable<bool> wait_for_tokens(standin_exchange& exchange, batch_sequence& sequence,
                                    std::uint32_t above);
    static awaitable<void> run_steps(std::shared_ptr<engine_standin> self);
    awaitable<group_health> check_members();
    [[nodiscard]] group_health check_report(const engine_report& member) const;
    [[nodiscard]] group_health check_local_member(const engine_standin& member) const;
    [[nodiscard]] double slowest_member() const;

    boost::asio::any_io_executor m_executor;
    engine_standin_settings m_settings;
    std::shared_ptr<engine_directory> m_directory;
    std::shared_ptr<standin_server> m_server;
    fault_state m_faults;
    engine_batch m_batch;
    prefix_cache m_cache;
    std::vector<engine_execution> m_executions;

    std::string m_boot_id;
    std::uint64_t m_boot_count = 0;
    std::uint64_t m_epoch = 0; ///< grows with each change of assignment; ends older coroutines
    group_id m_group;
    fencing_number m_fencing;
    std::uint32_t m_rank = 0;
    std::vector<std::string> m_members;
    std::string m_model;
    std::string m_version;
    std::vector<std::string> m_adapters;
    engine_state m_state = engine_state::idle;
    double m_progress = 0.0;
    double m_step_ms = 0.0;
    bool m_stepping = false;
    std::uint64_t m_stale_orders_taken = 0;
    engine_load m_sampled_load;
    time_point m_load_sampled_at;
    time_point m_members_checked_at;
    group_health m_members_health = group_health::complete;
};

} // namespace jaynotch
