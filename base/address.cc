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
    const std::string_view digits = address.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || failed != std::errc{} || end != digits.data() + digits.size())
        return malformed;
    boost::system::error_code not_an_ip;
    const auto ip = boost::asio::ip::make_address(std::string{host}, not_an_ip);
    if (not_an_ip)
        return malformed;
    return tcp::endpoint{ip, port};
}

std::string to_text(const tcp::endpoint& endpoint)
{
    const std::string ip = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

} // namespace jaynotch
