// Fuzzes the check of response heads. What it accepts must look so to a reading of the raw bytes
// that does without the parser.
#include "http/response_head.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdlib>
#include <string_view>

using namespace jaynotch;

namespace {

namespace http = boost::beast::http;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

/// The status line and the names of the fields, as far as the check promises something of them.
void check_raw(std::string_view raw)
{
    constexpr std::size_t status_at = std::string_view{"HTTP/1.1 "}.size();
    require(raw.starts_with("HTTP/1.0 ") || raw.starts_with("HTTP/1.1 "));
    require(raw.size() > status_at && raw[status_at] >= '1' && raw[status_at] <= '5');
    std::size_t line = raw.find("\r\n") + 2;
    for (std::size_t end = raw.find("\r\n", line); end != std::string_view::npos && end > line;
         line = end + 2, end = raw.find("\r\n", line))
    {
        const std::string_view text = raw.substr(line, end - line);
        if (text.front() == ' ' || text.front() == '\t')
            continue; // goes on with the line before
        const std::size_t colon = text.find(':');
        require(colon != std::string_view::npos && colon > 0);
        for (const char character : text.substr(0, colon))
            require(character > ' ' && character < '\x7f');
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view raw{reinterpret_cast<const char*>(data), size};
    http::response_parser<http::buffer_body> parser;
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(data, size), failed);
    if (!parser.is_header_done() || check_response_head(parser.get().base()))
        return 0;
    check_raw(raw);
    const auto status = static_cast<unsigned>(status_of(parser.get().base()));
    require(status >= 100 && status <= 599);
    return 0;
}
