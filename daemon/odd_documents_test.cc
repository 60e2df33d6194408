// From the text of a configuration to the decision about a request: whatever is odd in a document
// may take rights away and never grants any.
#include "platform/documents.h"
#include "routing/modelled_fixture.h"

#include <boost/json.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

namespace json = boost::json;

constexpr std::string_view valid_document = R"({"version":7,"routes":[
 {"name":"order","host":"a.example","prefix":"/order/","route_kind":"non_idempotent",
  "timeout_ms":2000,"latency_target_ms":300,"priority":2,"public":false,"max_attempts":1,
  "backends":[{"service":"app","weight":90},{"service":"app","weight":10}]},
 {"name":"read","host":"b.example","prefix":"/read/","route_kind":"idempotent",
  "timeout_ms":2000,"latency_target_ms":300,"priority":2,"public":true,"max_attempts":2,
  "service":"app"}],
 "services":[{"name":"app","health_path":"/health","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"farm","api_keys":["key-1","key-2"],"priority":1},
  {"name":"mill","api_keys":["key-3"]}]})";

/// What may stand in place of any value of a document.
const std::array odd_values{json::value(nullptr),
                            json::value(json::array{}),
                            json::value(json::object{}),
                            json::value(""),
                            json::value("odd"),
                            json::value(0),
                            json::value(-1),
                            json::value(1e300),
                            json::value(false),
                            json::value(json::array{""}),
                            json::value(json::array{nullptr}),
                            json::value(json::array{json::object{}})};

/// Marks a member that stands a second time, since a JSON object of the library can't hold it.
constexpr std::string_view again = "#again";

/// Adds each object and list below `value`, itself included.
void collect(json::value& value, std::vector<json::value*>& found)
{
    if (json::object* object = value.if_object()) {
        found.push_back(&value);
        for (auto& member : *object)
            collect(member.value(), found);
    }
    else if (json::array* list = value.if_array()) {
        found.push_back(&value);
        for (json::value& item : *list)
            collect(item, found);
    }
}

void change_member(json::object& object, random_source& random)
{
    if (object.empty())
        return;
    const auto chosen = object.begin() + static_cast<std::ptrdiff_t>(random.index(object.size()));
    const json::value& odd = odd_values.at(random.index(odd_values.size()));
    switch (random.index(3)) {
    case 0:
        object.erase(chosen);
        break;
    case 1:
        chosen->value() = odd;
        break;
    default:
        object[std::string{std::string_view{chosen->key()}} + std::string{again}] = odd;
    }
}

void change_item(json::array& list, random_source& random)
{
    if (list.empty())
        return;
    json::value& chosen = list[random.index(list.size())];
    if (random.chance(0.3))
        list.erase(&chosen);
    else
        chosen = odd_values.at(random.index(odd_values.size()));
}

/// The valid document with some members or items removed, replaced or repeated.
json::value draw_variant(random_source& random)
{
    json::value document = json::parse({valid_document.data(), valid_document.size()});
    const auto changes = random.between(1, 3);
    for (std::int64_t number = 0; number < changes; ++number) {
        std::vector<json::value*> places;
        collect(document, places);
        json::value& place = *places[random.index(places.size())];
        if (json::object* object = place.if_object())
            change_member(*object, random);
        else
            change_item(place.get_array(), random);
    }
    return document;
}

std::string text_of(const json::value& document)
{
    std::string text = json::serialize(document);
    for (std::size_t at = text.find(again); at != std::string::npos; at = text.find(again))
        text.erase(at, again.size());
    return text;
}

result<configuration> read(std::string text)
{
    kv_entry entry;
    entry.key = "op/config";
    entry.value = std::move(text);
    return platform::parse_configuration(entry);
}

struct sent_request {
    std::string host;
    std::string path;
    std::string key;
};

std::vector<sent_request> all_requests()
{
    std::vector<sent_request> all;
    for (const char* host : {"a.example", "b.example", "c.example", ""}) {
        for (const char* path : {"/order/1", "/read/1", "/other/1", "/"}) {
            for (const char* key : {"", "key-0", "key-1", "key-3"})
                all.push_back({host, path, key});
        }
    }
    return all;
}

/// Whether a node with these tables refuses each request.
std::vector<bool> refusals(const configuration& tables, const std::vector<sent_request>& requests)
{
    modelled_world node{0};
    node.send(tables_installed{tables});
    std::vector<bool> refused;
    for (const sent_request& one : requests) {
        const command_list out = node.submit(one.path, one.host, one.key);
        refused.push_back(last_command<refuse>(out).has_value());
        if (const auto sent = last_command<send_attempt>(out))
            node.send(caller_gone{sent->request});
    }
    return refused;
}

} // namespace

// Guards against documents in which something missing, empty, unreadable or repeated admits a
// request that the whole document refuses. A document without the list of workspaces asks for no
// keys and is left out.
Test(odd_documents, what_is_odd_in_a_document_grants_nothing)
{
    constexpr int variants = 4'000;
    const std::vector<sent_request> requests = all_requests();
    const std::vector<bool> expected =
        refusals(read(std::string{valid_document}).value(), requests);
    cr_assert(std::count(expected.begin(), expected.end(), false) > 0, "some are served");
    random_source random{1};
    int readable = 0;
    for (int number = 0; number < variants; ++number) {
        const json::value document = draw_variant(random);
        if (!document.get_object().contains("tenants"))
            continue;
        const std::string text = text_of(document);
        const result<configuration> tables = read(text);
        if (!tables)
            continue;
        ++readable;
        const std::vector<bool> refused = refusals(tables.value(), requests);
        for (std::size_t at = 0; at < requests.size(); ++at)
            cr_assert(refused[at] || !expected[at], "%s%s with key \"%s\" is admitted by %s",
                      requests[at].host.c_str(), requests[at].path.c_str(),
                      requests[at].key.c_str(), text.c_str());
    }
    cr_assert_gt(readable, variants / 10);
}
