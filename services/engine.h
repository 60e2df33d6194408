// The model engine on a backend VM: what it reports and the orders that it takes.
//
//   engine_client engine{executor, "10.1.0.7:9000", std::chrono::seconds{1}};
//   result<engine_report> seen = co_await engine.report();
//   result<void> taken = co_await engine.assign(order);   // conflict: it knows a newer fencing
//
// Orders carry the fencing number of the record that they come from and may be sent again: the
// same order twice changes nothing. Requests for answers go through http_client (open).
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

/// What an engine says of itself.
struct engine_report {
    vm_id vm;
    std::string boot; ///< changes with each start of the engine
    group_id group;   ///< empty if it is in none
    fencing_number fencing;
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< addresses of the group by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    engine_state state = engine_state::idle;
    double progress = 0.0; ///< of loading, 0 to 1
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kv_used = 0.0; ///< of the KV cache's memory, 0 to 1
    double step_ms = 0.0; ///< mean time between tokens lately
    bool leaving = false;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// Makes the engine a member of a group and loads what it lacks.
struct engine_order_assign {
    std::string order; ///< identity of the order, for logs and repeats
    fencing_number fencing;
    group_id group;
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< addresses by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
};

/// Takes the engine out of its group once its answers are finished.
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

/// A prefix came into or left an engine's cache. Events come late and with gaps: a hint only.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_change change = cache_change::stored;
    std::string prefix; ///< hexadecimal digest of the prefix's blocks

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

/// Load as the engine's metrics page shows it, which lags.
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
/// Reads the gauges of a Prometheus text page that concern load; others are skipped.
result<engine_load> parse_engine_metrics(std::string_view page);

/// Client of one engine's control calls.
class engine_client {
public:
    engine_client(const boost::asio::any_io_executor& executor, std::string address,
                  duration timeout);

    awaitable<result<engine_report>> report();
    /// conflict: the engine knows a newer fencing number and did not take the order.
    awaitable<result<void>> assign(engine_order_assign order);
    awaitable<result<void>> release(engine_order_release order);
    /// Stops the generation of one attempt, if it runs.
    awaitable<result<void>> cancel(attempt_id attempt);
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
