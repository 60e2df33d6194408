// Answers that end early, at each of their bytes. The client must report none of them as a success.
#include "http/scripted_server_testing.h"

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

bool is_success(const result<http_response>& answer)
{
    return answer && http::to_status_class(answer.value().status) == http::status_class::successful;
}

/// Checks that no success comes of the first bytes of `answer`, for any number below `end`.
void check_every_byte(const std::string& answer, std::size_t end, http::verb method,
                      const std::string& whole, ending how)
{
    // On a connection that was used before, a repeatable request is sent again on a new one.
    const std::vector<bool> kinds = whole.empty() ? std::vector{false, true} : std::vector{false};
    for (const bool repeatable : kinds) {
        for (std::size_t bytes = 0; bytes < end; ++bytes) {
            const script sent{whole, answer.substr(0, bytes), how};
            cr_expect_not(is_success(receive(sent, method, repeatable)),
                          "a success from %zu of %zu bytes", bytes, answer.size());
        }
    }
    cr_expect(is_success(receive({whole, answer, ending::close}, method, false)));
}

const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "5\r\nhello\r\n0\r\nTrailer: z\r\n\r\n";
const std::string unframed = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";

void check_both_endings(const std::string& answer, http::verb method = http::verb::get,
                        const std::string& whole = {})
{
    for (const ending how : {ending::close, ending::reset})
        check_every_byte(answer, answer.size(), method, whole, how);
}

} // namespace

// Guards against a success from an answer that ends inside its head or body.
Test(truncated_answer, with_a_length)
{
    check_both_endings(sized);
}

// Guards against a success from an answer that ends inside its head, a chunk's size or its trailer.
Test(truncated_answer, in_chunks)
{
    check_both_endings(chunked);
}

// Guards against a success from an answer that ends inside its head, where the end of the
// connection is the end of the body.
Test(truncated_answer, that_ends_with_its_connection)
{
    check_every_byte(unframed, unframed.find("\r\n\r\n") + 4, http::verb::get, {}, ending::close);
    check_every_byte(unframed, unframed.size(), http::verb::get, {}, ending::reset);
}

// Guards against a success from the truncated head of an answer without a body.
Test(truncated_answer, to_a_head_request)
{
    const std::string head = sized.substr(0, sized.find("\r\n\r\n") + 4);
    check_both_endings(head, http::verb::head);
}

// Guards against a success from what is left of an answer on a connection that was used before.
Test(truncated_answer, after_a_whole_one_on_the_same_connection)
{
    check_both_endings(sized, http::verb::get, sized);
    check_both_endings(chunked, http::verb::get, sized);
}
