#include "review/kit-2/kit.h"

#include <arpa/inet.h>
#include <boost/json/src.hpp>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace kit {

namespace json = boost::json;

namespace {

const clock::time_point program_start = clock::now();
std::ofstream record_file;
std::mutex record_mutex;

sockaddr_in endpoint_of(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &made.sin_addr) != 1)
        throw std::runtime_error{"no address: " + address};
    return made;
}

std::string base64(std::string_view bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each)
            group = group << 8U | (each < left ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            text += each <= left ? digits[group >> (18U - 6U * each) & 63U] : '=';
    }
    return text;
}

std::string unbase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        static constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const std::size_t value = digits.find(digit);
        if (value == std::string_view::npos)
            break;
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded +=
                static_cast<char>(std::stoi(std::string{text.substr(at + 1, 2)}, nullptr, 16));
            at += 2;
        }
        else {
            decoded += text[at];
        }
    }
    return decoded;
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - program_start).count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(milliseconds{time});
}

void record::open(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
}

void record::line(const std::string& text)
{
    const std::lock_guard lock{record_mutex};
    record_file << now_ms() << " " << text << std::endl;
}

std::string message::field(std::string_view name) const
{
    for (const auto& [each, value] : fields) {
        if (each.size() == name.size() && strncasecmp(each.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    const std::size_t first = start.find(' ');
    const std::size_t second = start.find(' ', first + 1);
    return first == std::string::npos ? "" : start.substr(first + 1, second - first - 1);
}

std::string message::path() const
{
    const std::string whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string message::query(std::string_view name) const
{
    const std::string whole = target();
    std::size_t at = whole.find('?');
    while (at != std::string::npos) {
        const std::size_t end = whole.find('&', at + 1);
        const std::string item = whole.substr(at + 1, end - at - 1);
        const std::size_t equals = item.find('=');
        if (equals != std::string::npos && item.substr(0, equals) == name)
            return percent_decoded(item.substr(equals + 1));
        at = end;
    }
    return {};
}

int message::status() const
{
    return start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0;
}

stream::~stream()
{
    ::close(m_socket);
}

std::unique_ptr<stream> stream::connect(const std::string& address)
{
    const sockaddr_in to = endpoint_of(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto made = std::make_unique<stream>(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        return nullptr;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

bool stream::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool stream::fill(clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd wanted{m_socket, POLLIN, 0};
    if (left <= 0 || poll(&wanted, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[16 * 1024];
    const ssize_t received = recv(m_socket, bytes, sizeof bytes, 0);
    if (received <= 0)
        return false;
    m_input.append(bytes, static_cast<std::size_t>(received));
    return true;
}

message stream::read(milliseconds wait)
{
    const clock::time_point until = clock::now() + wait;
    message made;
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return made;
    }
    std::string head = m_input.substr(0, end + 2);
    m_input.erase(0, end + 4);
    std::size_t line_end = head.find("\r\n");
    made.start = head.substr(0, line_end);
    while (line_end + 2 < head.size()) {
        const std::size_t begin = line_end + 2;
        line_end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, line_end - begin);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        made.fields.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
    }
    if (made.field("Transfer-Encoding") == "chunked") {
        for (;;) {
            std::size_t size_end = 0;
            while ((size_end = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return made;
            }
            const std::size_t size = std::stoul(m_input.substr(0, size_end), nullptr, 16);
            while (m_input.size() < size_end + 2 + size + 2) {
                if (!fill(until))
                    return made;
            }
            made.body += m_input.substr(size_end + 2, size);
            m_input.erase(0, size_end + 2 + size + 2);
            if (size == 0)
                break;
        }
    }
    else if (const std::string length = made.field("Content-Length"); !length.empty()) {
        const std::size_t size = std::stoul(length);
        while (m_input.size() < size) {
            if (!fill(until))
                return made;
        }
        made.body = m_input.substr(0, size);
        m_input.erase(0, size);
    }
    made.complete = true;
    return made;
}

void stream::wait_for_end(milliseconds wait) const
{
    const clock::time_point until = clock::now() + wait;
    while (clock::now() < until) {
        pollfd wanted{m_socket, POLLIN, 0};
        char byte = 0;
        if (poll(&wanted, 1, 100) > 0 && recv(m_socket, &byte, 1, 0) <= 0)
            return;
    }
}

void stream::close_sending() const
{
    shutdown(m_socket, SHUT_WR);
}

server::server(const std::string& ip, handler handle)
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = endpoint_of(ip + ":0");
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(m_listener, 512) != 0)
        throw std::runtime_error{"can't listen on " + ip};
    socklen_t size = sizeof at;
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
    m_address = ip + ":" + std::to_string(ntohs(at.sin_port));
    std::thread{[listener = m_listener, handle = std::move(handle)] {
        for (;;) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread{[accepted, handle] {
                stream from{accepted};
                const int nodelay = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
                for (;;) {
                    const message request = from.read(std::chrono::minutes{5});
                    if (!request.complete)
                        return;
                    handle(request, from);
                    if (request.field("Connection") == "close")
                        return;
                }
            }}.detach();
        }
    }}.detach();
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                     const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct store::state {
    struct item {
        std::string value;
        std::int64_t rev = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        item now;
        bool removed = false;
    };
    struct lease {
        clock::time_point until;
        std::int64_t ttl_ms = 0;
    };

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 100;
    std::int64_t last_lease = 0;
    std::map<std::string, item> items;
    std::map<std::int64_t, lease> leases;
    std::vector<change> history;
    std::atomic<bool> silent = false;
    std::unique_ptr<server> port;

    void put(const std::string& key, const std::string& value, std::int64_t owner)
    {
        ++revision;
        item& kept = items[key];
        kept.created = kept.rev == 0 ? revision : kept.created;
        kept.value = value;
        kept.rev = revision;
        kept.lease = owner;
        history.push_back({key, kept, false});
        changed.notify_all();
    }
    void remove(const std::string& key)
    {
        if (items.erase(key) == 0)
            return;
        ++revision;
        history.push_back({key, {"", revision, 0, 0}, true});
        changed.notify_all();
    }
    void end_lease(std::int64_t id)
    {
        leases.erase(id);
        std::vector<std::string> owned;
        for (const auto& [key, kept] : items) {
            if (kept.lease == id)
                owned.push_back(key);
        }
        for (const std::string& key : owned)
            remove(key);
    }
    static json::object render(const std::string& key, const item& kept)
    {
        return {{"key", key},
                {"value", base64(kept.value)},
                {"rev", kept.rev},
                {"created", kept.created},
                {"lease", kept.lease}};
    }

    std::pair<int, json::object> range(const message& request)
    {
        const std::lock_guard lock{mutex};
        constexpr std::size_t page = 500;
        json::array shown;
        bool more = false;
        const std::string prefix = request.query("prefix");
        for (auto at = items.upper_bound(request.query("after")); at != items.end(); ++at) {
            if (!at->first.starts_with(prefix))
                continue;
            more = shown.size() >= page;
            if (more)
                break;
            shown.push_back(render(at->first, at->second));
        }
        return {200, {{"items", std::move(shown)}, {"has_more", more}, {"current_rev", revision}}};
    }
    std::pair<int, json::object> key(const message& request)
    {
        const std::lock_guard lock{mutex};
        const std::string name = request.query("key");
        const auto found = items.find(name);
        json::object body = found == items.end() ? json::object{} : render(name, found->second);
        body["current_rev"] = revision;
        return {found == items.end() ? 404 : 200, std::move(body)};
    }
    std::pair<int, json::object> watch(const message& request)
    {
        std::unique_lock lock{mutex};
        const std::string prefix = request.query("prefix");
        const std::int64_t after = std::stoll(request.query("after"));
        const clock::time_point until =
            clock::now() + milliseconds{std::stoll(request.query("wait_ms"))};
        json::array events;
        for (;;) {
            for (auto at = history.rbegin(); at != history.rend() && at->now.rev > after; ++at) {
                if (!at->key.starts_with(prefix))
                    continue;
                json::object event = render(at->key, at->now);
                if (at->removed)
                    event = {{"key", at->key}, {"rev", at->now.rev}, {"tombstone", true}};
                events.insert(events.begin(), std::move(event));
            }
            if (!events.empty() || silent)
                break;
            if (changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        return {200, {{"events", std::move(events)}, {"current_rev", revision}}};
    }
    std::pair<int, json::object> transact(const message& request)
    {
        const std::lock_guard lock{mutex};
        const json::object body = json::parse(request.body).as_object();
        json::array found;
        bool fits = true;
        for (const json::value& row : body.at("expected").as_array()) {
            const std::string name{row.at("key").as_string()};
            const auto at = items.find(name);
            const std::int64_t rev = at == items.end() ? 0 : at->second.rev;
            fits = fits && rev == row.at("rev").to_number<std::int64_t>();
            if (at != items.end())
                found.push_back(render(name, at->second));
        }
        if (!fits)
            return {412, {{"items", std::move(found)}}};
        for (const json::value& row : body.at("puts").as_array()) {
            const auto owner = row.at("lease").to_number<std::int64_t>();
            if (owner != 0 && !leases.contains(owner))
                return {404, {}};
        }
        for (const json::value& row : body.at("puts").as_array())
            put(std::string{row.at("key").as_string()},
                unbase64(std::string{row.at("value").as_string()}),
                row.at("lease").to_number<std::int64_t>());
        for (const json::value& name : body.at("remove").as_array())
            remove(std::string{name.as_string()});
        return {200, {{"rev", revision}}};
    }
    std::pair<int, json::object> lease_call(const message& request)
    {
        const std::lock_guard lock{mutex};
        const std::string path = request.path();
        if (path == "/kv-lease") {
            const auto ttl = json::parse(request.body).at("ttl_ms").to_number<std::int64_t>();
            leases[++last_lease] = {clock::now() + milliseconds{ttl}, ttl};
            return {200, {{"lease", last_lease}, {"ttl_ms", ttl}}};
        }
        const std::int64_t id = std::stoll(path.substr(path.rfind('/') + 1));
        const auto found = leases.find(id);
        if (found == leases.end())
            return {404, {}};
        if (path.starts_with("/kv-lease-end/")) {
            end_lease(id);
            return {200, {}};
        }
        found->second.until = clock::now() + milliseconds{found->second.ttl_ms};
        return {200, {{"ttl_ms", found->second.ttl_ms}}};
    }
    std::pair<int, json::object> answer(const message& request)
    {
        const std::string path = request.path();
        if (path == "/kv-range")
            return range(request);
        if (path == "/kv-key")
            return key(request);
        if (path == "/kv-watch")
            return watch(request);
        if (path == "/kv-txn")
            return transact(request);
        return lease_call(request);
    }
    void expire()
    {
        const std::lock_guard lock{mutex};
        std::vector<std::int64_t> ended;
        for (const auto& [id, each] : leases) {
            if (!silent && clock::now() >= each.until)
                ended.push_back(id);
        }
        for (const std::int64_t id : ended)
            end_lease(id);
    }
};

store::store(const std::string& ip) : m_state{std::make_shared<state>()}
{
    const std::shared_ptr<state> shared = m_state;
    m_state->port = std::make_unique<server>(ip, [shared](const message& request, stream& from) {
        std::pair<int, json::object> given{0, {}};
        if (!shared->silent)
            given = shared->answer(request);
        if (shared->silent || given.first == 0) {
            from.wait_for_end(std::chrono::minutes{2}); // nothing more comes on this connection
            return;
        }
        from.send(response(given.first, {{"Content-Type", "application/json"}},
                           json::serialize(given.second)));
    });
    std::thread{[shared] {
        for (;;) {
            sleep_ms(50);
            shared->expire();
        }
    }}.detach();
}

store::~store() = default;

std::string store::address() const
{
    return m_state->port->address();
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock{m_state->mutex};
    m_state->put(key, value, 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{m_state->mutex};
    m_state->remove(key);
}

void store::set_silent(bool silent)
{
    m_state->silent = silent;
    m_state->changed.notify_all();
}

struct plain_server::state {
    store* registry = nullptr;
    form chosen;
    mutable std::mutex mutex;
    std::int64_t beats = 0;
    clock::time_point cold_until{};
    std::vector<run> ran;
    std::size_t checked = 0;
    int running = 0;
    bool leaving = false;
    std::atomic<bool> gone = false;
    std::unique_ptr<server> port;

    std::int64_t cold_ms() const
    {
        const auto left = std::chrono::duration_cast<milliseconds>(cold_until - clock::now());
        return std::max<std::int64_t>(0, left.count());
    }
    std::string entry()
    {
        const std::lock_guard lock{mutex};
        return json::serialize(json::object{{"service", chosen.service},
                                            {"addr", port->address()},
                                            {"zone", chosen.zone},
                                            {"version", "1"},
                                            {"slot_count", chosen.slots},
                                            {"state", leaving ? "draining" : "ready"},
                                            {"cold_remaining_ms", cold_ms()},
                                            {"born", 1'700'000'000'000},
                                            {"seq", ++beats}});
    }
    void handle(const message& request, stream& from)
    {
        if (request.path() == "/health") {
            const std::lock_guard lock{mutex};
            ++checked;
            from.send(response(200,
                               {{"Jaynotch-Instance-Id", chosen.id},
                                {"Jaynotch-Cold-Ms", std::to_string(cold_ms())}},
                               ""));
            return;
        }
        const std::string id = request.field("Jaynotch-Attempt-Id");
        if (request.field("Jaynotch-Expect-Instance") != chosen.id) {
            from.send(response(421, {{"Jaynotch-Attempt-Id", id}}, ""));
            return;
        }
        {
            const std::lock_guard lock{mutex};
            ran.push_back({now_ms(), id, request});
            ++running;
        }
        record::line("run at " + chosen.id + ": " + request.start + " id " + id + " body of " +
                     std::to_string(request.body.size()) + " bytes");
        std::this_thread::sleep_for(chosen.work);
        std::string load;
        {
            const std::lock_guard lock{mutex};
            --running;
            load = std::to_string(running) + ",0," + std::to_string(chosen.slots);
        }
        from.send(response(200,
                           {{"Jaynotch-Attempt-Id", id},
                            {"Jaynotch-Response-Seal", chosen.id + "." + id},
                            {"Jaynotch-Server-Load", load}},
                           "answer to " + id));
    }
};

plain_server::plain_server(store& registry, const std::string& ip, form chosen)
    : m_state{std::make_shared<state>()}
{
    m_state->registry = &registry;
    m_state->chosen = std::move(chosen);
    const std::shared_ptr<state> shared = m_state;
    m_state->port = std::make_unique<server>(
        ip, [shared](const message& request, stream& from) { shared->handle(request, from); });
    std::thread{[shared] {
        while (!shared->gone) {
            shared->registry->put("servers/" + shared->chosen.id, shared->entry());
            sleep_ms(1200);
        }
    }}.detach();
}

plain_server::~plain_server() = default;

void plain_server::set_cold(milliseconds time)
{
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->cold_until = clock::now() + time;
    }
    record::line(m_state->chosen.id + " is cold for " + std::to_string(time.count()) + " ms");
    m_state->registry->put("servers/" + m_state->chosen.id, m_state->entry());
}

void plain_server::drain()
{
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->leaving = true;
    }
    const std::string key = "servers/" + m_state->chosen.id;
    m_state->registry->put(key, m_state->entry());
    std::thread{[shared = m_state, key] {
        sleep_ms(3000);
        shared->gone = true;
        shared->registry->remove(key);
    }}.detach();
}

std::vector<run> plain_server::runs() const
{
    const std::lock_guard lock{m_state->mutex};
    return m_state->ran;
}

std::string plain_server::address() const
{
    return m_state->port->address();
}

std::size_t plain_server::health_checks() const
{
    const std::lock_guard lock{m_state->mutex};
    return m_state->checked;
}

std::string node::control_of(const std::string& ip)
{
    return ip + ":" + std::to_string(control_port);
}

node::node(const form& chosen) : m_ip{chosen.ip}
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    m_folder = folder;
    std::string seeds;
    for (const std::string& each : chosen.seeds)
        seeds += (seeds.empty() ? "\"" : ",\"") + each + "\"";
    const auto at = [&](int port) { return "\"" + m_ip + ":" + std::to_string(port) + "\"\n"; };
    const std::string file = m_folder + "/settings.toml";
    std::ofstream{file}
        << "node = \"" << chosen.name << "\"\nnode_role = \"entry\"\nmachine_class = \"front\"\n"
        << "serves = [\"front\",\"control\"]\nbind_ip = \"" << m_ip << "\"\nzone = \""
        << chosen.zone << "\"\nregion = \"r\"\nport_range = [" << first_free_port << ","
        << first_free_port + 15 << "]\nseed_nodes = [" << seeds
        << "]\nbootstrap = " << (chosen.first_start ? "true" : "false")
        << "\ndiscovery_source = \"platform\"\nentry_kind = \"vip\"\nheartbeat_ms = 1200\n"
        << "[listen]\nfront = " << at(front_port) << "ready = " << at(ready_port)
        << "control = " << at(control_port)
        << "[limits]\ncpu_share = 0.5\ncpu_cores = 1\nmemory_mb = 512\nmax_fds = 8192\n"
        << "link_mbps = 200.0\ndisk_mb = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\n"
        << "drain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\nstall_ms = 5000\n"
        << "retry_ratio = 0.2\nretry_window_s = 10\nretry_extra = 134\nrequire_fencing = true\n"
        << "ceiling_window_s = 5\norigin_excess = 1.1\n"
        << chosen.bounds << "[platform]\naddr = \"" << chosen.store
        << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
        << "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
    const std::string log = m_folder + "/log";
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        const std::string program = "target/jaynotchd";
        const std::string setting = "JAYNOTCH_SETTINGS=" + file;
        const char* words[] = {program.c_str(), nullptr};
        const char* environment[] = {setting.c_str(), "PATH=/usr/bin:/bin", nullptr};
        execve(program.c_str(), const_cast<char**>(words), const_cast<char**>(environment));
        _exit(127);
    }
    record::line("started " + chosen.name + " in " + chosen.zone + " at " + m_ip);
}

node::~node()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::fprintf(stderr, "%s: %s\n", m_ip.c_str(), m_folder.c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool node::running()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

void node::terminate() const
{
    kill(m_process, SIGTERM);
    record::line("SIGTERM to the daemon at " + m_ip);
}

bool node::wait_ready(milliseconds wait) const
{
    const clock::time_point until = clock::now() + wait;
    while (clock::now() < until) {
        const auto to = stream::connect(m_ip + ":" + std::to_string(ready_port));
        if (to && to->send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") &&
            to->read(std::chrono::seconds{1}).status() == 200)
            return true;
        sleep_ms(50);
    }
    return false;
}

std::string own_ip(int host)
{
    const int part = 1 + static_cast<int>(getpid() % 60'000);
    return "127." + std::to_string(1 + part / 250) + "." + std::to_string(1 + part % 250) + "." +
           std::to_string(host);
}

std::string route(const std::string& name, const std::string& kind, const std::string& service)
{
    const int attempts = kind == "idempotent" ? 2 : 1;
    return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"prefix\":\"/" + name +
           "/\",\"route_kind\":\"" + kind +
           "\",\"timeout_ms\":4000,\"latency_target_ms\":300,\"priority\":1,\"service\":\"" +
           service + "\",\"max_attempts\":" + std::to_string(attempts) + ",\"public\":false}";
}

std::string configuration(int version, const std::string& more_routes,
                          const std::string& more_services, const std::string& service_fields)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           route("order", "non_idempotent", "app") + "," + route("read", "idempotent", "app") +
           more_routes +
           "],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":400" +
           service_fields + "}" + more_services +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
           "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000},"
           "\"tenants\":[{\"name\":\"farm\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
}

std::string caller_request(const std::string& method, const std::string& target,
                           const std::string& id, const std::string& more_lines,
                           const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n";
    text += "Jaynotch-Attempt-Id: " + id + "\r\nJaynotch-Deadline-Ms: 4000\r\n";
    text += "Authorization: Bearer key-1\r\n" + more_lines;
    if (!body.empty() && more_lines.find("Transfer-Encoding") == std::string::npos)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

message call(const std::string& address, const std::string& bytes, milliseconds wait)
{
    const auto to = stream::connect(address);
    if (!to || !to->send(bytes))
        return {};
    return to->read(wait);
}

bool trouble()
{
    const char* const set = std::getenv("TROUBLE");
    return set == nullptr || std::string{set} != "0";
}

int run_script(int argc, char** argv, const std::function<int()>& script)
{
    constexpr unsigned longest_s = 118;
    if (argc < 2)
        return unable;
    std::signal(SIGPIPE, SIG_IGN);
    alarm(longest_s);
    record::open(argv[1]);
    int code = unable;
    try {
        code = script();
    }
    catch (const std::exception& thrown) {
        record::line(std::string{"could not run: "} + thrown.what());
    }
    record::line("result " + std::to_string(code));
    std::fflush(nullptr);
    _exit(code); // threads of the stand-ins are still running
}

} // namespace kit
