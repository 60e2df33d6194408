#include "hostile/own_daemon.h"

#include "hostile/probes.h"
#include "scenarios/free_address.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>

// The memory is stated in the environment, where every flag may be set.

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int ok = 200;
constexpr std::size_t mib = 1024 * 1024;
constexpr int polls = 100;
constexpr std::chrono::milliseconds poll_interval{200};
const std::string health_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

own_daemon::own_daemon(bool tls)
    : m_tls{tls}, m_folder{"/tmp/jaynotch-own-" + std::to_string(getpid())},
      m_listen{free_address()}, m_peer_listen{free_address()}, m_admin_listen{free_address()}
{
    std::filesystem::create_directories(m_folder);
    m_platform = standin_fleet::start(m_io.get_executor(), {.plain = {"app"}}).value();
    m_platform_thread = std::thread{[this] {
        const auto work = asio::make_work_guard(m_io);
        m_io.run();
    }};
    if (tls)
        make_certificate();
    start_process();
}

own_daemon::~own_daemon()
{
    m_process.reset();
    m_io.stop();
    m_platform_thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void own_daemon::make_certificate() const
{
    child_process made =
        child_process::start({"/usr/bin/openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt",
                              "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2", "-subj",
                              "/CN=entry-0", "-keyout", m_folder + "/key.pem", "-out",
                              m_folder + "/certificate.pem"},
                             m_folder + "/openssl.log")
            .value();
    for (int poll = 0; poll < polls && !made.poll(); ++poll)
        std::this_thread::sleep_for(poll_interval);
    cr_assert_eq(made.poll().value_or(-1), 0, "openssl made no certificate");
}

void own_daemon::start_process()
{
    std::vector<std::string> flags{"--node=entry-0",
                                   "--failure_domain=a",
                                   "--deployment=test",
                                   "--listen=" + m_listen,
                                   "--peer_listen=" + m_peer_listen,
                                   "--admin_listen=" + m_admin_listen,
                                   "--key_value=" + m_platform->kv().address(),
                                   "--vm_list=" + m_platform->vms().address(),
                                   "--weight_store=" + m_platform->weights().address(),
                                   "--body_stall_ms=600000"};
    if (m_tls) {
        flags.push_back("--caller_certificate=" + m_folder + "/certificate.pem");
        flags.push_back("--caller_key=" + m_folder + "/key.pem");
    }
    m_process = start_daemon("export JAYNOTCH_MEMORY_MB=" + std::to_string(memory_mb), flags,
                             m_folder + "/daemon.log");
    for (int poll = 0; poll < polls && ask() != ok; ++poll)
        std::this_thread::sleep_for(poll_interval);
    cr_assert_eq(ask(), ok, "the daemon does not answer; see %s", m_folder.c_str());
    apply_tables();
}

void own_daemon::apply_tables() const
{
    const boost::json::object change{
        {"routes", "deployment = \"test\"\n[[route]]\nname = \"app\"\nkind = \"plain\"\n"
                   "path_prefix = \"/app\"\nworkspaces = [\"*\"]\npool = \"app\"\n"
                   "repeat = \"never\"\ntimeout_ms = 5000\n"},
        {"pools", "deployment = \"test\"\n[[pool]]\nname = \"app\"\nkind = \"plain\"\n"
                  "servers = [\"" +
                      m_platform->plain(0).address() + "\"]\n"},
        {"base_revision", 0},
        {"author", "test"},
        {"message", "test"},
        {"change_id", "change-1"}};
    const std::string body = boost::json::serialize(change);
    const int status =
        status_of_answer(m_admin_listen, "POST /admin/v1/apply HTTP/1.1\r\nHost: a\r\n"
                                         "Content-Length: " +
                                             std::to_string(body.size()) + "\r\n\r\n" + body);
    cr_assert_eq(status, ok, "the tables are not accepted: %d", status);
}

int own_daemon::ask() const
{
    return m_tls ? ask_with_tls() : status_of_answer(m_listen, health_request);
}

int own_daemon::ask_with_tls() const
{
    asio::io_context io;
    asio::ssl::context context{asio::ssl::context::tls_client};
    asio::ssl::stream<tcp::socket> stream{io, context};
    boost::system::error_code failed;
    stream.next_layer().connect(parse_endpoint(m_listen).value(), failed);
    if (!failed)
        stream.handshake(asio::ssl::stream_base::client, failed);
    if (!failed)
        asio::write(stream, asio::buffer(health_request), failed);
    std::array<char, 12> head{}; // "HTTP/1.1 200"
    if (!failed)
        asio::read(stream, asio::buffer(head), failed);
    constexpr std::size_t status_at = 9;
    return failed ? 0 : std::stoi(std::string{head.data() + status_at, head.size() - status_at});
}

std::size_t own_daemon::memory() const
{
    return peak_memory(m_process->pid()) + unread_bytes(m_listen);
}

void own_daemon::expect_sound()
{
    int status = 0;
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts && status != ok; ++attempt) {
        std::this_thread::sleep_for(poll_interval * attempt);
        status = ask();
    }
    cr_assert(!m_process->poll().has_value(), "the process has ended");
    cr_expect_eq(status, ok, "an ordinary request is answered %d", status);
    const std::size_t used = settled([this] { return memory(); });
    cr_expect_leq(used, memory_mb * mib, "%zu MiB of %zu", used / mib, memory_mb);
}

} // namespace jaynotch
