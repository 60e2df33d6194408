#include "services/kv_wire.h"

#include "base/json_fields.h"

// The messages of etcd's rpc.proto as mapped to JSON by grpc-gateway. Only the parts that this
// project uses are supported: compares on mod_revision; puts, deletes and gets of single keys;
// ranges by prefix.

namespace jaynotch {

namespace json = boost::json;

namespace {

constexpr std::string_view answer = "key-value answer";
constexpr std::string_view request = "key-value request";

std::string decimal(std::int64_t number)
{
    return std::to_string(number);
}

/// The decoded value of a base64 member; invalid base64 is recorded as a failure of `fields`.
std::string decoded(json_fields& fields, std::string_view name)
{
    result<std::string> bytes = base64_decode(fields.text(name));
    if (bytes)
        return std::move(bytes).value();
    fields.fail(name, "is not base64");
    return {};
}

result<kv_entry> read_entry(const json::value& from)
{
    if (!from.is_object())
        return error{error_kind::protocol, "key-value entry is not an object",
                     "check the address of the key-value service"};
    json_fields fields{from.get_object(), answer};
    kv_entry entry;
    entry.key = decoded(fields, "key");
    entry.value = decoded(fields, "value");
    entry.create_revision = fields.integer("create_revision");
    entry.mod_revision = fields.integer("mod_revision");
    entry.lease = lease_id{fields.integer("lease")};
    if (fields.failure())
        return *fields.failure();
    return entry;
}

result<std::vector<kv_entry>> read_entries(json_fields& fields)
{
    std::vector<kv_entry> entries;
    const json::array* list = fields.list("kvs");
    if (list == nullptr)
        return entries;
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(kv_entry entry, read_entry(item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::int64_t read_revision(json_fields& fields)
{
    const json::object* header = fields.object("header");
    if (header == nullptr) {
        fields.fail("header", "is missing");
        return 0;
    }
    json_fields inner{*header, answer};
    const std::int64_t revision = inner.integer("revision");
    if (inner.failure())
        fields.fail("header.revision", "is not a 64-bit integer");
    return revision;
}

json::object render_operation(const kv_operation& operation)
{
    json::object rendered;
    if (const auto* put = std::get_if<kv_put>(&operation)) {
        json::object body{{"key", base64_encode(put->key)}, {"value", base64_encode(put->value)}};
        if (put->lease != lease_id{})
            body["lease"] = decimal(put->lease.value());
        rendered["request_put"] = std::move(body);
    }
    else if (const auto* deletion = std::get_if<kv_delete>(&operation)) {
        rendered["request_delete_range"] = json::object{{"key", base64_encode(deletion->key)}};
    }
    else {
        const auto& get = std::get<kv_get>(operation);
        rendered["request_range"] = json::object{{"key", base64_encode(get.key)}};
    }
    return rendered;
}

json::array render_operations(const std::vector<kv_operation>& operations)
{
    json::array all;
    for (const auto& operation : operations)
        all.push_back(render_operation(operation));
    return all;
}

result<kv_operation> read_operation(const json::value& from)
{
    const error malformed{error_kind::invalid_argument, "malformed operation of a transaction",
                          "send request_put, request_delete_range or request_range"};
    if (!from.is_object())
        return malformed;
    json_fields fields{from.get_object(), request};
    if (const json::object* put = fields.object("request_put")) {
        json_fields body{*put, request};
        kv_put operation{decoded(body, "key"), decoded(body, "value"),
                         lease_id{body.integer("lease")}};
        if (body.failure())
            return *body.failure();
        return operation;
    }
    const json::object* deletion = fields.object("request_delete_range");
    const json::object* get = fields.object("request_range");
    if (deletion == nullptr && get == nullptr)
        return malformed;
    json_fields body{deletion != nullptr ? *deletion : *get, request};
    std::string key = decoded(body, "key");
    if (body.failure())
        return *body.failure();
    if (deletion != nullptr)
        return kv_delete{std::move(key)};
    return kv_get{std::move(key)};
}

result<std::vector<kv_operation>> read_operations(json_fields& fields, std::string_view name)
{
    std::vector<kv_operation> operations;
    const json::array* list = fields.list(name);
    if (list == nullptr)
        return operations;
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(kv_operation operation, read_operation(item));
        operations.push_back(std::move(operation));
    }
    return operations;
}

result<kv_event> read_event(const json::value& from)
{
    if (!from.is_object())
        return error{error_kind::protocol, "watch event is not an object",
                     "check the address of the key-value service"};
    json_fields fields{from.get_object(), answer};
    kv_event event;
    event.deleted = fields.text("type") == "DELETE";
    const json::value* entry = from.get_object().if_contains("kv");
    if (entry == nullptr)
        fields.fail("kv", "is missing");
    if (fields.failure())
        return *fields.failure();
    BOOST_OUTCOME_TRY(event.entry, read_entry(*entry));
    return event;
}

result<kv_wire_lease> read_lease(const json::object& from)
{
    json_fields fields{from, answer};
    const kv_wire_lease lease{lease_id{fields.integer("ID")},
                              std::chrono::seconds{fields.integer("TTL")}};
    if (fields.failure())
        return *fields.failure();
    return lease;
}

} // namespace

std::string prefix_end(std::string_view prefix)
{
    std::string end{prefix};
    while (!end.empty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last != 0xff) {
            end.back() = static_cast<char>(last + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0'); // no upper bound
}

std::string render_kv_get(std::string_view key)
{
    return json::serialize(json::object{{"key", base64_encode(key)}});
}

std::string render_kv_get_prefix(std::string_view prefix)
{
    return json::serialize(json::object{{"key", base64_encode(prefix)},
                                        {"range_end", base64_encode(prefix_end(prefix))}});
}

std::string render_kv_transaction(const kv_transaction& transaction)
{
    json::array compares;
    for (const auto& compare : transaction.compares)
        compares.push_back(json::object{{"key", base64_encode(compare.key)},
                                        {"target", "MOD"},
                                        {"result", "EQUAL"},
                                        {"mod_revision", decimal(compare.mod_revision)}});
    json::object body;
    body["compare"] = std::move(compares);
    body["success"] = render_operations(transaction.then);
    body["failure"] = render_operations(transaction.otherwise);
    return json::serialize(body);
}

std::string render_kv_watch(std::string_view prefix, std::int64_t from_revision)
{
    json::object create{{"key", base64_encode(prefix)},
                        {"range_end", base64_encode(prefix_end(prefix))}};
    if (from_revision > 0)
        create["start_revision"] = decimal(from_revision);
    return json::serialize(json::object{{"create_request", std::move(create)}});
}

result<kv_wire_range> parse_kv_range(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, answer));
    json_fields fields{object, answer};
    kv_wire_range range;
    range.revision = read_revision(fields);
    BOOST_OUTCOME_TRY(range.entries, read_entries(fields));
    if (fields.failure())
        return *fields.failure();
    return range;
}

result<kv_outcome> parse_kv_outcome(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, answer));
    json_fields fields{object, answer};
    kv_outcome outcome;
    outcome.revision = read_revision(fields);
    outcome.succeeded = fields.flag("succeeded");
    const json::array* responses = fields.list("responses");
    if (fields.failure())
        return *fields.failure();
    if (responses == nullptr)
        return outcome;
    for (const auto& item : *responses) {
        const json::object* row = item.if_object();
        const json::value* range = row == nullptr ? nullptr : row->if_contains("response_range");
        if (range == nullptr || !range->is_object())
            continue;
        json_fields inner{range->get_object(), answer};
        BOOST_OUTCOME_TRY(std::vector<kv_entry> entries, read_entries(inner));
        if (inner.failure())
            return *inner.failure();
        std::move(entries.begin(), entries.end(), std::back_inserter(outcome.entries));
    }
    return outcome;
}

result<kv_wire_lease> parse_kv_grant(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, answer));
    return read_lease(object);
}

result<kv_wire_lease> parse_kv_keep_alive(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, answer));
    json_fields fields{object, answer};
    const json::object* inner = fields.object("result");
    if (inner == nullptr)
        fields.fail("result", "is missing");
    if (fields.failure())
        return *fields.failure();
    return read_lease(*inner);
}

result<kv_wire_watch> parse_kv_watch(std::string_view line)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(line, answer));
    json_fields outer{object, answer};
    const json::object* inner = outer.object("result");
    if (inner == nullptr)
        outer.fail("result", "is missing");
    if (outer.failure())
        return *outer.failure();
    json_fields fields{*inner, answer};
    kv_wire_watch watch;
    watch.revision = read_revision(fields);
    watch.created = fields.flag("created");
    watch.canceled = fields.flag("canceled");
    const json::array* events = fields.list("events");
    if (fields.failure())
        return *fields.failure();
    if (events == nullptr)
        return watch;
    for (const auto& item : *events) {
        BOOST_OUTCOME_TRY(kv_event event, read_event(item));
        watch.events.push_back(std::move(event));
    }
    return watch;
}

json::object render_kv_entry(const kv_entry& entry)
{
    json::object rendered{{"key", base64_encode(entry.key)},
                          {"create_revision", decimal(entry.create_revision)},
                          {"mod_revision", decimal(entry.mod_revision)}};
    if (!entry.value.empty())
        rendered["value"] = base64_encode(entry.value);
    if (entry.lease != lease_id{})
        rendered["lease"] = decimal(entry.lease.value());
    return rendered;
}

result<kv_transaction> parse_kv_transaction(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, request));
    json_fields fields{object, request};
    kv_transaction transaction;
    if (const json::array* compares = fields.list("compare")) {
        for (const auto& item : *compares) {
            if (!item.is_object())
                return error{error_kind::invalid_argument, "malformed compare", "send an object"};
            json_fields compare{item.get_object(), request};
            kv_compare read{decoded(compare, "key"), compare.integer("mod_revision")};
            const bool on_revision = compare.text("target") == "MOD";
            if (compare.failure() || !on_revision)
                return error{error_kind::invalid_argument, "only compares on MOD are known",
                             "compare a key's mod_revision"};
            transaction.compares.push_back(std::move(read));
        }
    }
    BOOST_OUTCOME_TRY(transaction.then, read_operations(fields, "success"));
    BOOST_OUTCOME_TRY(transaction.otherwise, read_operations(fields, "failure"));
    if (fields.failure())
        return *fields.failure();
    return transaction;
}

} // namespace jaynotch
