#include "base/address.h"

#include <charconv>

namespace jaynotch {

using boost::asio::ip::tcp;

result<tcp::endpoint> parse_endpoint(std::string_view address)
{
    const error malformed{error_kind::invalid_argument,
                          "\"" + std::string{address} + "\" is not an address",
                          "write IP:port, for example 10.0.0.5:8080"};
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    std::string_view host = address.substr(0, colon);
    const std::string_view port_text = address.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, port_error] =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (port_text.empty() || port_error != std::errc{} ||
        end != port_text.data() + port_text.size())
        return malformed;
    boost::system::error_code ip_error;
    const auto ip = boost::asio::ip::make_address(std::string{host}, ip_error);
    if (ip_error)
        return malformed;
    return tcp::endpoint{ip, port};
}

bool is_connectable(const tcp::endpoint& endpoint)
{
    const auto ip = endpoint.address();
    const bool broadcast = ip.is_v4() && ip.to_v4() == boost::asio::ip::address_v4::broadcast();
    return endpoint.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast;
}

std::string to_text(const tcp::endpoint& endpoint)
{
    const std::string ip = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

} // namespace jaynotch
