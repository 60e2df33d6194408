#include "services/vm_list.h"

#include "base/json_fields.h"

#include <unordered_set>

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view what = "VM list";
constexpr std::uint64_t max_accelerators = 1024;

vm_entry read_vm(json_fields& fields)
{
    vm_entry entry;
    fields.require("vm");
    fields.require("address");
    entry.vm = vm_id{fields.text("vm")};
    entry.address = fields.text("address");
    entry.fabric_domain = fabric_domain_id{fields.text("fabric_domain")};
    entry.failure_domain = failure_domain_id{fields.text("failure_domain")};
    entry.accelerators = static_cast<std::uint32_t>(fields.count("accelerators", max_accelerators));
    entry.state = fields.enumerator("state", vm_state::live);
    entry.leave_by_ms = fields.integer("leave_by_ms");
    return entry;
}

} // namespace

result<vm_list> parse_vm_list(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    fields.require("vms");
    vm_list list;
    list.as_of_ms = fields.integer("as_of_ms");
    const json::array* rows = fields.list("vms");
    if (fields.failure())
        return *fields.failure();
    std::unordered_set<vm_id> seen;
    for (const auto& row : *rows) {
        if (!row.is_object())
            return error{error_kind::protocol, "VM list: a row is not an object",
                         "check the VM list's address"};
        json_fields inner{row.get_object(), what};
        vm_entry entry = read_vm(inner);
        if (inner.failure())
            return *inner.failure();
        // Two rows for one VM could add it to the records of two fabric domains at once.
        if (!seen.insert(entry.vm).second)
            return error{error_kind::protocol, "VM list: " + entry.vm.value() + " is listed twice",
                         "correct the VM list"};
        list.vms.push_back(std::move(entry));
    }
    return list;
}

std::string render_vm_list(const vm_list& list)
{
    json::array rows;
    for (const auto& entry : list.vms)
        rows.push_back(json::object{{"vm", entry.vm.value()},
                                    {"address", entry.address},
                                    {"fabric_domain", entry.fabric_domain.value()},
                                    {"failure_domain", entry.failure_domain.value()},
                                    {"accelerators", entry.accelerators},
                                    {"state", to_name(entry.state)},
                                    {"leave_by_ms", entry.leave_by_ms}});
    return json::serialize(json::object{{"as_of_ms", list.as_of_ms}, {"vms", std::move(rows)}});
}

vm_list_client::vm_list_client(const boost::asio::any_io_executor& executor, std::string address,
                               duration timeout)
    : m_client{executor, std::move(address), http_limits{}}, m_timeout{timeout}
{}

awaitable<result<vm_list>> vm_list_client::fetch()
{
    http_request request;
    request.target = "/v1/vms";
    request.repeatable = true;
    const result<http_response> answer = co_await m_client.call(std::move(request), m_timeout);
    if (!answer)
        co_return answer.error();
    if (answer.value().status != http::status::ok)
        co_return error{error_kind::unavailable,
                        "the VM list answered " +
                            std::to_string(static_cast<unsigned>(answer.value().status)),
                        "check the VM list"};
    co_return parse_vm_list(answer.value().body);
}

} // namespace jaynotch
