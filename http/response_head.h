// Whether the head of a response may be believed. Every client checks it before it reads the body
// or takes anything from the head.
//
//   if (is_interim(head)) ...                                // read on, the final one follows
//   if (const error_code broken = check_response_head(head)) ... // an answer of no use
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace jaynotch {

/// Interim responses before a final one; with more, the server counts as broken.
constexpr std::size_t max_interim_responses = 16;

using response_head = boost::beast::http::response_header<>;

/// Whether the final response follows. 101 is none: it ends HTTP, and no client here asks for that.
bool is_interim(const response_head& head);

/// Errors, all of Beast's category for broken messages: bad_version, bad_status if it is no final
/// status (200 to 599), bad_field and bad_value for bytes that may not be in a field, and
/// bad_transfer_encoding for a coding that is not undone here.
boost::system::error_code check_response_head(const response_head& head);

/// The status as a number. Beast's own enumeration lacks many and turns these into 0.
boost::beast::http::status status_of(const response_head& head);

} // namespace jaynotch
