// Responses whose heads may not be believed, as bytes on the connection.
#include "http/scripted_server_testing.h"

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

std::string with_status(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nhi";
}

std::string with_field(const std::string& line)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nhi";
}

std::string in_chunks(const std::string& coding, const std::string& trailer = "")
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\nhi\r\n0\r\n" +
           trailer + "\r\n";
}

void expect_refused(const std::string& response)
{
    const result<http_response> received = receive({.broken = response});
    cr_expect(!received, "believed: %s", response.substr(0, 200).c_str());
    if (!received)
        cr_expect(received.error().kind == error_kind::protocol, "%s",
                  to_string(received.error()).c_str());
}

void expect_received(const std::string& response, unsigned status)
{
    const result<http_response> received = receive({.broken = response});
    cr_assert(received.has_value(), "%s", response.substr(0, 200).c_str());
    cr_expect_eq(static_cast<unsigned>(received.value().status), status);
    cr_expect_eq(received.value().body, "hi");
}

} // namespace

// Guards against a status that no server may send, passed on as an answer.
Test(odd_head, with_a_status_that_does_not_exist)
{
    for (const char* status : {"000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", ""})
        expect_refused(with_status(status));
}

// Guards against a registered or private status that the library has no name for, passed on as 000.
Test(odd_head, with_a_status_that_has_no_name_keeps_it)
{
    for (const unsigned status : {200U, 299U, 418U, 425U, 451U, 499U, 529U, 599U})
        expect_received(with_status(std::to_string(status)), status);
}

// Guards against a field whose name or value no server may send, passed on with the answer.
Test(odd_head, with_odd_bytes_in_a_field)
{
    for (const std::string line :
         {"A B: c", "A\tB: c", "A : c", " A: c", "A\x01: c", "A\x7f: c", "A\xe9: c", "A[]: c",
          ": c", "A", "A: b\x01", "A: b\x7f", "A: b\rc", "A\r: b"})
        expect_refused(with_field(line));
    expect_refused(with_field(std::string("A: b\0c", 6)));
    expect_refused(with_field(std::string("A\0: b", 5)));
}

// Guards against an interim response taken for the final one.
Test(odd_head, behind_interim_responses_is_received)
{
    const std::string final = with_status("200");
    for (const char* interim : {"100 Continue", "102 Processing", "103 Early Hints", "199 X"})
        expect_received("HTTP/1.1 " + std::string{interim} + "\r\nLink: x\r\n\r\n" + final, 200);
}

// Guards against a server that sends interim responses without end, and against an upgrade that
// nobody has asked for.
Test(odd_head, behind_too_many_interim_responses_or_an_upgrade_is_refused)
{
    std::string many;
    for (int sent = 0; sent < 2'000; ++sent)
        many += "HTTP/1.1 103 Early Hints\r\n\r\n";
    expect_refused(many + with_status("200"));
    expect_refused("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + with_status("200"));
}

// Guards against a body delivered with the marks of its chunks, or in a coding that nobody undoes.
Test(odd_head, with_a_coding_that_is_not_undone)
{
    for (const char* coding : {"gzip", "identity", "xchunked", "chunked, identity", "gzip, chunked",
                               "chunked, chunked", ""})
        expect_refused(in_chunks(coding));
    expect_refused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    expect_received(in_chunks("chunked"), 200);
    expect_received(in_chunks("Chunked"), 200);
}

// Guards against a body whose length the head states in two ways.
Test(odd_head, with_an_odd_length)
{
    for (const char* length : {"2, 3", "+2", "0x2", "-2", "99999999999999999999999", "2 2", ""})
        expect_refused("HTTP/1.1 200 OK\r\nContent-Length: " + std::string{length} + "\r\n\r\nhi");
    expect_refused(with_field("Content-Length: 3"));
    expect_refused(with_field("Transfer-Encoding: chunked"));
}

// Guards against a version of the protocol that this client does not speak.
Test(odd_head, with_another_version)
{
    for (const char* version : {"HTTP/2.0", "HTTP/0.9", "HTTP/1.2", "HTTP/11", "HTTP/1.10", "ICY"})
        expect_refused(std::string{version} + " 200 OK\r\nContent-Length: 2\r\n\r\nhi");
}

// Guards against a header of the answer that comes, or is changed, behind its body.
Test(odd_head, fields_of_a_trailer_are_no_headers)
{
    const result<http_response> received =
        receive({.broken = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: head\r\n\r\n"
                           "2\r\nhi\r\n0\r\nA: trailer\r\nB: trailer\r\n\r\n"});
    cr_assert(received.has_value());
    cr_expect_eq(received.value().header("A"), "head");
    cr_expect_eq(received.value().headers.count("A"), 1U);
    cr_expect_eq(received.value().header("B"), "");
}
