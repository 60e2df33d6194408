#include "daemon/settings.h"

#include <filesystem>

// Each rule names the flag, so that the error shows operators the name that they wrote.

namespace jaynotch {

namespace {

error setting_error(std::string_view flag, std::string_view what, std::string_view remedy)
{
    return error{error_kind::invalid_argument, "--" + std::string{flag} + " " + std::string{what},
                 std::string{remedy}};
}

result<void> check_address(std::string_view flag, const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed)
        return setting_error(flag, "is \"" + text + "\", " + parsed.error().message,
                             parsed.error().remedy);
    return success();
}

result<void> check_file(std::string_view flag, const std::string& path)
{
    std::error_code ignored;
    if (!path.empty() && !std::filesystem::is_regular_file(path, ignored))
        return setting_error(flag, "is \"" + path + "\", which is not a regular file",
                             "give the path of a PEM file");
    return success();
}

result<void> check_tls(const std::string& prefix, const tls_files& files)
{
    if (files.certificate.empty() != files.key.empty())
        return setting_error(prefix + "_certificate", "and its key must be set together",
                             "set both --" + prefix + "_certificate and --" + prefix +
                                 "_key, or neither");
    if (!files.authority.empty() && !files.enabled())
        return setting_error(prefix + "_authority", "is set without a certificate",
                             "set --" + prefix + "_certificate too");
    BOOST_OUTCOME_TRY(check_file(prefix + "_certificate", files.certificate));
    BOOST_OUTCOME_TRY(check_file(prefix + "_key", files.key));
    return check_file(prefix + "_authority", files.authority);
}

result<void> check_positive(std::string_view flag, std::chrono::milliseconds value)
{
    if (value.count() <= 0)
        return setting_error(flag, "is not positive", "give milliseconds, 1 or more");
    return success();
}

result<void> check_timeouts(const daemon_timeouts& timeouts)
{
    BOOST_OUTCOME_TRY(check_positive("header_timeout_ms", timeouts.http.header));
    BOOST_OUTCOME_TRY(check_positive("body_stall_ms", timeouts.http.body_stall));
    BOOST_OUTCOME_TRY(check_positive("idle_timeout_ms", timeouts.http.idle));
    BOOST_OUTCOME_TRY(check_positive("write_stall_ms", timeouts.http.write_stall));
    if (timeouts.http.min_bytes_s == 0)
        return setting_error("min_client_bytes_s", "is 0", "give 1 or more");
    BOOST_OUTCOME_TRY(check_positive("connect_timeout_ms", timeouts.connect));
    BOOST_OUTCOME_TRY(check_positive("stream_stall_ms", timeouts.stream_stall));
    BOOST_OUTCOME_TRY(check_positive("upstream_idle_ms", timeouts.upstream_idle));
    BOOST_OUTCOME_TRY(check_positive("order_horizon_ms", timeouts.order_horizon));
    if (timeouts.balancer_wait.count() < 0)
        return setting_error("balancer_wait_ms", "is negative", "give milliseconds, 0 or more");
    return check_positive("longest_stop_ms", timeouts.max_stop_time);
}

result<void> check_limits(const daemon_limits& limits)
{
    if (limits.http.header_bytes < 1024)
        return setting_error("max_header_bytes", "is below 1024", "give 1024 or more");
    if (limits.model_body_bytes == 0 || limits.answer_bytes == 0 || limits.keyed_body_bytes == 0)
        return setting_error("max_body_bytes", "or --max_answer_bytes or --max_keyed_bytes is 0",
                             "give 1 or more");
    if (limits.keyed_body_bytes > 900 * 1024)
        return setting_error("max_keyed_bytes", "is larger than the key-value service accepts",
                             "give 921600 or less");
    if (limits.relay_connections == 0 || limits.peer_connections == 0 ||
        limits.operator_connections == 0)
        return setting_error("max_relay_connections",
                             "or --max_peer_connections or --max_operator_connections is 0",
                             "give 1 or more");
    if (limits.http.connections == 0 || limits.requests == 0)
        return setting_error("max_connections", "or --max_requests is 0", "give 1 or more");
    return success();
}

result<void> check_source(const std::string& text)
{
    boost::system::error_code malformed;
    boost::asio::ip::make_address(text, malformed);
    if (malformed)
        return setting_error("source_address", "is \"" + text + "\", which is no IP address",
                             "give an address of this VM, or nothing");
    return success();
}

} // namespace

http_limits connection_limits(const daemon_settings& settings)
{
    http_limits limits;
    if (!settings.source_address.empty())
        limits.source_address = boost::asio::ip::make_address(settings.source_address);
    limits.before_connect = settings.before_connect;
    return limits;
}

result<void> check(const daemon_settings& settings)
{
    if (settings.node.value().empty())
        return setting_error("node", "is empty",
                             "give the name of this VM, unique in the deployment");
    if (settings.failure_domain.value().empty())
        return setting_error("failure_domain", "is empty", "give the failure domain of this VM");
    if (settings.deployment.empty())
        return setting_error("deployment", "is empty", "give the deployment named in both tables");
    BOOST_OUTCOME_TRY(check_address("listen", settings.listen));
    BOOST_OUTCOME_TRY(check_address("peer_listen", settings.peer_listen));
    BOOST_OUTCOME_TRY(check_address("admin_listen", settings.admin_listen));
    if (!settings.peer_advertise.empty()) {
        BOOST_OUTCOME_TRY(check_address("peer_advertise", settings.peer_advertise));
    }
    if (!settings.relay_listen.empty()) {
        BOOST_OUTCOME_TRY(check_address("relay_listen", settings.relay_listen));
    }
    if (!settings.source_address.empty()) {
        BOOST_OUTCOME_TRY(check_source(settings.source_address));
    }
    if (settings.key_value.empty())
        return setting_error("key_value", "is empty",
                             "give IP:port of the platform's key-value service");
    for (const std::string& address : settings.key_value) {
        BOOST_OUTCOME_TRY(check_address("key_value", address));
    }
    if (settings.source == source_kind::own) {
        BOOST_OUTCOME_TRY(check_address("vm_list", settings.vm_list));
    }
    else {
        BOOST_OUTCOME_TRY(check_address("ready_listen", settings.ready_listen));
    }
    if (!settings.weight_store.empty()) {
        BOOST_OUTCOME_TRY(check_address("weight_store", settings.weight_store));
    }
    for (const std::string& address : settings.seed_peers) {
        BOOST_OUTCOME_TRY(check_address("seed_peers", address));
    }
    BOOST_OUTCOME_TRY(check_tls("caller", settings.caller_tls));
    BOOST_OUTCOME_TRY(check_tls("peer", settings.peer_tls));
    BOOST_OUTCOME_TRY(check_tls("admin", settings.admin_tls));
    BOOST_OUTCOME_TRY(check_timeouts(settings.timeouts));
    return check_limits(settings.limits);
}

} // namespace jaynotch
