// What the scripts of this review share: a store, servers and callers as the pages describe them,
// and daemons as separate processes. Blocking sockets and a thread for each connection: the scripts
// are small, and nothing here has to be fast.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit codes of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int unable = 2;

/// Milliseconds since the program started.
std::int64_t now_ms();
void sleep_ms(std::int64_t time);

/// The script's record: one line for each thing that was sent, answered or run.
class record {
public:
    static void open(const std::string& path);
    static void line(const std::string& text);
};

/// One HTTP message.
struct message {
    std::string start; ///< its first line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;

    [[nodiscard]] std::string field(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string query(std::string_view name) const;
    [[nodiscard]] int status() const;
};

/// A connected socket.
class stream {
public:
    explicit stream(int socket) : m_socket{socket} {}
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    static std::unique_ptr<stream> connect(const std::string& address);
    bool send(std::string_view bytes);
    /// Reads one message; `complete` is false if it did not come whole within the time.
    message read(milliseconds wait);
    /// Waits until the other end has closed the connection.
    void wait_for_end(milliseconds wait) const;
    void close_sending() const;

private:
    bool fill(clock::time_point until);
    int m_socket;
    std::string m_input;
};

using handler = std::function<void(const message& request, stream& from)>;

/// Accepts connections and calls the handler for each request. It lives as long as the process.
class server {
public:
    server(const std::string& ip, handler handle);
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    int m_listener = -1;
    std::string m_address;
};

std::string response(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                     const std::string& body);

/// The platform's store.
class store {
public:
    explicit store(const std::string& ip);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] std::string address() const;
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// While silent it accepts connections and requests and answers none, also not later.
    void set_silent(bool silent);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// A request that a server has run.
struct run {
    std::int64_t at_ms = 0;
    std::string id;
    message request;
};

/// A server of a plain service: registers itself, beats, answers.
class plain_server {
public:
    struct form {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 8;
        milliseconds work{5};
    };
    plain_server(store& registry, const std::string& ip, form chosen);
    ~plain_server();
    plain_server(const plain_server&) = delete;
    plain_server& operator=(const plain_server&) = delete;

    /// From now on it is cold for that long, and says so wherever it says anything.
    void set_cold(milliseconds time);
    /// Reports that it leaves, serves on for the time of a drain, and ends.
    void drain();
    [[nodiscard]] std::vector<run> runs() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t health_checks() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// A daemon, started as the deploy file says.
class node {
public:
    struct form {
        std::string name;
        std::string zone;
        std::string ip;
        std::string store;
        std::vector<std::string> seeds;
        std::string bounds; ///< further lines of the table
        bool first_start = true;
    };
    explicit node(const form& chosen);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    bool wait_ready(milliseconds wait) const;
    [[nodiscard]] std::string front() const { return m_ip + ":" + std::to_string(front_port); }
    [[nodiscard]] bool running();
    /// A planned stop: SIGTERM.
    void terminate() const;
    static std::string control_of(const std::string& ip);

private:
    static constexpr int front_port = 18227;
    static constexpr int ready_port = 18220;
    static constexpr int control_port = 18229;
    static constexpr int first_free_port = 17340;
    std::string m_ip;
    std::string m_folder;
    pid_t m_process = -1;
};

/// The address `host` of this run's own part of the loopback network.
std::string own_ip(int host);

/// A route, for configuration().
std::string route(const std::string& name, const std::string& kind, const std::string& service);

/// A configuration with the routes /order/ and /read/ to the service `app`, further routes and
/// services, and further fields of `app`.
std::string configuration(int version, const std::string& more_routes,
                          const std::string& more_services, const std::string& service_fields);

/// A caller's request, with a body of the given length if it has one.
std::string caller_request(const std::string& method, const std::string& target,
                           const std::string& id, const std::string& more_lines,
                           const std::string& body);

/// Sends on a connection of its own and reads the answer.
message call(const std::string& address, const std::string& bytes, milliseconds wait);

/// True unless the script is to run without its disruption.
bool trouble();

/// Runs a script: opens the record, bounds its time, maps exceptions to `unable`.
int run_script(int argc, char** argv, const std::function<int()>& script);

} // namespace kit
