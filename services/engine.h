// The model engine on a backend VM: its status reports and the orders it accepts.
//
//   engine_client engine{executor, "10.1.0.7:9000", std::chrono::seconds{1}};
//   result<engine_report> report = co_await engine.report();
//   result<void> assigned = co_await engine.assign(order);   // conflict: outdated order
//
// An order carries the fencing number of the group record that it is derived from. Orders are
// idempotent and may be sent again. Generation requests don't use this class; they go through
// http_client::open.
#pragma once

#include "base/base.h"
#include "http/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

enum class engine_state { idle, loading, ready, releasing, failed };

template <>
struct enum_names<engine_state> {
    static constexpr std::array entries{
        named{engine_state::idle, "idle"},     named{engine_state::loading, "loading"},
        named{engine_state::ready, "ready"},   named{engine_state::releasing, "releasing"},
        named{engine_state::failed, "failed"},
    };
};

/// The engine's report of its own state.
struct engine_report {
    vm_id vm;
    std::string boot; ///< changes with each start of the engine
    group_id group;   ///< empty if it is in no group
    fencing_number fencing;
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< the group's addresses, indexed by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    engine_state state = engine_state::idle;
    double progress = 0.0; ///< of loading the model, 0 to 1
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kv_used = 0.0; ///< used fraction of the KV cache, 0 to 1
    double step_ms = 0.0; ///< recent mean time between tokens
    bool leaving = false;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// Makes the engine a member of a group and loads the model and adapters that it lacks.
struct engine_order_assign {
    std::string order; ///< identifies the order in logs and when it is sent again
    fencing_number fencing;
    group_id group;
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< addresses, indexed by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
};

/// Removes the engine from its group after it has finished its running requests.
struct engine_order_release {
    std::string order;
    fencing_number fencing;
    group_id group;
};

enum class cache_change { stored, evicted };

template <>
struct enum_names<cache_change> {
    static constexpr std::array entries{
        named{cache_change::stored, "stored"},
        named{cache_change::evicted, "evicted"},
    };
};

/// A prefix was stored in or evicted from an engine's cache. Events arrive late and some are lost,
/// so they are hints only.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_change change = cache_change::stored;
    std::string prefix; ///< hexadecimal digest of the prefix's blocks

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

/// Load from the engine's metrics page, which lags behind its state.
struct engine_load {
    double running = 0.0;
    double waiting = 0.0;
    double kv_used = 0.0;
    double step_ms = 0.0;
};

result<engine_report> parse_engine_report(std::string_view body);
std::string render_engine_report(const engine_report& report);
result<engine_order_assign> parse_engine_assign(std::string_view body);
std::string render_engine_assign(const engine_order_assign& order);
result<engine_order_release> parse_engine_release(std::string_view body);
std::string render_engine_release(const engine_order_release& order);
result<std::vector<cache_event>> parse_cache_events(std::string_view body);
std::string render_cache_events(const std::vector<cache_event>& events);
/// Reads the load gauges of a page in the Prometheus text format and skips all other samples.
result<engine_load> parse_engine_metrics(std::string_view page);

/// Client of one engine's control calls.
class engine_client {
public:
    engine_client(const boost::asio::any_io_executor& executor, std::string address,
                  duration timeout);

    awaitable<result<engine_report>> report();
    /// Fails with `conflict` if the engine has seen a newer fencing number and rejects the order.
    awaitable<result<void>> assign(engine_order_assign order);
    awaitable<result<void>> release(engine_order_release order);
    /// Stops the generation of an attempt if it is running.
    awaitable<result<void>> cancel(attempt_id attempt);
    /// Cache events with sequence numbers above `after`.
    awaitable<result<std::vector<cache_event>>> cache_events(std::uint64_t after);
    awaitable<result<engine_load>> load();
    /// Asks the engine to fetch a prefix's KV cache from another engine.
    awaitable<result<void>> import_kv(std::string prefix, std::string from_address);
    [[nodiscard]] const std::string& address() const { return m_client.address(); }

private:
    awaitable<result<std::string>> get(std::string target);
    awaitable<result<void>> post(std::string target, std::string body);

    http_client m_client;
    duration m_timeout;
};

} // namespace jaynotch
