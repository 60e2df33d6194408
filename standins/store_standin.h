// Stand-ins for the users' platform: its store over HTTP, which holds the operators' configuration
// and the registry of servers, and runners that register there, form groups and answer requests.
//
//   auto store = store_standin::start(executor).value();
//   store->put("op/config", document);
//   auto runner = runner_standin::start(executor, store, {.id = "i-1", .domain = "d0"}).value();
//   runner->faults.mute = true;
//
// They use the platform's published wire formats. Loading a model takes a runner only 40 ms.
#pragma once

#include "outside/outside.h"
#include "standins/standin_server.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaynotch {

/// The platform's store.
class store_standin : public std::enable_shared_from_this<store_standin> {
public:
    static result<std::shared_ptr<store_standin>>
    start(const boost::asio::any_io_executor& executor);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Drops the history of changes and cuts the open watches. A later watch that starts at a
    /// dropped revision gets 410 (Gone) only at the end of its waiting time, as from the platform's
    /// store.
    void drop_history();
    /// Stops answering the watches that are open now, also when their waiting time ends; their
    /// connections stay open. Later watches are answered.
    void stall_watches() { ++m_watch_stalls; }
    /// Replaces the contents by `copy`, an earlier state of `store`: later writes and leases are
    /// gone, and revisions are given out again. Cuts the open watches.
    void restore(kv_store copy);
    /// Stated in all answers; rises with each restore(). 0: stated in none.
    std::int64_t era = 1;
    bool is_unavailable = false;    ///< answer each call with 503 without executing it
    bool withholds_changes = false; ///< report no changes to watches
    std::size_t calls = 0;          ///< calls received, of any kind
    shared_link link;               ///< all answers share it
    kv_store store;

private:
    explicit store_standin(boost::asio::any_io_executor executor) : m_executor{std::move(executor)}
    {}

    awaitable<void> handle(standin_exchange& exchange);
    awaitable<void> watch(standin_exchange& exchange);
    awaitable<void> transact(standin_exchange& exchange);
    awaitable<void> lease(standin_exchange& exchange);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<standin_server> m_server;
    std::int64_t m_dropped_revision = 0; ///< changes up to this revision are dropped
    std::size_t m_history_drops = 0;     ///< number of drop_history() calls
    std::size_t m_watch_stalls = 0;      ///< number of stall_watches() calls
};

class runner_standin;

/// The runners that can form groups with each other. Each runner checks the state of its group's
/// other members here and, on each order and request, two invariants: a runner joins no second
/// group while the first still serves, and only complete groups serve.
struct runner_fabric {
    std::map<std::string, std::weak_ptr<runner_standin>> runners;
    std::map<std::string, std::size_t> group_sizes{{"m", 2}}; ///< by model
    duration stall = std::chrono::seconds{1}; ///< time after which an incomplete group breaks
    std::vector<std::string> broken;          ///< descriptions of violated invariants, in order
    /// Loads take a tenth of their time until it is set, as before the platform's first request.
    bool traffic = true;
};

struct runner_standin_settings {
    std::string id;
    std::string service = "llm";
    std::string zone = "zone-a";       ///< failure domain
    std::string domain;                ///< fabric domain; empty for a plain server
    std::size_t events = 6;            ///< events in a stream
    std::chrono::milliseconds gap{10}; ///< time between the events of a stream
    std::chrono::milliseconds work{0}; ///< time that a plain server takes for a request
    std::chrono::milliseconds load{40};
    std::chrono::milliseconds warm_up{40}; ///< of a model that is staged on the host
    std::size_t slots = 0;                 ///< requests at once, others are refused; 0: any number
    std::shared_ptr<runner_fabric> fabric; ///< null: doesn't check other runners
};

/// Faults that a runner simulates.
struct runner_faults {
    bool mute = false;         ///< accept requests and orders but never answer
    bool refuse = false;       ///< answer that the request was not run
    bool fail = false;         ///< answer 500 after running the request
    bool cut = false;          ///< close the connection after running the request
    std::size_t cut_every = 0; ///< cut each request with this number or a multiple of it; 0: off
    bool foreign = false;      ///< send the response to another request first
    std::size_t padding = 0;   ///< additional bytes in each answer or event
    bool endless = false;      ///< send the body of a plain answer until the caller closes
    std::size_t cut_after = 0; ///< events after which a stream is cut; 0: off
    /// Text in the body or the list of prompt parts of requests under which the process ends, as it
    /// begins to answer; empty: off.
    std::string crash_on;
    /// Responses have neither a length nor chunks and end with their connection.
    bool unframed = false;
    /// Events after which an unframed stream ends inside an event; 0: off.
    std::size_t partial_after = 0;
    /// The request says in its query how its answer is broken off: `cut` bytes, head included, are
    /// sent, then the connection is closed, or with `reset` reset; `unframed` as above. Without
    /// `cut` the answer is whole.
    bool cut_by_query = false;
    /// Bytes of each answer, in place of a sound one; {id} in it is replaced by the request's id.
    /// The connection is closed behind it. Empty: off.
    std::string raw_answer;
    std::string limit;  ///< header Server-Limit: requests per second from all nodes together
    std::string pause;  ///< header Retry-After of refused requests, seconds; empty: none
    std::string report; ///< body of its reports; empty: a sound one
};

/// A request as received by a runner.
struct received_request {
    std::string attempt;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
    time_point at;                      ///< time of arrival
    std::chrono::milliseconds pause{0}; ///< that its refusal asked for
};

/// A server of the platform: a plain one, or a member of groups that serve a model.
class runner_standin : public std::enable_shared_from_this<runner_standin> {
public:
    static result<std::shared_ptr<runner_standin>>
    start(const boost::asio::any_io_executor& executor, std::shared_ptr<store_standin> store,
          runner_standin_settings settings);

    runner_faults faults;
    std::vector<received_request> arrived; ///< all requests, also those refused
    std::vector<received_request> ran;     ///< requests run, whatever response was sent
    std::size_t head_bytes = 0;            ///< of its last answer that was broken off by query
    std::vector<std::string> orders;       ///< bodies of the orders received
    [[nodiscard]] bool open() const { return m_phase == member_phase::open; }
    [[nodiscard]] const std::string& id() const { return m_settings.id; }
    [[nodiscard]] const runner_standin_settings& settings() const { return m_settings; }
    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    /// Changes the address in its registry entry, for example to that of a proxy in front of it.
    void advertise_address(std::string address);
    /// Writes its registry entry.
    void publish();
    /// Removes its registry entry and serves on.
    void unregister();
    /// Changes its state in the registry to draining and says so in all its answers.
    void drain();
    /// Says in all its answers that it leaves, without a word in the registry.
    void leave_unregistered() { m_leaving = true; }
    [[nodiscard]] bool leaving() const { return m_leaving; }
    /// Is cold for `left` from now on, by its entry; its heartbeats keep that up to date.
    void set_cold(duration left);
    /// Simulates a process that is stopped for `time` and then goes on: connections stay open, and
    /// nothing is read or written. The group of a paused member stands still.
    void pause(duration time) { m_paused_until = runtime_clock::now() + time; }
    /// Simulates the end of its process: cuts all connections and removes its registry entry.
    void stop();
    /// Like stop(), but its registry entry stays.
    void crash();
    [[nodiscard]] bool alive() const { return m_alive; }

private:
    runner_standin(boost::asio::any_io_executor executor, std::shared_ptr<store_standin> store,
                   runner_standin_settings settings)
        : m_executor{std::move(executor)}, m_store{std::move(store)}, m_settings{
                                                                          std::move(settings)}
    {}

    awaitable<void> handle(standin_exchange& exchange);
    awaitable<void> handle_order(standin_exchange& exchange);
    /// Runs a request as the faults demand.
    awaitable<void> run(standin_exchange& exchange, received_request received);
    /// Answers that the request was not run.
    static awaitable<void> refuse(standin_exchange& exchange);
    [[nodiscard]] bool paused() const { return runtime_clock::now() < m_paused_until; }
    awaitable<void> wait_while_paused();
    /// Loads the model and becomes ready, unless a newer order arrives meanwhile.
    awaitable<void> join(std::string group, std::int64_t epoch, std::string model);
    /// Sets the headers common to all responses; returns the attempt id.
    std::string set_answer_headers(standin_exchange& exchange) const;
    awaitable<void> fail(standin_exchange& exchange);
    /// Answers as a plain server.
    awaitable<void> answer(standin_exchange& exchange);
    /// Streams the events that follow Last-Event-Id.
    awaitable<void> stream(standin_exchange& exchange);
    /// Waits until the group is complete; false if this runner left it or it broke.
    awaitable<bool> wait_for_members();
    boost::beast::http::status execute_order(const std::string& op,
                                             const boost::json::object& order);
    boost::beast::http::status execute_join(const boost::json::object& order);
    /// Whether all members are alive and in this group.
    [[nodiscard]] bool group_complete() const;
    /// Records a violation if the group that this runner leaves still serves.
    void check_join(const std::string& group) const;
    /// Records a violation if the group has the wrong size or a live member was never ready in it.
    void check_serving() const;
    /// Whether the request is one of those under which the process ends.
    [[nodiscard]] bool crashes_on(const standin_exchange& exchange) const;
    /// Its registry entry.
    [[nodiscard]] boost::json::object description() const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<store_standin> m_store;
    runner_standin_settings m_settings;
    std::shared_ptr<standin_server> m_server;
    std::string m_advertised_address; ///< empty: that of m_server
    time_point m_paused_until;
    bool m_alive = true;
    std::int64_t m_highest_fence = 0;
    std::int64_t m_highest_epoch = 0;
    std::int64_t m_accepted_orders = 0; ///< reported as "seq"
    std::vector<std::string> m_members;
    /// Groups and epochs in which this runner became ready.
    std::set<std::pair<std::string, std::int64_t>> m_ready_groups;
    std::string m_state = "ready";
    bool m_leaving = false;
    time_point m_cold_until;
    std::string m_group;
    std::int64_t m_epoch = 0;
    std::int64_t m_rank = 0;
    std::string m_model;
    std::string m_staged; ///< model whose weights are staged
    member_phase m_phase = member_phase::joining;
    std::size_t m_running = 0; ///< requests
};

} // namespace jaynotch
