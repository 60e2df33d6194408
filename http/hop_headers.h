// Headers that a proxy does not forward: hop-by-hop headers (RFC 9110, section 7.6.1) and those
// that frame the message on each connection, such as Content-Length.
//
//   if (!is_request_hop_header(field.name())) forwarded.insert(...);
#pragma once

#include <boost/beast/http/field.hpp>

namespace jaynotch {

/// Whether `name` is removed from a request that is forwarded to a backend server.
bool is_request_hop_header(boost::beast::http::field name);
/// Whether `name` is removed from a response that is forwarded to the caller.
bool is_response_hop_header(boost::beast::http::field name);

} // namespace jaynotch
