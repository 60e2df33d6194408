// Parses and formats the "IP:port" addresses of settings, tables and peer messages.
//
//   result<boost::asio::ip::tcp::endpoint> endpoint = parse_endpoint("10.0.0.5:8080");
//   to_text(endpoint.value());     // "10.0.0.5:8080"
#pragma once

#include "base/result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace jaynotch {

/// Parses "IP:port" or "[IPv6]:port"; anything else is an invalid_argument error. Host names are
/// not resolved. Port 0 is accepted, for listeners that bind to any free port.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// Whether a connection can be opened to the endpoint: it has a port and the address of one host.
bool is_connectable(const boost::asio::ip::tcp::endpoint& endpoint);

/// "IP:port", or "[IP]:port" for IPv6.
std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace jaynotch
