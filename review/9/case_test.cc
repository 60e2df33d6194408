// A version takes away the last tenant and its key.
#include "review/kit-2/kit.h"

#include <algorithm>

namespace {

using namespace kit;

constexpr std::int64_t config_apply_ms = 2'000;
constexpr int requests = 10;

/// A version with the given list of tenants in place of the usual one.
std::string with_tenants(int version, const std::string& tenants)
{
    const std::string usual = configuration(version, "", "", "");
    const std::size_t begin = usual.find("\"tenants\":");
    return usual.substr(0, begin) + "\"tenants\":" + tenants + "}";
}

int script()
{
    store platform{own_ip(1)};
    platform.put("op/config", configuration(1, "", "", ""));
    const plain_server runner{platform, own_ip(2), {"i-1", "app", "zone-a"}};
    const node entry{{"front-a-1", "zone-a", own_ip(11), platform.address(), {}, "", true}};
    if (!entry.wait_ready(std::chrono::seconds{10}))
        return unable;
    sleep_ms(2'000);
    const auto order = [&](const std::string& id, const std::string& key) {
        std::string bytes = caller_request("POST", "/order/1", id, "", "hello");
        const std::string usual = "Bearer key-1";
        bytes.replace(bytes.find(usual), usual.size(), "Bearer " + key);
        const message answer = call(entry.front(), bytes, std::chrono::seconds{5});
        record::line("sent " + id + " with the key " + key + ", answered: " + answer.start);
        return answer.status();
    };
    if (order("known-1", "key-1") != 200 || order("unknown-1", "never-held") != 401)
        return unable;
    const std::string tenants =
        trouble() ? "[]" : R"([{"name":"farm","api_keys":[],"priority":1}])";
    platform.put("op/config", with_tenants(2, tenants));
    record::line("version 2 acknowledged, tenants " + tenants);
    sleep_ms(config_apply_ms + 500);
    for (int number = 0; number < requests; ++number) {
        order("unknown-2-" + std::to_string(number), "never-held");
        order("known-2-" + std::to_string(number), "key-1");
    }
    const std::vector<run> runs = runner.runs();
    const auto unheld = std::count_if(
        runs.begin(), runs.end(), [](const run& each) { return each.id.starts_with("unknown-"); });
    record::line("the server ran requests whose key no version ever held: " +
                 std::to_string(unheld));
    return unheld > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return kit::run_script(argc, argv, script);
}
