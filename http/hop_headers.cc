#include "http/hop_headers.h"

#include <algorithm>
#include <array>

namespace jaynotch {

namespace {

namespace http = boost::beast::http;

/// Removed from requests and responses alike.
constexpr std::array common_hop_headers{
    http::field::connection, http::field::keep_alive,     http::field::proxy_connection,
    http::field::te,         http::field::trailer,        http::field::transfer_encoding,
    http::field::upgrade,    http::field::content_length,
};

bool is_hop_header(http::field name)
{
    return std::find(common_hop_headers.begin(), common_hop_headers.end(), name) !=
           common_hop_headers.end();
}

} // namespace

bool is_request_hop_header(http::field name)
{
    return is_hop_header(name) || name == http::field::expect;
}

bool is_response_hop_header(http::field name)
{
    return is_hop_header(name) || name == http::field::proxy_authenticate;
}

} // namespace jaynotch
