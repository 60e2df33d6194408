#include "config/node_registry.h"

#include <boost/json.hpp>

namespace jaynotch {

namespace {

constexpr std::chrono::seconds registration_ttl{3600};

std::string render_address(const std::string& address)
{
    return boost::json::serialize(boost::json::object{{"peer", address}});
}

/// The address in a registry entry; empty if the entry does not parse.
std::string parse_address(const std::string& text)
{
    boost::system::error_code failed;
    const boost::json::value value = boost::json::parse(text, failed);
    if (failed || !value.is_object())
        return {};
    const boost::json::value* peer = value.as_object().if_contains("peer");
    return peer != nullptr && peer->is_string() ? std::string{peer->as_string()} : std::string{};
}

} // namespace

node_registry::node_registry(kv_service& kv, std::string key_prefix, node_id node,
                             std::string address)
    : m_kv{kv}, m_prefix{std::move(key_prefix) + "node/"}, m_key{m_prefix + node.value()},
      m_address{std::move(address)}
{}

boost::asio::awaitable<result<void>> node_registry::renew()
{
    if (m_lease) {
        const auto renewed = co_await m_kv.keep_alive(*m_lease);
        if (renewed)
            co_return success();
        if (renewed.error().kind != error_kind::not_found)
            co_return renewed.error();
        m_lease.reset(); // expired, as in a long outage: register again
    }
    const auto lease = co_await m_kv.grant(registration_ttl);
    if (!lease)
        co_return lease.error();
    kv_transaction put;
    put.then.emplace_back(kv_put{m_key, render_address(m_address), lease.value().id});
    const auto done = co_await m_kv.transact(std::move(put));
    if (!done)
        co_return done.error();
    m_lease = lease.value().id;
    co_return success();
}

boost::asio::awaitable<result<std::vector<std::string>>> node_registry::peer_addresses()
{
    const auto range = co_await m_kv.get_prefix(m_prefix);
    if (!range)
        co_return range.error();
    std::vector<std::string> addresses;
    for (const kv_entry& entry : range.value().entries) {
        std::string address = parse_address(entry.value);
        if (entry.key != m_key && !address.empty())
            addresses.push_back(std::move(address));
    }
    co_return addresses;
}

} // namespace jaynotch
