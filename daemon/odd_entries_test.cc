// Entries of another writer in the store that name no usable server. The sound ones must be used as
// before, on every way by which entries come in.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr std::size_t nodes = 4;          ///< two follow the store, the others depend on them
constexpr duration apply_bound = 2s;      ///< for a change of the configuration
constexpr std::size_t deep = 20'000;      ///< nested lists
constexpr std::size_t largest = 1U << 20; ///< value that the store accepts, in bytes

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// An entry of a plain server that no route leads to, with members that replace the sound ones.
std::string entry_with(const std::string& members)
{
    return R"({"service":"elsewhere","state":"ready","zone":"zone-a","addr":"127.0.0.1:9","born":1,)"
           R"("slot_count":4,"cold_remaining_ms":0,"seq":1,)" +
           members + "}";
}

std::string member_of(const std::string& rank, const std::string& epoch)
{
    return entry_with(
        R"("domain":"d0","service":"llm","group":{"name":"g1","state":"open","rank":)" + rank +
        R"(,"epoch":)" + epoch + "}");
}

std::vector<std::string> odd_values()
{
    std::vector<std::string> values{
        "no JSON",
        std::string{"\0\xff\xfe", 3},
        "[]",
        "{}",
        std::string(deep, '['),
        entry_with(R"("service":)" + nested(deep)),
        entry_with(R"("unread":)" + nested(deep)),
        entry_with(R"("group":)" + nested(30)),
        entry_with("\"service\":\"a\xff\xfe\""),
        entry_with(R"("state":"\u0000")"),
        member_of("4294967295", "1"),
        member_of("4294967296", "1"),
        member_of("-1", "1"),
        member_of("0", "9223372036854775807"),
        member_of("0", "-9223372036854775808"),
        entry_with("\"service\":\"" + std::string(200'000, 'x') + "\""),
    };
    for (const char* number : {"1e400", "1e300", "-1", "0.5", "99999999999999999999", "4294967296",
                               "9223372036854775807", "\"7\"", "null", "[]"})
    {
        for (const char* field : {"born", "slot_count", "cold_remaining_ms", "seq"})
            values.push_back(entry_with("\"" + std::string{field} + "\":" + number));
    }
    for (const char* address : {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999",
                                "127.0.0.1:-1", "127.0.0.1: 9", "0.0.0.0:9", "224.0.0.1:80",
                                "255.255.255.255:80", "[::]:9", "[ff02::1]:9", ":9", "host:9"})
        values.push_back(entry_with("\"addr\":\"" + std::string{address} + "\""));
    return values;
}

std::size_t in_force(const registry_fixture& fleet)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto& daemon) {
            return daemon->tables_revision() == config_revision{fleet.version()};
        }));
}

/// Checks that a change of the configuration is in force in time and that each node serves.
void check_works(registry_fixture& fleet)
{
    fleet.change_configuration();
    fleet.run_until([&] { return in_force(fleet) == nodes; }, apply_bound);
    cr_assert_eq(in_force(fleet), nodes, "nodes with the newest configuration: %zu",
                 in_force(fleet));
    const std::string key = "key-" + std::to_string(fleet.version());
    for (std::size_t node = 0; node < nodes; ++node) {
        for (int sent = 0; sent < 10; ++sent) {
            const result<http_response> answer = fleet.ask(node, "/read/1", key);
            cr_assert(answer && answer.value().status == boost::beast::http::status::ok, "node %zu",
                      node);
        }
    }
}

/// Writes the entry while all nodes run, and starts all nodes while it is there.
void check_with(registry_fixture& fleet, const std::string& key, const std::string& value)
{
    fleet.store().put(key, value);
    fleet.run(300ms);
    check_works(fleet);
    fleet.restart_all();
    fleet.run(1s);
    check_works(fleet);
}

} // namespace

// Guards against entries that end a node, or that keep it from reading the others.
Test(odd_entries, values_that_cannot_be_read_harm_no_other_entry)
{
    registry_fixture fleet{{.nodes = nodes}};
    std::size_t written = 0;
    for (const std::string& value : odd_values())
        fleet.store().put("servers/odd-" + std::to_string(written++), value);
    check_with(fleet, "op/evacuate/", nested(deep));
}

// Guards against a reading of the store that fails at every try for the name of one entry.
Test(odd_entries, a_key_of_odd_bytes_harms_no_other_entry)
{
    registry_fixture fleet{{.nodes = nodes}};
    fleet.store().put("servers/" + std::string(180, 'x'), "{}");
    check_with(fleet, "servers/\xff\xfe\x01", entry_with(R"("seq":2)"));
}

// Guards against a value that fits into no message to the neighbours, and keeps all others from
// them.
Test(odd_entries, a_value_of_the_largest_size_harms_no_other_entry)
{
    registry_fixture fleet{{.nodes = nodes}};
    check_with(fleet, "servers/large", std::string(largest, 'x'));
}

// Guards against a report of a server that ends the manager which asked for it.
Test(odd_entries, reports_that_cannot_be_read_harm_no_node)
{
    registry_fixture fleet{{.nodes = nodes}};
    for (const std::string& value : odd_values()) {
        for (const auto& server : fleet.servers)
            server->faults.report = value;
        fleet.run(60ms);
    }
    for (const auto& server : fleet.servers)
        server->faults.report.clear();
    check_works(fleet);
}
