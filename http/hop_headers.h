// Headers that a relay never passes on: those that concern one connection only (RFC 9110, 7.6.1),
// and those that each connection frames anew.
//
//   if (!is_request_hop_header(field.name())) forwarded.insert(...);
#pragma once

#include <boost/beast/http/field.hpp>

namespace jaynotch {

/// Of a request on its way to a backend server.
bool is_request_hop_header(boost::beast::http::field name);
/// Of an answer on its way to the caller.
bool is_response_hop_header(boost::beast::http::field name);

} // namespace jaynotch
