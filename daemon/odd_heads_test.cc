// Servers that answer with heads that may not be believed, before real daemons.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

namespace http = boost::beast::http;

/// The rest of a sound answer's head, of the request that it belongs to.
const std::string sound_fields = "Jaynotch-Attempt-Id: {id}\r\nJaynotch-Response-Seal: seal-1\r\n";

std::string sized(const std::string& status, const std::string& more_fields = "")
{
    return "HTTP/1.1 " + status + " X\r\n" + sound_fields + more_fields +
           "Content-Length: 2\r\n\r\nhi";
}

std::string in_chunks(const std::string& coding, const std::string& fields,
                      const std::string& trailer)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: " + coding +
           "\r\n\r\n2\r\nhi\r\n0\r\n" + trailer + "\r\n";
}

/// Lets all servers answer with these bytes, and asks a node once for each kind of request.
class odd_servers {
public:
    explicit odd_servers(std::size_t nodes) : m_fleet{{.nodes = nodes, .retry_extra = 1e6}}
    {
        if (nodes > 1)
            m_fleet.cut(0); // its requests go through the other node
    }

    template <class Check>
    void each(const std::string& bytes, Check check)
    {
        for (const char* path : {"/read/1", "/order/1", "/chat/1"}) {
            m_fleet.run(100ms); // servers that have failed are tried again
            for (const auto& server : m_fleet.servers)
                server->faults.raw_answer = bytes;
            const std::size_t before = m_fleet.executions();
            const result<http_response> answer = m_fleet.ask(0, path);
            cr_expect(m_fleet.executions() > before || std::string{path} == "/chat/1",
                      "no server was asked");
            cr_assert(answer.has_value(), "%s: %s", path, to_string(answer.error()).c_str());
            check(path, answer.value());
        }
    }

    void expect_refused(const std::string& bytes)
    {
        each(bytes, [&](const char* path, const http_response& answer) {
            const unsigned status = static_cast<unsigned>(answer.status);
            cr_expect(status >= 500 && status < 600, "%s: %u for %s", path, status, bytes.c_str());
            cr_expect_eq(answer.header("Jaynotch-Response-Seal"), "", "%s: sealed: %s", path,
                         bytes.c_str());
        });
    }

    void expect_passed_on(const std::string& bytes, unsigned status)
    {
        each(bytes, [&](const char* path, const http_response& answer) {
            if (std::string{path} == "/chat/1")
                return; // heads of groups are left alone for a while
            cr_expect_eq(static_cast<unsigned>(answer.status), status, "%s", path);
            cr_expect_eq(answer.header("Jaynotch-Response-Seal"), "seal-1");
            cr_expect_eq(answer.headers.count("Jaynotch-Response-Seal"), 1U);
            cr_expect_eq(answer.headers.count("Jaynotch-Attempt-Id"), 1U);
            cr_expect_eq(answer.body, "hi");
        });
    }

private:
    registry_fixture m_fleet;
};

void check_odd_heads(std::size_t nodes)
{
    odd_servers servers{nodes};
    for (const char* status : {"000", "099", "600", "999"})
        servers.expect_refused(sized(status));
    servers.expect_refused(sized("200", "A B: c\r\n"));
    servers.expect_refused(sized("200", "A\x01: c\r\n"));
    servers.expect_refused(sized("200", "Jaynotch-Response-Seal: seal-2\r\n"));
    servers.expect_refused(sized("500", "Jaynotch-Response-Seal: seal-2\r\n"));
    servers.expect_refused(sized("200", "Jaynotch-Attempt-Id: other\r\n"));
    for (const char* coding : {"gzip", "identity", "gzip, chunked"})
        servers.expect_refused(in_chunks(coding, sound_fields, ""));
    servers.expect_refused(in_chunks("chunked", "", sound_fields));
    for (const unsigned status : {418U, 425U, 422U})
        servers.expect_passed_on(sized(std::to_string(status)), status);
    servers.expect_passed_on("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sized("200"), 200);
    servers.expect_passed_on(in_chunks("chunked", sound_fields,
                                       "Jaynotch-Response-Seal: other\r\n"
                                       "Jaynotch-Attempt-Id: other\r\n"),
                             200);
}

} // namespace

// Guards against an answer with a status, field, coding or trailer that no sound server sends,
// passed on with the server's seal, and against sound ones that are not.
Test(odd_heads, of_servers)
{
    check_odd_heads(1);
}

// Guards against the same through another node.
Test(odd_heads, of_servers_through_another_node)
{
    check_odd_heads(2);
}
