// Tests of the command line against a fake daemon: output, exit codes, and that a change is never
// applied twice or silently lost.
#include "cli/admin_client.h"
#include "cli/cli.h"
#include "cli/commands.h"
#include "cli/working_copy.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

using namespace jaynotch;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// One scripted answer; with an empty body the connection is closed without an answer.
struct scripted_answer {
    http::status status = http::status::ok;
    std::string body;
};

/// Serves one connection after the other with scripted answers, on its own thread.
class fake_daemon {
public:
    explicit fake_daemon(std::vector<scripted_answer> script)
        : m_acceptor{m_io, {asio::ip::make_address("127.0.0.1"), 0}},
          m_thread{[this, answers = std::move(script)] { serve(answers); }}
    {}
    ~fake_daemon() { m_thread.join(); }
    fake_daemon(const fake_daemon&) = delete;
    fake_daemon& operator=(const fake_daemon&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    const std::vector<std::string>& bodies() const { return m_bodies; }

private:
    void serve(const std::vector<scripted_answer>& script)
    {
        for (const scripted_answer& answer : script) {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request);
            m_bodies.push_back(request.body());
            if (answer.body.empty())
                continue;
            http::response<http::string_body> response{answer.status, 11, answer.body};
            response.prepare_payload();
            http::write(socket, response);
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_bodies;
    std::thread m_thread;
};

/// Temporary folder, removed by the destructor.
class scratch_folder {
public:
    scratch_folder()
        : m_path{std::filesystem::temp_directory_path() /
                 ("jaynotch-cli-" + std::to_string(::getpid()))}
    {
        std::filesystem::create_directories(m_path);
    }
    ~scratch_folder() { std::filesystem::remove_all(m_path); }
    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

working_copy small_tables()
{
    return {"deployment = \"d\"\n[[route]]\nname = \"r\"\nmodel = \"m\"\nworkspaces = [\"*\"]\n"
            "pool = \"p\"\n",
            "deployment = \"d\"\n[[pool]]\nname = \"p\"\nmodel = \"m\"\nversion = \"1\"\n", 3};
}

std::string unused_address()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::int64_t locked_revision(const scratch_folder& folder)
{
    return read_working_copy(folder.path()).value().base_revision;
}

} // namespace

Test(apply, writes_the_lock_and_waits_for_every_node)
{
    const scratch_folder folder;
    write_working_copy(folder.path(), small_tables()).value();
    fake_daemon daemon{{
        {http::status::ok, R"({"revision":4,"merged":false})"},
        {http::status::ok, R"({"nodes":[{"node":"a","state":"alive","revision":4},
                               {"node":"b","state":"alive","revision":3}]})"},
        {http::status::ok, R"({"nodes":[{"node":"a","state":"alive","revision":5},
                               {"node":"b","state":"alive","revision":4}]})"},
    }};
    cli_options options;
    options.directory = folder.path();
    options.admin = {daemon.address()};
    options.wait = true;
    std::ostringstream out;
    std::ostringstream progress;
    const auto code = run_apply({options, out, progress});
    cr_assert(code.value() == exit_code::succeeded);
    cr_assert_eq(locked_revision(folder), 4);
    cr_assert(progress.str().find("waiting for b (alive, revision 3)") != std::string::npos);
}

// After a merge the local files lack the rows that others added. If the lock file advanced to the
// merged revision, the next apply from these files would treat those rows as deleted and revert the
// others' change.
Test(apply, a_merge_keeps_the_base_revision)
{
    const scratch_folder folder;
    write_working_copy(folder.path(), small_tables()).value();
    fake_daemon daemon{{{http::status::ok, R"({"revision":7,"merged":true})"}}};
    cli_options options;
    options.directory = folder.path();
    options.admin = {daemon.address()};
    std::ostringstream out;
    std::ostringstream progress;
    cr_assert(run_apply({options, out, progress}).value() == exit_code::succeeded);
    cr_assert_eq(locked_revision(folder), 3);
    cr_assert(out.str().find("jaynotch fetch") != std::string::npos);
}

// The daemon closes the connection after it received the change, which may have been accepted.
// Sending the change to the next daemon could apply it twice, and reporting a failure could be
// wrong.
Test(apply, an_unanswered_change_is_unknown_and_not_resent)
{
    const scratch_folder folder;
    write_working_copy(folder.path(), small_tables()).value();
    fake_daemon daemon{{{http::status::ok, ""}}};
    cli_options options;
    options.directory = folder.path();
    options.change_id = "once";
    options.admin = {daemon.address(), unused_address()};
    std::ostringstream out;
    std::ostringstream progress;
    const auto code = run_apply({options, out, progress});
    cr_assert(!code && code.error().kind == error_kind::unknown_outcome);
    cr_assert(code.error().remedy.find("--change_id=once") != std::string::npos);
    cr_assert_eq(locked_revision(folder), 3);
    cr_assert(to_exit_code(code.error().kind) == exit_code::outcome_unknown);
}

// Invalid tables must be refused before any daemon is called. The configured address has no
// listener, so a call would fail with another kind of error.
Test(apply, invalid_tables_are_not_sent)
{
    const scratch_folder folder;
    working_copy copy = small_tables();
    copy.routes += "prioritty = \"batch\"\n";
    write_working_copy(folder.path(), copy).value();
    cli_options options;
    options.directory = folder.path();
    options.admin = {unused_address()};
    std::ostringstream out;
    std::ostringstream progress;
    const auto code = run_apply({options, out, progress});
    cr_assert(!code && code.error().kind == error_kind::invalid_table);
}

Test(admin_client, skips_an_unreachable_daemon)
{
    fake_daemon daemon{{{http::status::ok, R"({"ready":true})"}}};
    cli_options options;
    options.admin = {unused_address(), daemon.address()};
    cr_assert(admin_client{options}.get("/admin/v1/status").has_value());
}

Test(admin_client, an_error_answer_keeps_kind_message_and_remedy)
{
    fake_daemon daemon{
        {{http::status::conflict, R"({"error":{"kind":"conflict","message":"m","remedy":"r"}})"},
         {http::status::bad_gateway, "<html>"},
         {http::status::ok, "{\"cut\":"}}};
    cli_options options;
    options.admin = {daemon.address()};
    admin_client client{options};
    const error expected{error_kind::conflict, "m", "r"};
    cr_assert(client.get("/").error() == expected);
    cr_assert(client.get("/").error().kind == error_kind::protocol);
    cr_assert(client.get("/").error().kind == error_kind::protocol);
}

Test(working_copy, an_invalid_lock_is_reported)
{
    const scratch_folder folder;
    write_working_copy(folder.path(), small_tables()).value();
    std::ofstream{folder.path() + "/revision.lock"} << "three\n";
    const auto copy = read_working_copy(folder.path());
    cr_assert(!copy && copy.error().kind == error_kind::invalid_argument);
}

// The lines of one request are spread over the logs of two nodes, among lines of other requests.
// The timeline shows them in order, with state changes of the nodes that handled the request and
// none of other nodes.
Test(explain, shows_one_requests_timeline_from_the_logs_of_several_nodes)
{
    const scratch_folder folder;
    const auto line = [](int at, const std::string& node, const std::string& kind,
                         const std::string& more) {
        return R"({"ts_ms":)" + std::to_string(1'000'000 + at) +
               R"(,"level":"info","program":"p",)" + R"("instance":")" + node + R"(","kind":")" +
               kind + "\"" + more + "}\n";
    };
    std::ofstream{folder.path() + "/a.log"}
        << line(50, "a", "request_refused", R"(,"request":"r1","status":503)")
        << line(0, "a", "request_admitted", R"(,"request":"r1","model":"m")")
        << line(10, "a", "group_silent", R"(,"group":"g1")")
        << line(20, "a", "request_sent", R"(,"request":"r2")") << "no JSON\n";
    std::ofstream{folder.path() + "/b.log"}
        << line(15, "b", "group_silent", R"(,"group":"g2")")
        << "2026 b: " << line(90, "c", "request_finished", R"(,"request":"r1","status":200)");
    cli_options options;
    options.arguments = {"explain", "r1", folder.path() + "/a.log", folder.path() + "/b.log"};
    std::ostringstream out;
    cr_assert(run_explain({options, out, out}).value() == exit_code::succeeded);
    const std::string text = out.str();
    const std::size_t admitted = text.find("request_admitted");
    const std::size_t silent = text.find("(group_silent)");
    const std::size_t refused = text.find("request_refused");
    const std::size_t finished = text.find("request_finished");
    cr_assert(admitted < silent && silent < refused && refused < finished, "%s", text.c_str());
    cr_assert(text.find("r2") == std::string::npos && text.find("g2") == std::string::npos);
    options.arguments = {"explain", "unknown", folder.path() + "/a.log"};
    cr_assert(run_explain({options, out, out}).error().kind == error_kind::not_found);
}

// Each request is counted once, under its cause. Data missing from the log is reported: a request
// without a pause_ms field, as older daemons write it, lines dropped by the daemon, and a truncated
// line.
Test(losses, counts_late_and_unserved_requests_by_cause)
{
    const scratch_folder folder;
    const auto line = [](int at, const std::string& kind, const std::string& more) {
        return R"({"ts_ms":)" + std::to_string(1'000'000 + at) +
               R"(,"level":"info","program":"p","instance":"a","kind":")" + kind + "\"" + more +
               "}\n";
    };
    const auto request_log_lines = [&](const std::string& name, int waited, int first,
                                       const std::string& end) {
        const std::string request = R"(,"request":")" + name + "\"";
        return line(0, "request_admitted", request) +
               line(waited, "request_sent",
                    request + R"(,"sending":1,"route":"chat","first_target_ms":300,)" +
                        R"("pause_target_ms":200,"waited_ms":)" + std::to_string(waited)) +
               line(first, "request_finished",
                    request + R"(,"first_ms":)" + std::to_string(first) + end);
    };
    const std::string refusal_fields =
        R"(,"request":"r6","route":"chat","kind_of_error":"overloaded")";
    std::ofstream{folder.path() + "/a.log"}
        << request_log_lines("r1", 0, 100, R"(,"pause_ms":50)")
        << request_log_lines("r2", 0, 400, R"(,"pause_ms":50)")
        << request_log_lines("r3", 250, 400, R"(,"pause_ms":50)")
        << request_log_lines("r4", 0, 100, R"(,"pause_ms":350)")
        << request_log_lines("r5", 0, 100, "")
        << line(2500, "request_admitted", R"(,"request":"r6")")
        << line(2500, "request_refused", refusal_fields)
        << line(2600, "runners_used", R"(,"subject":"d","detail":"d0 open m 1, d0 warm m 2")")
        << line(2700, "log_dropped", R"(,"lines":{"request_sent":7})") << R"({"ts_ms":10000)";
    cli_options options;
    options.arguments = {"losses", folder.path() + "/a.log"};
    std::ostringstream out;
    cr_assert(run_losses({options, out, out}).value() == exit_code::succeeded);
    const std::string text = out.str();
    const auto row = [&](const std::string& name) {
        const std::size_t from = text.find("\n" + name + " ") + 1;
        std::istringstream cells{text.substr(from, text.find('\n', from) - from)};
        std::string joined;
        for (std::string cell; cells >> cell;)
            joined += (joined.empty() ? "" : " ") + cell;
        return joined;
    };
    cr_assert_eq(row("chat"), "chat 6 2 1 1 0 1 1 0 0 0", "%s", text.c_str());
    cr_assert_eq(row("2"), "2 1 0 0 0 0 0 1 0 0 0 1 2 warm m 2", "%s", text.c_str());
    for (const char* note : {"refused as overloaded: 1", "1 lines could not be read",
                             "7 lines were dropped", "1 requests were finished by daemons"})
        cr_assert(text.find(note) != std::string::npos, "%s in %s", note, text.c_str());
    options.arguments = {"losses", folder.path() + "/none.log"};
    cr_assert(run_losses({options, out, out}).error().kind == error_kind::not_found);
    std::ofstream{folder.path() + "/other.log"} << "no line of ours\n";
    options.arguments = {"losses", folder.path() + "/other.log"};
    cr_assert(run_losses({options, out, out}).error().kind == error_kind::not_found);
}

Test(calls, store_calls_are_summed_by_time_and_by_node)
{
    const scratch_folder folder;
    const auto line = [](int at, const std::string& node, int watches, int failed) {
        return R"({"ts_ms":)" + std::to_string(1'000'000 + at) +
               R"(,"level":"info","program":"p","instance":")" + node +
               R"(","kind":"store_calls","reads":0,"pages":2,"watches":)" +
               std::to_string(watches) + R"(,"transactions":1,"renewals":3,"leases":0,"failed":)" +
               std::to_string(failed) + "}\n";
    };
    std::ofstream{folder.path() + "/a.log"} << line(0, "a", 10, 0) << line(10'000, "a", 20, 1)
                                            << line(10'500, "b", 90, 0) << "cut short";
    cli_options options;
    options.arguments = {"calls", folder.path() + "/a.log"};
    std::ostringstream out;
    cr_assert(run_calls({options, out, out}).value() == exit_code::succeeded);
    const std::string text = out.str();
    const auto cells = [&](const std::string& name) {
        const std::size_t from = text.find("\n" + name + " ") + 1;
        std::istringstream row{text.substr(from, text.find('\n', from) - from)};
        return std::vector<std::string>{std::istream_iterator<std::string>{row}, {}};
    };
    const std::vector<std::string> all{"all", "138", "0", "6", "120", "3", "9", "0", "1"};
    const std::vector<std::string> later{"10", "122", "0", "4", "110", "2", "6", "0", "1"};
    cr_assert(cells("all") == all, "%s", text.c_str());
    cr_assert(cells("10") == later, "%s", text.c_str());
    cr_assert_lt(text.find("\nb "), text.find("\na "), "the most frequent caller comes first");
    options.arguments = {"calls", folder.path() + "/none.log"};
    cr_assert(run_calls({options, out, out}).error().kind == error_kind::not_found);
    std::ofstream{folder.path() + "/other.log"} << "no line of ours\n";
    options.arguments = {"calls", folder.path() + "/other.log"};
    cr_assert(run_calls({options, out, out}).error().kind == error_kind::not_found);
}

Test(exit_codes, every_error_kind_has_a_failure_code)
{
    for (const auto& entry : enum_names<error_kind>::entries)
        cr_assert(to_exit_code(entry.value) != exit_code::succeeded);
}

// Guards against a report that leaves out requests refused before they were read: they have no
// line of their arrival, and most of them are counted in sums.
Test(losses, requests_refused_on_arrival_are_counted)
{
    const scratch_folder folder;
    const auto line = [](int at_ms, const std::string& kind, const std::string& more) {
        return R"({"ts_ms":)" + std::to_string(10'000 + at_ms) +
               R"(,"level":"warning","program":"p","instance":"a","kind":")" + kind + "\"" + more +
               "}\n";
    };
    const std::string refusal = R"(,"kind_of_error":"overloaded","age_ms":0)";
    std::ofstream{folder.path() + "/a.log"}
        << line(0, "request_admitted", R"(,"request":"r1")")
        << line(100, "request_finished", R"(,"request":"r1","first_ms":10,"pause_ms":5)")
        << line(200, "request_refused", R"(,"request":"r2")" + refusal)
        << line(900, "requests_refused", R"(,"count":40,"kind_of_error":"overloaded")");
    cli_options options;
    options.arguments = {"losses", folder.path() + "/a.log"};
    std::ostringstream out;
    cr_assert(run_losses({options, out, out}).value() == exit_code::succeeded);
    const std::string text = out.str();
    cr_assert(text.find("refused as overloaded: 41") != std::string::npos, "%s", text.c_str());
}
