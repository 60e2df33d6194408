#include "daemon/settings.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

daemon_settings valid_settings()
{
    daemon_settings chosen;
    chosen.node = node_id{"entry-1"};
    chosen.failure_domain = failure_domain_id{"bergen-a"};
    chosen.deployment = "fjordgrode";
    chosen.key_value = {"127.0.0.1:2379"};
    chosen.vm_list = "127.0.0.1:2380";
    return chosen;
}

bool refused_naming(const daemon_settings& chosen, std::string_view flag)
{
    const result<void> checked = check(chosen);
    return !checked && checked.error().message.find(flag) != std::string::npos &&
           !checked.error().remedy.empty();
}

} // namespace

// An operator mistypes one setting. The daemon must refuse to start, with an error that names the
// flag and a remedy.
Test(settings, each_invalid_value_is_refused_with_its_flag)
{
    cr_assert(check(valid_settings()).has_value());
    daemon_settings bad = valid_settings();
    bad.node = node_id{};
    cr_assert(refused_naming(bad, "--node"));
    bad = valid_settings();
    bad.listen = "entry-1:80";
    cr_assert(refused_naming(bad, "--listen"));
    bad = valid_settings();
    bad.vm_list = "127.0.0.1:99999";
    cr_assert(refused_naming(bad, "--vm_list"));
    bad = valid_settings();
    bad.key_value = {"127.0.0.1:1", "127.0.0.1:"};
    cr_assert(refused_naming(bad, "--key_value"));
    bad = valid_settings();
    bad.peer_tls.key = "/nowhere.pem";
    cr_assert(refused_naming(bad, "--peer_certificate"));
    bad = valid_settings();
    bad.timeouts.http.header = std::chrono::milliseconds{0};
    cr_assert(refused_naming(bad, "--header_timeout_ms"));
    bad = valid_settings();
    bad.limits.keyed_body_bytes = 2 * 1024 * 1024;
    cr_assert(refused_naming(bad, "--max_keyed_bytes"));
}
