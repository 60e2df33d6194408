// Addresses as settings, tables and peers write them.
//
//   result<boost::asio::ip::tcp::endpoint> where = parse_endpoint("10.0.0.5:8080");
//   to_text(where.value());     // "10.0.0.5:8080"
#pragma once

#include "base/result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace jaynotch {

/// Reads "IP:port" or "[IPv6]:port". Names are not looked up; port 0 is let through, for listeners
/// that take a free one. invalid_argument otherwise.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace jaynotch
