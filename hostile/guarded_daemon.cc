#include "hostile/guarded_daemon.h"

#include "hostile/probes.h"
#include "scenarios/free_address.h"

#include <boost/asio/executor_work_guard.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>

// Memory is the peak of the process's resident set (VmHWM) plus the receive queues of the sockets
// at its ports (/proc/net/tcp): the platform counts both.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr int ask_attempts = 5;
constexpr std::chrono::milliseconds pause_between_attempts{500};
constexpr std::chrono::seconds max_start_time{30};

std::string text_of(const http_request& request)
{
    std::string text =
        std::string{to_string(request.method)} + " " + request.target + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers)
        text += header.name + ": " + header.value + "\r\n";
    return text;
}

http_request ordinary_request(const std::string& path, const std::string& id,
                              const std::string& body)
{
    constexpr std::chrono::seconds patience{30};
    return caller_request({.id = id,
                           .path = path,
                           .key = "key-1",
                           .body = body,
                           .streams = path.starts_with("/chat/"),
                           .deadline = patience});
}

} // namespace

guarded_daemon::guarded_daemon(guarded_daemon_settings chosen)
    : m_settings{std::move(chosen)}, m_folder{"/tmp/jaynotch-hostile-" + std::to_string(getpid())},
      m_listen{free_address()}, m_ready_listen{free_address()}, m_peer_listen{free_address()},
      m_admin_listen{free_address()}, m_relay_listen{free_address()}
{
    std::filesystem::create_directories(m_folder);
    start_platform();
    start_process();
}

guarded_daemon::~guarded_daemon()
{
    m_process.reset();
    m_io.stop();
    m_platform.join();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void guarded_daemon::start_platform()
{
    m_store = store_standin::start(m_io.get_executor()).value();
    put_config_version(*m_store, 1, m_settings.configuration);
    const auto add = [&](runner_standin_settings one) {
        m_servers.push_back(
            runner_standin::start(m_io.get_executor(), m_store, std::move(one)).value());
    };
    for (const char* id : {"m-0", "m-1", "m-2", "m-3"})
        add({.id = id, .domain = "d0", .events = m_settings.stream_events, .gap = m_settings.gap});
    for (const char* id : {"a-0", "a-1", "a-2"}) {
        add({.id = id, .service = "app"});
        m_servers.back()->faults.padding = m_settings.answer_padding;
    }
    m_platform = std::thread{[this] {
        const auto work = asio::make_work_guard(m_io);
        m_io.run();
    }};
}

void guarded_daemon::start_process()
{
    const std::string settings_file = m_folder + "/settings.toml";
    std::ofstream{settings_file} << render_settings(
        {.node = "entry-0",
         .failure_domain = "zone-a",
         .listen = m_listen,
         .ready_listen = m_ready_listen,
         .peer_listen = m_peer_listen,
         .store = m_store->address(),
         .memory_mb = m_settings.memory_mb,
         .max_descriptors = m_settings.max_descriptors,
         .first_free_port = static_cast<unsigned>(std::stoul(port_of(m_relay_listen)))});
    std::vector<std::string> flags{"--settings=" + settings_file,
                                   "--admin_listen=" + m_admin_listen};
    flags.insert(flags.end(), m_settings.flags.begin(), m_settings.flags.end());
    m_process = start_daemon("ulimit -n " + std::to_string(m_settings.max_descriptors), flags,
                             m_folder + "/daemon.log");
    const auto until = std::chrono::steady_clock::now() + max_start_time;
    constexpr int ok = 200;
    bool serves = false;
    while (!serves && alive() && std::chrono::steady_clock::now() < until)
        serves = ask("/read/1") == ok && ask("/chat/1", "body") == ok;
    cr_assert(serves, "the daemon does not serve; see %s/daemon.log", m_folder.c_str());
}

std::string guarded_daemon::request(const std::string& path, const std::string& id,
                                    const std::string& body)
{
    const std::string length =
        body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text_of(ordinary_request(path, id, body)) + length + "\r\n" + body;
}

std::string guarded_daemon::head(const std::string& path, const std::string& id,
                                 const std::string& lines)
{
    const std::string any_body = "b";
    return text_of(ordinary_request(path, id, any_body)) + lines + "\r\n";
}

int guarded_daemon::ask_text(const std::string& text) const
{
    return status_of_answer(m_listen, text);
}

int guarded_daemon::ask_ready() const
{
    return status_of_answer(m_ready_listen, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
}

int guarded_daemon::ask(const std::string& path, const std::string& body) const
{
    static std::atomic<int> last_id{0};
    constexpr int ok = 200;
    int status = 0;
    for (int attempt = 0; attempt < ask_attempts && status != ok; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(pause_between_attempts);
        status = status_of_answer(m_listen,
                                  request(path, "ordinary-" + std::to_string(++last_id), body));
    }
    return status;
}

std::size_t guarded_daemon::memory() const
{
    std::size_t sum = peak_memory(m_process->pid());
    for (const std::string& port :
         {m_listen, m_ready_listen, m_peer_listen, m_admin_listen, m_relay_listen})
        sum += unread_bytes(port);
    return sum;
}

std::size_t guarded_daemon::sockets() const
{
    return open_sockets(m_process->pid());
}

void guarded_daemon::pause() const
{
    m_process->signal(SIGSTOP);
}

void guarded_daemon::resume() const
{
    m_process->signal(SIGCONT);
}

bool guarded_daemon::alive()
{
    return !m_process->poll().has_value();
}

void guarded_daemon::expect_within_bounds()
{
    cr_assert(alive(), "the process has ended");
    const std::size_t used = settled([this] { return memory(); });
    cr_expect_leq(used, m_settings.memory_mb * mib, "%zu MiB of %zu", used / mib,
                  m_settings.memory_mb);
    const std::size_t open = sockets();
    cr_expect_leq(open, m_settings.max_descriptors - file_descriptors,
                  "%zu sockets open of %zu descriptors, %zu of them for files", open,
                  m_settings.max_descriptors, file_descriptors);
}

void guarded_daemon::expect_sound()
{
    expect_within_bounds();
    constexpr int ok = 200;
    const int status = ask("/read/1");
    cr_expect_eq(status, ok, "an ordinary request is answered %d", status);
    expect_within_bounds(); // what the crowd sent has been taken by now
}

} // namespace jaynotch
