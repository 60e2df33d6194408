#include "http/response_head.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>

// The parser rejects most of this by itself, but it accepts any three digits as a status, and takes
// a body whose last coding is not `chunked` as one that ends with the connection, marks of chunks
// included. All rules are checked here, so that none depends on what the parser lets pass.

namespace jaynotch {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned switching_protocols = 101;
constexpr unsigned http_1_0 = 10; ///< as Beast writes versions
constexpr unsigned http_1_1 = 11;

/// RFC 9110, 5.6.2: the characters of a field's name.
bool is_token_character(char character)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool letter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return letter || (character >= '0' && character <= '9') ||
           others.find(character) != std::string_view::npos;
}

/// RFC 9110, 5.5: visible and 8-bit characters, blanks and tabs.
bool is_value_character(char character)
{
    constexpr char del = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= ' ' && character != del);
}

error_code check_field(const http::fields::value_type& field)
{
    const beast::string_view name = field.name_string();
    const beast::string_view value = field.value();
    if (name.empty() || !std::all_of(name.begin(), name.end(), is_token_character))
        return http::make_error_code(http::error::bad_field);
    if (!std::all_of(value.begin(), value.end(), is_value_character))
        return http::make_error_code(http::error::bad_value);
    return {};
}

/// `chunked` alone, once, in HTTP/1.1: RFC 9112, 6.1, less the codings that nobody undoes here.
bool is_known_coding(const response_head& head)
{
    return head.version() == http_1_1 && head.count(http::field::transfer_encoding) == 1 &&
           beast::iequals(head[http::field::transfer_encoding], "chunked");
}

} // namespace

bool is_interim(const response_head& head)
{
    return head.result_int() / 100 == 1 && head.result_int() != switching_protocols;
}

error_code check_response_head(const response_head& head)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    if (head.version() != http_1_0 && head.version() != http_1_1)
        return http::make_error_code(http::error::bad_version);
    const unsigned status = head.result_int();
    if (!is_interim(head) && (status < first_final || status > last_final))
        return http::make_error_code(http::error::bad_status);
    for (const auto& field : head) {
        if (const error_code broken = check_field(field))
            return broken;
    }
    if (head.count(http::field::transfer_encoding) > 0 && !is_known_coding(head))
        return http::make_error_code(http::error::bad_transfer_encoding);
    return {};
}

http::status status_of(const response_head& head)
{
    return static_cast<http::status>(head.result_int());
}

} // namespace jaynotch
