// Stand-in of the users' platform: its store with the operators' configuration and the registry,
// over HTTP, and runners that register there, form groups and answer requests.
//
//   auto store = store_standin::start(executor).value();
//   store->put("op/config", document);
//   auto runner = runner_standin::start(executor, store, {.id = "i-1", .domain = "d0"}).value();
//   runner->faults.mute = true;
//
// It speaks the platform's published forms. Runners' times are short: a load takes 40 ms.
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

class store_standin : public std::enable_shared_from_this<store_standin> {
public:
    static result<std::shared_ptr<store_standin>>
    start(const boost::asio::any_io_executor& executor);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Forgets all changes so far and cuts the watches that wait. As the platform's store does, it
    /// tells a later watch from a forgotten revision so only when that call's waiting time is over.
    void drop_history();
    /// The watches that wait now are never answered, and their connections stay open.
    void stall_watches() { ++m_watch_stalls; }
    bool is_unavailable = false;    ///< answers every call with 503 and does nothing
    bool withholds_changes = false; ///< watches hear of no change
    std::size_t calls = 0;
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
    std::int64_t m_dropped_revision = 0; ///< changes up to this revision are no longer told
    std::size_t m_history_drops = 0;     ///< how often the history was dropped
    std::size_t m_watch_stalls = 0;      ///< how often the waiting watches were silenced
};

class runner_standin;

/// Runners that look at one another, as members of a group do, and check each order and request
/// against what must never be: a runner in two groups, a group that serves though it isn't whole.
struct runner_fabric {
    std::map<std::string, std::weak_ptr<runner_standin>> runners;
    std::size_t group_size = 2;
    duration stall = std::chrono::seconds{1}; ///< a head that misses a member breaks after this
    std::vector<std::string> broken;          ///< what must never be, as it happened
};

struct runner_standin_settings {
    std::string id;
    std::string service = "llm";
    std::string zone = "zone-a";
    std::string domain;     ///< empty for a plain server
    std::size_t events = 6; ///< of a stream
    std::chrono::milliseconds gap{10};
    std::shared_ptr<runner_fabric> fabric; ///< null: it looks at nobody
};

/// What a runner is made to do wrong.
struct runner_faults {
    bool mute = false;         ///< takes requests and orders and never answers
    bool refuse = false;       ///< says that it did not run the request
    bool fail = false;         ///< answers 500
    bool cut = false;          ///< ends the connection after it ran the request
    bool foreign = false;      ///< first sends the answer of another request
    std::size_t cut_after = 0; ///< events of a stream; 0: none
    std::string limit;         ///< that its answers name, requests a second of all nodes together
};

/// One request as a runner saw it.
struct received_request {
    std::string attempt;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
    time_point at; ///< when it arrived
};

class runner_standin : public std::enable_shared_from_this<runner_standin> {
public:
    static result<std::shared_ptr<runner_standin>>
    start(const boost::asio::any_io_executor& executor, std::shared_ptr<store_standin> store,
          runner_standin_settings settings);

    runner_faults faults;
    std::vector<received_request> ran;
    std::vector<std::string> orders; ///< their bodies
    [[nodiscard]] bool open() const { return m_phase == member_phase::open; }
    [[nodiscard]] const std::string& id() const { return m_settings.id; }
    [[nodiscard]] const runner_standin_settings& settings() const { return m_settings; }
    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    /// Registers another address, which leads here.
    void advertise_address(std::string address);
    void drain();
    /// Its process is gone: connections are cut and its entry goes.
    void stop();
    /// The same, but its entry stays until somebody takes it away.
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
    awaitable<void> join(std::string group, std::int64_t epoch, std::string model);
    /// Sets the headers that every answer bears; gives the attempt that it names.
    std::string set_answer_headers(standin_exchange& exchange) const;
    awaitable<void> fail(standin_exchange& exchange);
    awaitable<void> answer(standin_exchange& exchange);
    awaitable<void> stream(standin_exchange& exchange);
    awaitable<bool> wait_for_members();
    boost::beast::http::status execute_order(const std::string& op,
                                             const boost::json::object& order);
    boost::beast::http::status execute_join(const boost::json::object& order);
    [[nodiscard]] bool group_complete() const;
    void check_join(const std::string& group) const;
    void check_serving() const;
    [[nodiscard]] boost::json::object description() const;
    void publish();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<store_standin> m_store;
    runner_standin_settings m_settings;
    std::shared_ptr<standin_server> m_server;
    std::string m_advertised_address;
    bool m_alive = true;
    std::int64_t m_highest_fence = 0;
    std::int64_t m_highest_epoch = 0;
    std::int64_t m_accepted_orders = 0;
    std::vector<std::string> m_members;
    std::set<std::pair<std::string, std::int64_t>> m_ready_groups;
    std::string m_state = "ready";
    std::string m_group;
    std::int64_t m_epoch = 0;
    std::int64_t m_rank = 0;
    std::string m_model;
    std::string m_staged;
    member_phase m_phase = member_phase::joining;
};

} // namespace jaynotch
