// Stand-ins and scripted cases of the review: the platform's store, plain servers, a proxy and
// callers, which run in this process, and daemons, which are separate processes.
//
//   review/out/standins CASE DAEMON FOLDER      TROUBLE=0: the same without the disruption
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. FOLDER/record.txt says
// what was sent, answered and run.
#include <arpa/inet.h>
#include <boost/json/src.hpp>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// Time and record.

std::int64_t now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

void sleep_ms(std::int64_t span)
{
    std::this_thread::sleep_for(milliseconds{span});
}

std::mutex record_lock;
std::FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) void record(const char* format, ...)
{
    std::array<char, 512> line{};
    va_list values;
    va_start(values, format);
    std::vsnprintf(line.data(), line.size(), format, values);
    va_end(values);
    const std::scoped_lock guard{record_lock};
    if (record_file != nullptr) {
        std::fprintf(record_file, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000.0,
                     line.data());
        std::fflush(record_file);
    }
}

[[noreturn]] void cannot_run(const std::string& why)
{
    record("the case can't run: %s", why.c_str());
    std::cerr << why << "\n";
    throw std::runtime_error{why};
}

// Sockets.

std::atomic<bool> stopping = false;

sockaddr_in address_of(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &made.sin_addr);
    return made;
}

/// Listens on a free port of `ip`, or on the given one; returns the socket and its address.
std::pair<int, std::string> listen_on(const std::string& ip, int port = 0)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = address_of(ip + ":" + std::to_string(port));
    if (::bind(made, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(made, 512) != 0)
        cannot_run("no port is free on " + ip);
    socklen_t size = sizeof address;
    ::getsockname(made, reinterpret_cast<sockaddr*>(&address), &size);
    return {made, ip + ":" + std::to_string(ntohs(address.sin_port))};
}

std::string free_address(const std::string& ip)
{
    const auto [made, address] = listen_on(ip);
    ::close(made);
    return address;
}

int connect_to(const std::string& address, int timeout_ms)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = address_of(address);
    const int on = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd wait{made, POLLOUT, 0};
        int failed = 0;
        socklen_t size = sizeof failed;
        if (errno != EINPROGRESS || ::poll(&wait, 1, timeout_ms) != 1 ||
            ::getsockopt(made, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0)
        {
            ::close(made);
            return -1;
        }
    }
    ::fcntl(made, F_SETFL, ::fcntl(made, F_GETFL) & ~O_NONBLOCK);
    return made;
}

bool write_all(int to, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Appends what arrives; false at the end, after an error or at `until`.
bool read_some(int from, std::string& buffer, std::int64_t until)
{
    while (!stopping) {
        const std::int64_t left = until - now_ms();
        if (left <= 0)
            return false;
        pollfd wait{from, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 100))) <= 0)
            continue;
        std::array<char, 65536> bytes{};
        const ssize_t got = ::recv(from, bytes.data(), bytes.size(), 0);
        if (got <= 0)
            return false;
        buffer.append(bytes.data(), static_cast<std::size_t>(got));
        return true;
    }
    return false;
}

// HTTP.

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    [[nodiscard]] std::string word(std::size_t index) const
    {
        std::string rest = first_line;
        for (; index > 0; --index)
            rest.erase(0, std::min(rest.size(), rest.find(' ')) + 1);
        return rest.substr(0, rest.find(' '));
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
    [[nodiscard]] std::string path() const
    {
        const std::string target = word(1);
        return target.substr(0, target.find('?'));
    }
    [[nodiscard]] std::string query(const std::string& name) const
    {
        const std::string target = word(1);
        const std::size_t mark = target.find('?');
        if (mark == std::string::npos)
            return {};
        std::string rest = "&" + target.substr(mark + 1);
        const std::size_t at = rest.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        rest = rest.substr(at + name.size() + 2);
        rest.resize(std::min(rest.size(), rest.find('&')));
        std::string decoded;
        for (std::size_t i = 0; i < rest.size(); ++i) {
            if (rest[i] == '%' && i + 2 < rest.size()) {
                decoded += static_cast<char>(std::stoi(rest.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else {
                decoded += rest[i];
            }
        }
        return decoded;
    }
};

/// Reads one message; nullopt if the connection ends or `until` passes before it is whole.
std::optional<message> read_message(int from, std::string& buffer, std::int64_t until)
{
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(from, buffer, until))
            return std::nullopt;
    }
    message made;
    std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    made.first_line = head.substr(0, head.find("\r\n"));
    head.erase(0, made.first_line.size() + 2);
    while (!head.empty()) {
        const std::string line = head.substr(0, head.find("\r\n"));
        head.erase(0, line.size() + 2);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
            return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        std::string& known = made.headers[name];
        known += known.empty() ? "" : ", "; // lines of one name form a list (RFC 9110, 5.2)
        known += value == std::string::npos ? "" : line.substr(value);
    }
    if (made.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t line_end = 0;
            while ((line_end = buffer.find("\r\n")) == std::string::npos) {
                if (!read_some(from, buffer, until))
                    return std::nullopt;
            }
            const std::size_t size = std::stoul(buffer.substr(0, line_end), nullptr, 16);
            while (buffer.size() < line_end + 2 + size + 2) {
                if (!read_some(from, buffer, until))
                    return std::nullopt;
            }
            made.body += buffer.substr(line_end + 2, size);
            buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0)
                return made;
        }
    }
    const std::size_t length = std::strtoul(made.header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!read_some(from, buffer, until))
            return std::nullopt;
    }
    made.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return made;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

std::string render_answer(int status, const std::string& body, const header_list& headers = {},
                          const std::string& type = "application/json")
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + body;
}

/// A server with a thread for each connection.
class http_server {
public:
    using handler = std::function<std::string(const message&)>; ///< returns the whole answer

    http_server(const std::string& ip, handler answer) : m_answer{std::move(answer)}
    {
        std::tie(m_listener, m_address) = listen_on(ip);
        m_acceptor = std::thread{[this] { accept_all(); }};
    }
    ~http_server()
    {
        close();
        m_acceptor.join();
        for (std::thread& each : m_threads)
            each.join();
        ::close(m_listener);
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    void close() { m_closed = true; }
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    void accept_all()
    {
        while (!stopping && !m_closed) {
            pollfd wait{m_listener, POLLIN, 0};
            if (::poll(&wait, 1, 50) != 1)
                continue;
            const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            m_threads.emplace_back([this, accepted] { serve(accepted); });
        }
    }
    void serve(int connection)
    {
        std::string buffer;
        while (!stopping && !m_closed) {
            const std::optional<message> asked =
                read_message(connection, buffer, now_ms() + 300'000);
            if (!asked)
                break;
            const std::string answer = m_answer(*asked);
            if (answer.empty() || !write_all(connection, answer) ||
                asked->header("connection") == "close")
                break;
        }
        ::close(connection);
    }

    handler m_answer;
    int m_listener = -1;
    std::string m_address;
    std::atomic<bool> m_closed = false;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = (group << 8U) |
                    (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += at + i > bytes.size() ? '=' : digits[(group >> (18U - 6U * i)) & 63U];
    }
    return text;
}

// The platform's store.

class store {
public:
    explicit store(const std::string& ip)
        : m_server{ip, [this](const message& asked) { return answer(asked); }}
    {
        m_sweeper = std::thread{[this] {
            while (!stopping) {
                sleep_ms(20);
                expire();
            }
        }};
    }
    ~store()
    {
        m_changed.notify_all();
        m_sweeper.join();
    }
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] const std::string& address() const { return m_server.address(); }

    /// Written by the operator or a runner. Returning is the acknowledgement.
    void put(const std::string& key, const std::string& value)
    {
        const std::scoped_lock guard{m_lock};
        write(key, base64(value), 0);
    }
    void remove(const std::string& key)
    {
        const std::scoped_lock guard{m_lock};
        erase(key);
    }
    [[nodiscard]] std::size_t watches() const { return m_watches; }

private:
    struct item {
        std::string value;
        std::int64_t rev = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        std::int64_t rev = 0;
        std::optional<item> written;
    };
    struct lease_row {
        std::int64_t ttl = 0;
        std::int64_t until = 0;
    };

    static json::object row(const std::string& key, const item& found)
    {
        return {{"key", key},
                {"value", found.value},
                {"rev", found.rev},
                {"created", found.created},
                {"lease", found.lease}};
    }

    void write(const std::string& key, std::string value, std::int64_t lease)
    {
        item& written = m_items[key];
        written.value = std::move(value);
        written.rev = ++m_rev;
        written.lease = lease;
        if (written.created == 0)
            written.created = m_rev;
        m_history.push_back({key, m_rev, written});
        m_changed.notify_all();
    }
    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_history.push_back({key, ++m_rev, std::nullopt});
        m_changed.notify_all();
    }
    void end_lease(std::int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, found] : m_items) {
            if (found.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            erase(key);
    }
    void expire()
    {
        const std::scoped_lock guard{m_lock};
        std::vector<std::int64_t> ended;
        for (const auto& [lease, found] : m_leases) {
            if (now_ms() >= found.until)
                ended.push_back(lease);
        }
        for (const std::int64_t lease : ended)
            end_lease(lease);
    }

    std::string answer(const message& asked)
    {
        const std::string method = asked.word(0);
        const std::string path = asked.path();
        std::unique_lock guard{m_lock};
        if (path == "/kv-key")
            return get(asked.query("key"));
        if (path == "/kv-range")
            return range(asked.query("prefix"), asked.query("after"));
        if (path == "/kv-watch")
            return watch(asked, guard);
        if (path == "/kv-txn")
            return transact(json::parse(asked.body).as_object());
        if (path == "/kv-lease") {
            const std::int64_t ttl = std::max<std::int64_t>(
                1000, json::parse(asked.body).at("ttl_ms").to_number<std::int64_t>());
            m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
            return render_answer(
                200, json::serialize(json::object{{"lease", m_last_lease}, {"ttl_ms", ttl}}));
        }
        const std::int64_t lease = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return render_answer(404, "{}");
        if (method == "DELETE") {
            end_lease(lease);
            return render_answer(200, "{}");
        }
        found->second.until = now_ms() + found->second.ttl;
        return render_answer(200, json::serialize(json::object{{"ttl_ms", found->second.ttl}}));
    }
    std::string get(const std::string& key) const
    {
        const auto found = m_items.find(key);
        json::object body;
        if (found != m_items.end())
            body = row(key, found->second);
        body["current_rev"] = m_rev;
        return render_answer(found == m_items.end() ? 404 : 200, json::serialize(body));
    }
    std::string range(const std::string& prefix, const std::string& after) const
    {
        constexpr std::size_t page = 500;
        json::array items;
        bool more = false;
        for (const auto& [key, found] : m_items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            more = items.size() == page;
            if (more)
                break;
            items.push_back(row(key, found));
        }
        return render_answer(200, json::serialize(json::object{{"items", std::move(items)},
                                                               {"has_more", more},
                                                               {"current_rev", m_rev}}));
    }
    std::string watch(const message& asked, std::unique_lock<std::mutex>& guard)
    {
        const std::string prefix = asked.query("prefix");
        const std::int64_t after = std::atoll(asked.query("after").c_str());
        const std::int64_t until = now_ms() + std::atoll(asked.query("wait_ms").c_str());
        ++m_watches;
        json::array events;
        for (;;) {
            for (auto at = m_history.rbegin(); at != m_history.rend() && at->rev > after; ++at) {
                if (!at->key.starts_with(prefix))
                    continue;
                events.push_back(
                    at->written
                        ? row(at->key, *at->written)
                        : json::object{{"key", at->key}, {"rev", at->rev}, {"tombstone", true}});
            }
            if (!events.empty() || now_ms() >= until || stopping)
                break;
            m_changed.wait_for(guard,
                               milliseconds{std::min<std::int64_t>(until - now_ms() + 1, 100)});
        }
        std::reverse(events.begin(), events.end());
        return render_answer(200, json::serialize(json::object{{"events", std::move(events)},
                                                               {"current_rev", m_rev}}));
    }
    std::string transact(const json::object& asked)
    {
        json::array current;
        bool holds = true;
        for (const json::value& one : asked.at("expected").as_array()) {
            const std::string key{one.at("key").as_string()};
            const auto found = m_items.find(key);
            const std::int64_t rev = found == m_items.end() ? 0 : found->second.rev;
            holds = holds && rev == one.at("rev").to_number<std::int64_t>();
            if (found != m_items.end())
                current.push_back(row(key, found->second));
        }
        if (!holds)
            return render_answer(
                412, json::serialize(json::object{{"items", std::move(current)}, {"rev", m_rev}}));
        for (const json::value& put : asked.at("puts").as_array()) {
            const auto lease = put.at("lease").to_number<std::int64_t>();
            if (lease != 0 && !m_leases.contains(lease))
                return render_answer(404, "{}");
        }
        for (const json::value& put : asked.at("puts").as_array())
            write(std::string{put.at("key").as_string()}, std::string{put.at("value").as_string()},
                  put.at("lease").to_number<std::int64_t>());
        for (const json::value& key : asked.at("remove").as_array())
            erase(std::string{key.as_string()});
        return render_answer(200, json::serialize(json::object{{"rev", m_rev}}));
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<change> m_history;
    std::map<std::int64_t, lease_row> m_leases;
    std::int64_t m_rev = 1;
    std::int64_t m_last_lease = 0;
    std::atomic<std::size_t> m_watches = 0;
    std::thread m_sweeper;
    http_server m_server;
};

// Servers.

struct run_row {
    std::string attempt;
    std::string server;
    std::string tenant;
    std::int64_t at = 0;
    std::string prompt_prefix = {};
};
std::mutex runs_lock;
std::vector<run_row> runs;

std::size_t runs_of(const std::string& attempt)
{
    const std::scoped_lock guard{runs_lock};
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [&](const run_row& each) { return each.attempt == attempt; }));
}

/// Servers of a plain service that share one address. Each works on a request for `work_ms` and
/// answers with its whole body.
class plain_runner {
public:
    struct settings {
        std::string id; ///< prefix of the ids
        std::string service;
        std::string zone;
        std::size_t ids = 1;
        std::int64_t work_ms = 2;
    };
    plain_runner(store& registry, const std::string& ip, settings chosen)
        : m_registry{registry}, m_chosen{std::move(chosen)}, m_server{ip,
                                                                      [this](const message& asked) {
                                                                          return answer(asked);
                                                                      }}
    {
        while (m_count < m_chosen.ids)
            add_id();
    }
    /// Registers one more server.
    void add_id()
    {
        m_registry.put("servers/" + m_chosen.id + "-" + std::to_string(++m_count),
                       json::serialize(json::object{{"service", m_chosen.service},
                                                    {"addr", m_server.address()},
                                                    {"zone", m_chosen.zone},
                                                    {"version", "1"},
                                                    {"slot_count", 6},
                                                    {"state", "ready"},
                                                    {"cold_remaining_ms", 0},
                                                    {"seq", 1},
                                                    {"born", 1'764'860'000'000 + now_ms()}}));
    }

    /// The status of its answers.
    std::atomic<int> status = 200;
    /// Takes the entry of the first server away; the server goes on serving.
    void remove_first_entry() { m_registry.remove("servers/" + m_chosen.id + "-1"); }

private:
    std::string answer(const message& asked)
    {
        const std::string attempt = asked.header("jaynotch-attempt-id");
        const std::string expected = asked.header("jaynotch-expect-instance");
        header_list headers{{"Jaynotch-Attempt-Id", attempt},
                            {"Jaynotch-Server-Load", "1,0,6"},
                            {"Keep-Alive", "timeout=30"}};
        if (!expected.empty() && !expected.starts_with(m_chosen.id + "-")) {
            headers.emplace_back("Jaynotch-Not-Executed", "1");
            return render_answer(421, "", headers);
        }
        {
            const std::scoped_lock guard{runs_lock};
            runs.push_back({attempt, expected, asked.header("jaynotch-tenant"), now_ms(),
                            asked.header("jaynotch-prompt-prefix")});
        }
        sleep_ms(m_chosen.work_ms);
        headers.emplace_back("Jaynotch-Response-Seal", "seal." + expected);
        return render_answer(status, "answer to " + attempt, headers, "text/plain");
    }

    store& m_registry;
    settings m_chosen;
    std::size_t m_count = 0;
    http_server m_server;
};

// Operator's documents.

json::object route(const std::string& name, const std::string& kind, const std::string& service)
{
    return {{"name", name},
            {"host", "ficu95.example"},
            {"prefix", "/" + name + "/"},
            {"route_kind", kind},
            {"service", service},
            {"timeout_ms", 4000},
            {"latency_target_ms", 300},
            {"priority", 1},
            {"max_attempts", 2},
            {"public", false}};
}

json::object tenant(const std::string& name, const std::vector<std::string>& keys)
{
    json::array list;
    for (const std::string& key : keys)
        list.push_back(json::string{key});
    return {{"name", name}, {"api_keys", list}, {"priority", 1}};
}

std::string configuration(std::int64_t version, const json::array& routes,
                          const std::vector<std::string>& services, const json::array& tenants)
{
    json::array rows;
    for (const std::string& name : services)
        rows.push_back(
            json::object{{"name", name}, {"health_path", "/health"}, {"max_conns", 110}});
    return json::serialize(json::object{{"version", version},
                                        {"routes", routes},
                                        {"services", rows},
                                        {"limits", json::object{{"max_header_bytes", 16384},
                                                                {"max_body_bytes", 4194304},
                                                                {"header_timeout_ms", 3000},
                                                                {"idle_timeout_ms", 15000}}},
                                        {"tenants", tenants}});
}

// A proxy whose open connections can be made silent: nothing passes any more, and nothing is
// closed. New connections work.

class proxy {
public:
    proxy(const std::string& ip, std::string target) : m_target{std::move(target)}
    {
        std::tie(m_listener, m_address) = listen_on(ip);
        m_acceptor = std::thread{[this] { accept_all(); }};
    }
    ~proxy()
    {
        m_acceptor.join();
        for (std::thread& each : m_threads)
            each.join();
        ::close(m_listener);
    }
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    [[nodiscard]] const std::string& address() const { return m_address; }
    /// Returns the number of connections that have gone silent.
    std::size_t silence_open()
    {
        const std::scoped_lock guard{m_lock};
        std::size_t count = 0;
        for (const auto& each : m_tunnels) {
            const bool open = !each->ended;
            count += open && !each->silent ? 1 : 0;
            each->silent = true;
        }
        return count;
    }

private:
    struct tunnel {
        int client = -1;
        int server = -1;
        std::atomic<bool> silent = false;
        std::atomic<bool> ended = false;
    };
    void accept_all()
    {
        while (!stopping) {
            pollfd wait{m_listener, POLLIN, 0};
            if (::poll(&wait, 1, 50) != 1)
                continue;
            const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const auto made = std::make_shared<tunnel>();
            made->client = accepted;
            const std::scoped_lock guard{m_lock};
            m_tunnels.push_back(made);
            m_threads.emplace_back([this, made] { pass(*made); });
        }
    }
    void pass(tunnel& through)
    {
        through.server = connect_to(m_target, 1000);
        const int on = 1;
        ::setsockopt(through.client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        bool open = through.server >= 0;
        while (open && !stopping) {
            if (through.silent) {
                sleep_ms(20);
                continue;
            }
            std::array<pollfd, 2> wait{{{through.client, POLLIN, 0}, {through.server, POLLIN, 0}}};
            if (::poll(wait.data(), wait.size(), 20) <= 0 || through.silent)
                continue;
            for (std::size_t side = 0; side < wait.size() && open; ++side) {
                if (wait[side].revents == 0)
                    continue;
                std::array<char, 65536> bytes{};
                const ssize_t got = ::recv(wait[side].fd, bytes.data(), bytes.size(), 0);
                open = got > 0 &&
                       write_all(wait[1 - side].fd, {bytes.data(), static_cast<std::size_t>(got)});
            }
        }
        ::close(through.client);
        if (through.server >= 0)
            ::close(through.server);
        through.ended = true;
    }

    std::string m_target;
    int m_listener = -1;
    std::string m_address;
    std::mutex m_lock;
    std::list<std::shared_ptr<tunnel>> m_tunnels;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

// Daemons.

struct daemon_site {
    std::string name;
    std::string zone;
    std::string ip;
    std::string store;
    std::vector<std::string> seeds;
    std::string front;
    std::string ready;
    std::string control;
    std::string advertise; ///< announced to peers; empty: `control`
    bool first_start = true;
};

class daemon_process {
public:
    daemon_process(std::string program, std::string folder, daemon_site site)
        : m_program{std::move(program)}, m_folder{std::move(folder)}, m_site{std::move(site)}
    {
        start();
    }
    ~daemon_process()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    [[nodiscard]] const daemon_site& site() const { return m_site; }
    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    void start()
    {
        const std::string file = m_folder + "/" + m_site.name + ".toml";
        write_settings(file);
        const std::string log = m_folder + "/" + m_site.name + ".log";
        std::vector<std::string> variables{"PATH=/usr/bin:/bin", "HOME=/tmp",
                                           "JAYNOTCH_SETTINGS=" + file};
        if (!m_site.advertise.empty())
            variables.push_back("JAYNOTCH_PEER_ADVERTISE=" + m_site.advertise);
        std::vector<char*> environment;
        for (std::string& each : variables)
            environment.push_back(each.data());
        environment.push_back(nullptr);
        std::vector<char*> arguments{m_program.data(), nullptr};
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(m_program.c_str(), arguments.data(), environment.data());
            ::_exit(127);
        }
    }
    void write_settings(const std::string& file) const
    {
        std::ofstream text{file};
        text << "node = \"" << m_site.name << "\"\nnode_role = \"entry\"\nmachine_class = \"front\""
             << "\nserves = [\"front\",\"control\"]\nbind_ip = \"" << m_site.ip << "\"\nzone = \""
             << m_site.zone
             << "\"\nregion = \"vestland\"\nbootstrap = " << (m_site.first_start ? "true" : "false")
             << "\nport_range = [7340,7355]\nheartbeat_ms = 1200\nin_fault_budget = false\n"
             << "discovery_source = \"platform\"\nentry_kind = \"vip\"\nseed_nodes = [";
        for (const std::string& seed : m_site.seeds)
            text << '"' << seed << "\",";
        text << "]\n[listen]\nfront = \"" << m_site.front << "\"\nready = \"" << m_site.ready
             << "\"\ncontrol = \"" << m_site.control
             << "\"\n[limits]\nmemory_mb = 390\nmax_fds = 6150\n[bounds]\nseed_lag_s = 3\n"
             << "addr_reuse_s = 2\nstable_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
             << "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
             << "back_ms = 250\nmax_skew_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n"
             << "retry_extra = 134\nrecovery_s = 12\nstall_ms = 5000\nrequire_fencing = true\n"
             << "ceiling_window_s = 5\norigin_excess = 1.1\n[platform]\naddr = \"" << m_site.store
             << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
             << "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
    }

    std::string m_program;
    std::string m_folder;
    daemon_site m_site;
    pid_t m_pid = -1;
};

// Callers.

struct reply {
    int status = 0; ///< 0: no answer
    std::string first_line;
    std::string seal;
    std::string attempt;
    std::int64_t sent = 0;
    std::int64_t ended = 0;
};

std::atomic<std::int64_t> last_attempt = 0;

/// Sends one request on a connection of its own.
reply call(const std::string& front, const std::string& method, const std::string& path,
           const std::string& key, const std::string& more_headers = {})
{
    reply made;
    constexpr int deadline_ms = 4'000;
    made.attempt = "a" + std::to_string(++last_attempt);
    const int connection = connect_to(front, 1000);
    made.sent = now_ms();
    if (connection >= 0) {
        const std::string content = method == "POST" ? "order" : "";
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
                           "Jaynotch-Attempt-Id: " + made.attempt +
                           "\r\nJaynotch-Deadline-Ms: " + std::to_string(deadline_ms) +
                           "\r\nAuthorization: Bearer " + key + "\r\n" + more_headers;
        if (!content.empty())
            text += "Content-Length: " + std::to_string(content.size()) + "\r\n";
        text += "\r\n" + content;
        std::string buffer;
        if (write_all(connection, text)) {
            if (const auto answer = read_message(connection, buffer, now_ms() + deadline_ms + 1000))
            {
                made.status = answer->status();
                made.first_line = answer->first_line;
                made.seal = answer->header("jaynotch-response-seal");
            }
        }
        ::close(connection);
    }
    made.ended = now_ms();
    return made;
}

bool is_ready(const daemon_site& site)
{
    const int connection = connect_to(site.ready, 500);
    if (connection < 0)
        return false;
    std::string buffer;
    write_all(connection, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto answer = read_message(connection, buffer, now_ms() + 1000);
    ::close(connection);
    return answer && answer->status() == 200;
}

void await_ready(const std::vector<std::unique_ptr<daemon_process>>& daemons)
{
    const std::int64_t until = now_ms() + 20'000;
    for (const auto& each : daemons) {
        while (!is_ready(each->site())) {
            if (now_ms() > until)
                cannot_run(each->site().name + " is not ready after 20 s");
            sleep_ms(50);
        }
    }
}

struct case_settings {
    bool trouble = true;
    std::string program;
    std::string folder;
};

/// A loopback address of this run, so that runs beside each other do not meet.
std::string loopback(int host)
{
    const int net = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + net % 128) + "." + std::to_string(net / 128 % 256) + "." +
           std::to_string(host);
}

daemon_site make_site(const std::string& name, const std::string& zone, int host,
                      const std::string& store_address)
{
    daemon_site made;
    made.name = name;
    made.zone = zone;
    made.ip = loopback(host);
    made.store = store_address;
    made.front = free_address(made.ip);
    made.ready = free_address(made.ip);
    made.control = free_address(made.ip);
    return made;
}

// Cases.

using daemon_list = std::vector<std::unique_ptr<daemon_process>>;

/// Ends the threads of the stand-ins; the last object of a case.
struct end_of_case {
    ~end_of_case() { stopping = true; }
};

/// How many of `count` requests are answered with 200.
std::size_t served_of(const std::string& front, const std::string& path, const std::string& key,
                      std::size_t count)
{
    std::size_t served = 0;
    std::map<int, std::size_t> statuses;
    for (std::size_t sent = 0; sent < count; ++sent) {
        const reply got = call(front, "GET", path, key);
        served += got.status == 200 ? 1 : 0;
        ++statuses[got.status];
        sleep_ms(10);
    }
    for (const auto& [status, times] : statuses)
        record("%s %s: %zu of %zu requests answered with %d", front.c_str(), path.c_str(), times,
               count, status);
    return served;
}

/// A registry of the size of the whole fleet. A quarter more servers are added, then a route that
/// leads to servers that have registered after them.
int large_registry(const case_settings& settings)
{
    constexpr std::size_t registered = 3'300;
    constexpr std::size_t added = 825; // a quarter, over 2 s
    constexpr std::int64_t added_over_ms = 2'000;
    constexpr std::size_t requests = 40;
    store platform{loopback(1)};
    const json::array tenants{tenant("hule930", {"key-1"})};
    json::array routes{route("archive", "idempotent", "subscriber-app")};
    std::vector<std::string> services{"subscriber-app"};
    platform.put("op/config", configuration(100, routes, services, tenants));
    plain_runner first{
        platform, loopback(2), {"i-first", "subscriber-app", "bergen-a", registered}};
    daemon_list daemons;
    for (int number = 1; number <= 2; ++number) {
        const std::string zone = number == 1 ? "bergen-a" : "bergen-b";
        daemons.push_back(std::make_unique<daemon_process>(
            settings.program, settings.folder,
            make_site("front-" + zone + "-1", zone, 10 + number, platform.address())));
    }
    std::list<plain_runner> later;
    const end_of_case end;
    await_ready(daemons);
    record("%zu servers are registered, both daemons are ready", registered);
    sleep_ms(8'000);
    if (settings.trouble) {
        later.emplace_back(platform, loopback(3),
                           plain_runner::settings{"i-added", "subscriber-app", "bergen-b", 0});
        for (std::size_t number = 0; number < added; ++number) {
            later.back().add_id();
            sleep_ms(number * added_over_ms / added - (number - 1) * added_over_ms / added);
        }
        record("%zu servers added", added);
    }
    sleep_ms(5'000);
    later.emplace_back(platform, loopback(4),
                       plain_runner::settings{"i-bulletin", "bulletin-app", "bergen-a", 2});
    record("2 servers of bulletin-app registered");
    sleep_ms(2'000);
    routes.push_back(route("bulletin", "idempotent", "bulletin-app"));
    services.emplace_back("bulletin-app");
    platform.put("op/config", configuration(103, routes, services, tenants));
    record("version 103 acknowledged: it adds the route bulletin");
    sleep_ms(2'000 + 3'000 + 1'000); // config_apply_ms, stable_ms
    std::size_t served_first = 0;
    std::size_t served_later = 0;
    for (const auto& each : daemons) {
        served_first += served_of(each->site().front, "/archive/1", "key-1", requests);
        served_later += served_of(each->site().front, "/bulletin/1", "key-1", requests);
    }
    record("first route: %zu served, later route: %zu served, of %zu each", served_first,
           served_later, requests * daemons.size());
    if (served_first == 0)
        cannot_run("no request of the first route was served");
    return served_later * 4 < served_first ? 1 : 0;
}

/// Three machines in one zone and one in another, whose links to each other and to the store lead
/// through proxies.
struct linked_fleet {
    linked_fleet(const case_settings& settings, const store& platform)
    {
        std::vector<daemon_site> sites;
        std::vector<std::string> seeds;
        for (int number = 1; number <= 4; ++number) {
            const std::string zone = number <= 3 ? "bergen-a" : "bergen-b";
            links.push_back(std::make_unique<proxy>(loopback(1), platform.address()));
            sites.push_back(make_site("front-" + zone + "-" + std::to_string(number), zone,
                                      10 + number, links.back()->address()));
            links.push_back(std::make_unique<proxy>(loopback(1), sites.back().control));
            sites.back().advertise = links.back()->address();
            if (number != 2)
                seeds.push_back(sites.back().advertise);
        }
        for (daemon_site& site : sites) {
            site.seeds = seeds;
            daemons.push_back(
                std::make_unique<daemon_process>(settings.program, settings.folder, site));
            sleep_ms(70); // all machines start within 0.3 s
        }
    }
    /// Silences the open connections; returns the time.
    std::int64_t silence(bool trouble)
    {
        const std::int64_t at = now_ms();
        std::size_t silenced = 0;
        for (const auto& link : links)
            silenced += trouble ? link->silence_open() : 0;
        record("%zu open connections between machines and to the store go silent", silenced);
        return at;
    }

    std::vector<std::unique_ptr<proxy>> links;
    daemon_list daemons;
};

constexpr std::int64_t stable_ms = 3'000;
constexpr std::int64_t config_apply_ms = 2'000;
constexpr std::int64_t drain_ms = 2'000;
constexpr std::int64_t margin_ms = 100;

/// All open connections between machines and to the store go silent for good; new ones work. Then
/// a key is taken away and another one added.
int silent_connections(const case_settings& settings)
{
    store platform{loopback(1)};
    const json::array routes{route("archive", "idempotent", "subscriber-app")};
    const auto write_version = [&](std::int64_t version, const std::string& key) {
        platform.put("op/config", configuration(version, routes, {"subscriber-app"},
                                                json::array{tenant("hule930", {"key-0"}),
                                                            tenant("daka510", {key})}));
    };
    write_version(100, "key-old");
    plain_runner server_a{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a"}};
    plain_runner server_b{platform, loopback(2), {"i-b", "subscriber-app", "bergen-b"}};
    linked_fleet fleet{settings, platform};
    const end_of_case end;
    await_ready(fleet.daemons);
    sleep_ms(12'000);
    for (const auto& each : fleet.daemons)
        served_of(each->site().front, "/archive/1", "key-old", 5);
    const std::int64_t silent_at = fleet.silence(settings.trouble);
    sleep_ms(300);
    write_version(103, "key-new");
    const std::int64_t acknowledged = now_ms();
    record("version 103 acknowledged: key-old is removed, key-new is added");
    const std::int64_t from =
        std::max(silent_at + stable_ms, acknowledged + config_apply_ms) + margin_ms;
    while (now_ms() < from)
        sleep_ms(5);
    record("all machines are in touch again, config_apply_ms has passed");
    std::size_t broken = 0;
    std::size_t sent = 0;
    while (now_ms() < from + 6'000) {
        for (const auto& each : fleet.daemons) {
            const reply with_old = call(each->site().front, "GET", "/archive/1", "key-old");
            const reply with_new = call(each->site().front, "GET", "/archive/1", "key-new");
            sent += 2;
            const bool ran = with_old.status == 200 && runs_of(with_old.attempt) > 0;
            const bool refused = with_new.status == 401;
            if (ran || refused)
                record("%s, %lld ms after the acknowledgement, %lld ms after the silence: "
                       "key-old %d, key-new %d",
                       each->site().name.c_str(),
                       static_cast<long long>(with_old.sent - acknowledged),
                       static_cast<long long>(with_old.sent - silent_at), with_old.status,
                       with_new.status);
            broken += (ran ? 1 : 0) + (refused ? 1 : 0);
        }
        sleep_ms(20);
    }
    record("%zu requests sent, %zu handled as only version 100 allows", sent, broken);
    return broken > 0 ? 1 : 0;
}

/// All open connections between machines and to the store go silent for good; new ones work. Then
/// a server leaves without a word: its entry is removed, and it goes on serving.
int silent_then_leaving(const case_settings& settings)
{
    store platform{loopback(1)};
    platform.put("op/config",
                 configuration(100, json::array{route("archive", "idempotent", "subscriber-app")},
                               {"subscriber-app"}, json::array{tenant("hule930", {"key-1"})}));
    plain_runner server_a{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a"}};
    plain_runner server_b{platform, loopback(2), {"i-b", "subscriber-app", "bergen-b"}};
    plain_runner leaving{platform, loopback(2), {"i-leaving", "subscriber-app", "bergen-a"}};
    linked_fleet fleet{settings, platform};
    const end_of_case end;
    await_ready(fleet.daemons);
    sleep_ms(12'000);
    const std::int64_t silent_at = fleet.silence(settings.trouble);
    sleep_ms(2'500);
    leaving.remove_first_entry();
    const std::int64_t acknowledged = now_ms();
    record("the store acknowledges that i-leaving-1 is gone; it goes on serving");
    const std::int64_t from = std::max(silent_at + stable_ms, acknowledged + drain_ms) + margin_ms;
    std::map<std::string, std::string> senders;
    std::size_t sent = 0;
    while (now_ms() < from + 4'000) {
        for (const auto& each : fleet.daemons) {
            const reply got = call(each->site().front, "GET", "/archive/1", "key-1");
            senders[got.attempt] = each->site().name;
            ++sent;
        }
        sleep_ms(10);
    }
    std::size_t broken = 0;
    const std::scoped_lock guard{runs_lock};
    for (const run_row& each : runs) {
        const bool late = each.server == "i-leaving-1" && each.at > from;
        if (late)
            record("%s reached i-leaving-1 %lld ms after the acknowledgement, %lld ms after the "
                   "silence, from %s",
                   each.attempt.c_str(), static_cast<long long>(each.at - acknowledged),
                   static_cast<long long>(each.at - silent_at), senders[each.attempt].c_str());
        broken += late ? 1 : 0;
    }
    record("%zu requests sent, %zu reached the server that is gone too late", sent, broken);
    return broken > 0 ? 1 : 0;
}

/// A caller's request has a body in a transfer coding that is not chunked; the body looks like
/// another request. RFC 9112, 6.1 and 6.3: such a request is answered with 400 or 501, and its
/// connection is closed. Without trouble the same body has a length.
int smuggled_request(const case_settings& settings)
{
    store platform{loopback(1)};
    platform.put("op/config",
                 configuration(100,
                               json::array{route("archive", "idempotent", "subscriber-app"),
                                           route("order", "non_idempotent", "subscriber-app")},
                               {"subscriber-app"}, json::array{tenant("hule930", {"key-1"})}));
    plain_runner server{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a", 2}};
    daemon_list daemons;
    daemons.push_back(std::make_unique<daemon_process>(
        settings.program, settings.folder,
        make_site("front-bergen-a-1", "bergen-a", 11, platform.address())));
    const end_of_case end;
    await_ready(daemons);
    sleep_ms(2'000);
    const std::string& front = daemons.front()->site().front;
    std::size_t broken = 0;
    std::size_t outer_runs = 0;
    for (const std::string coding : {"xchunked", "gzip", "chunked, identity"}) {
        for (int repeat = 0; repeat < 3; ++repeat) {
            const std::string outer = "outer-" + std::to_string(++last_attempt);
            const std::string inner = "inner-" + std::to_string(last_attempt);
            const std::string body = "POST /order/2 HTTP/1.1\r\nHost: ficu95.example\r\n"
                                     "Jaynotch-Attempt-Id: " +
                                     inner +
                                     "\r\nJaynotch-Deadline-Ms: 4000\r\n"
                                     "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
            const std::string framing = settings.trouble
                                            ? "Transfer-Encoding: " + coding
                                            : "Content-Length: " + std::to_string(body.size());
            const std::string text = "POST /archive/1 HTTP/1.1\r\nHost: ficu95.example\r\n"
                                     "Jaynotch-Attempt-Id: " +
                                     outer +
                                     "\r\nJaynotch-Deadline-Ms: 4000\r\n"
                                     "Authorization: Bearer key-1\r\n" +
                                     framing + "\r\n\r\n" + body;
            const int connection = connect_to(front, 1000);
            write_all(connection, text);
            std::string answers;
            const std::int64_t until = now_ms() + 700;
            while (read_some(connection, answers, until)) {
            }
            ::close(connection);
            record("%s, %s: %zu runs; %s, which no caller sent: %zu runs", outer.c_str(),
                   framing.c_str(), runs_of(outer), inner.c_str(), runs_of(inner));
            outer_runs += runs_of(outer);
            broken += runs_of(inner);
        }
    }
    if (!settings.trouble && outer_runs == 0)
        cannot_run("no request was run");
    return broken > 0 ? 1 : 0;
}

/// The only tenant of a deployment is removed, and with it the only key. Without trouble the
/// tenant gets another key instead.
int last_tenant(const case_settings& settings)
{
    constexpr int requests = 20;
    store platform{loopback(1)};
    const json::array routes{route("archive", "idempotent", "subscriber-app"),
                             route("order", "non_idempotent", "subscriber-app")};
    platform.put("op/config", configuration(100, routes, {"subscriber-app"},
                                            json::array{tenant("hule930", {"key-1"})}));
    plain_runner server{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a", 2}};
    daemon_list daemons;
    for (int number = 1; number <= 2; ++number) {
        const std::string zone = number == 1 ? "bergen-a" : "bergen-b";
        daemons.push_back(std::make_unique<daemon_process>(
            settings.program, settings.folder,
            make_site("front-" + zone + "-1", zone, 10 + number, platform.address())));
    }
    const end_of_case end;
    await_ready(daemons);
    sleep_ms(4'000);
    std::size_t before = 0;
    for (const auto& each : daemons) {
        before += served_of(each->site().front, "/archive/1", "key-1", 5);
        const reply unknown = call(each->site().front, "POST", "/order/1", "never-held");
        record("%s: a key that no version held, before: %d", each->site().name.c_str(),
               unknown.status);
    }
    if (before == 0)
        cannot_run("no request was served at the start");
    platform.put("op/config",
                 configuration(103, routes, {"subscriber-app"},
                               settings.trouble ? json::array{}
                                                : json::array{tenant("hule930", {"key-2"})}));
    record(settings.trouble ? "version 103 acknowledged: tenants is an empty list"
                            : "version 103 acknowledged: the tenant has another key");
    sleep_ms(2'000 + 3'000); // config_apply_ms, stable_ms
    std::size_t broken = 0;
    for (const auto& each : daemons) {
        for (const std::string key : {"key-1", "never-held"}) {
            std::size_t ran = 0;
            std::map<int, int> statuses;
            for (int sent = 0; sent < requests; ++sent) {
                const reply got = call(each->site().front, "POST", "/order/1", key);
                ++statuses[got.status];
                ran += runs_of(got.attempt);
            }
            for (const auto& [status, times] : statuses)
                record("%s, %s: %d of %d requests answered with %d, %zu run",
                       each->site().name.c_str(), key.c_str(), times, requests, status, ran);
            broken += ran;
        }
    }
    return broken > 0 ? 1 : 0;
}

/// A server answers with a final status that Beast's enumeration doesn't have: 425 (RFC 8470) and
/// 418 of the IANA registry, and 529, which overloaded model servers use. Without trouble it uses
/// statuses that the enumeration has.
int unusual_status(const case_settings& settings)
{
    store platform{loopback(1)};
    platform.put("op/config",
                 configuration(100, json::array{route("order", "non_idempotent", "subscriber-app")},
                               {"subscriber-app"}, json::array{tenant("hule930", {"key-1"})}));
    plain_runner server{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a"}};
    daemon_list daemons;
    daemons.push_back(std::make_unique<daemon_process>(
        settings.program, settings.folder,
        make_site("front-bergen-a-1", "bergen-a", 11, platform.address())));
    const end_of_case end;
    await_ready(daemons);
    sleep_ms(4'000);
    std::size_t broken = 0;
    std::size_t sealed = 0;
    const std::vector<int> statuses =
        settings.trouble ? std::vector<int>{425, 418, 529} : std::vector<int>{409, 422, 500};
    for (const int status : statuses) {
        server.status = status;
        for (int repeat = 0; repeat < 3; ++repeat) {
            const reply got = call(daemons.front()->site().front, "POST", "/order/1", "key-1");
            record("%s: %zu runs, the server answered with %d, the caller got \"%s\" with the "
                   "seal \"%s\"",
                   got.attempt.c_str(), runs_of(got.attempt), status, got.first_line.c_str(),
                   got.seal.c_str());
            sealed += got.seal.empty() ? 0 : 1;
            broken += !got.seal.empty() && got.status != status ? 1 : 0;
        }
    }
    if (!settings.trouble && sealed == 0)
        cannot_run("no answer of the server came back");
    return broken > 0 ? 1 : 0;
}

/// A caller sends the list of its prompt's parts on two header lines, which means the same as one
/// line (RFC 9110, 5.2 and 5.3). Without trouble it sends one line.
int list_on_two_lines(const case_settings& settings)
{
    store platform{loopback(1)};
    platform.put("op/config",
                 configuration(100, json::array{route("order", "non_idempotent", "subscriber-app")},
                               {"subscriber-app"}, json::array{tenant("hule930", {"key-1"})}));
    plain_runner server{platform, loopback(2), {"i-a", "subscriber-app", "bergen-a"}};
    daemon_list daemons;
    daemons.push_back(std::make_unique<daemon_process>(
        settings.program, settings.folder,
        make_site("front-bergen-a-1", "bergen-a", 11, platform.address())));
    const end_of_case end;
    await_ready(daemons);
    sleep_ms(4'000);
    const std::string first = "5c1e07a2:800,91bd3f06:410";
    const std::string second = "e4402b7d:250";
    const std::string name = "Jaynotch-Prompt-Prefix: ";
    const std::string lines = settings.trouble ? name + first + "\r\n" + name + second + "\r\n"
                                               : name + first + "," + second + "\r\n";
    std::size_t broken = 0;
    std::size_t whole = 0;
    for (int repeat = 0; repeat < 10; ++repeat) {
        const reply got = call(daemons.front()->site().front, "POST", "/order/1", "key-1", lines);
        const std::scoped_lock guard{runs_lock};
        for (const run_row& each : runs) {
            if (each.attempt != got.attempt)
                continue;
            std::string received = each.prompt_prefix;
            std::erase(received, ' ');
            record("%s answered with %d: the caller sent %s,%s, the server ran it with %s",
                   got.attempt.c_str(), got.status, first.c_str(), second.c_str(),
                   received.c_str());
            (received == first + "," + second ? whole : broken) += 1;
        }
    }
    if (whole + broken == 0)
        cannot_run("no request was run");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, std::function<int(const case_settings&)>> cases{
        {"large_registry", large_registry},           {"list_on_two_lines", list_on_two_lines},
        {"unusual_status", unusual_status},           {"last_tenant", last_tenant},
        {"smuggled_request", smuggled_request},       {"silent_connections", silent_connections},
        {"silent_then_leaving", silent_then_leaving},
    };
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "standins CASE DAEMON FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[3];
    record_file = std::fopen((folder + "/record.txt").c_str(), "w");
    case_settings settings;
    const char* const trouble = std::getenv("TROUBLE");
    settings.trouble = trouble == nullptr || std::string{trouble} != "0";
    settings.program = std::filesystem::absolute(argv[2]).string();
    std::string work = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    int outcome = 2;
    if (::mkdtemp(work.data()) != nullptr) {
        settings.folder = work;
        try {
            outcome = cases.at(argv[1])(settings);
        }
        catch (const std::exception& failed) {
            record("%s", failed.what());
        }
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(work);
        else
            std::cerr << work << "\n";
    }
    record(outcome == 0 ? "the rule held" : outcome == 1 ? "the rule was broken" : "not run");
    std::fclose(record_file);
    return outcome;
}
