#include "base/json_fields.h"
#include "services/engine.h"

#include <charconv>

// Wire formats of the engine: its control calls in JSON (docs/DESIGN.md, wire forms) and its load
// gauges in the Prometheus text format.

namespace jaynotch {

namespace json = boost::json;

namespace {

constexpr std::uint64_t max_rank = 4096;
constexpr std::uint64_t max_requests = 1'000'000;
constexpr std::size_t max_cache_events = 10'000;

json::array render_strings(const std::vector<std::string>& texts)
{
    json::array all;
    for (const auto& text : texts)
        all.emplace_back(text);
    return all;
}

/// A number from 0 to 1; any other is recorded as a failure of `fields`.
double read_fraction(json_fields& fields, std::string_view name)
{
    const double value = fields.real(name);
    if (value < 0.0 || value > 1.0)
        fields.fail(name, "is not within 0 and 1");
    return value;
}

/// The value at the end of a sample line; empty if it is not a number.
std::optional<double> sample_value(std::string_view line)
{
    const std::size_t space = line.rfind(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = line.substr(space + 1);
    double value = 0.0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return value;
}

std::string_view sample_name(std::string_view line)
{
    return line.substr(0, line.find_first_of("{ "));
}

} // namespace

result<engine_report> parse_engine_report(std::string_view body)
{
    constexpr std::string_view what = "engine report";
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    fields.require("vm");
    fields.require("boot");
    fields.require("state");
    engine_report report;
    report.vm = vm_id{fields.text("vm")};
    report.boot = fields.text("boot");
    report.group = group_id{fields.text("group")};
    report.fencing = fencing_number{fields.integer("fencing")};
    report.rank = static_cast<std::uint32_t>(fields.count("rank", max_rank));
    report.members = fields.texts("members");
    report.model = fields.text("model");
    report.version = fields.text("version");
    report.adapters = fields.texts("adapters");
    report.state = fields.enumerator("state", engine_state::failed);
    report.progress = read_fraction(fields, "progress");
    report.running = static_cast<std::uint32_t>(fields.count("running", max_requests));
    report.waiting = static_cast<std::uint32_t>(fields.count("waiting", max_requests));
    report.kv_used = read_fraction(fields, "kv_used");
    report.step_ms = fields.real("step_ms");
    report.leaving = fields.flag("leaving");
    if (fields.failure())
        return *fields.failure();
    return report;
}

std::string render_engine_report(const engine_report& report)
{
    json::object body{{"vm", report.vm.value()},
                      {"boot", report.boot},
                      {"group", report.group.value()},
                      {"fencing", report.fencing.value()},
                      {"rank", report.rank},
                      {"members", render_strings(report.members)},
                      {"model", report.model},
                      {"version", report.version},
                      {"adapters", render_strings(report.adapters)},
                      {"state", to_name(report.state)},
                      {"progress", report.progress},
                      {"running", report.running},
                      {"waiting", report.waiting},
                      {"kv_used", report.kv_used},
                      {"step_ms", report.step_ms},
                      {"leaving", report.leaving}};
    return json::serialize(body);
}

result<engine_order_assign> parse_engine_assign(std::string_view body)
{
    constexpr std::string_view what = "assign order";
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    fields.require("group");
    fields.require("fencing");
    fields.require("members");
    engine_order_assign order;
    order.order = fields.text("order");
    order.fencing = fencing_number{fields.integer("fencing")};
    order.group = group_id{fields.text("group")};
    order.rank = static_cast<std::uint32_t>(fields.count("rank", max_rank));
    order.members = fields.texts("members");
    order.model = fields.text("model");
    order.version = fields.text("version");
    order.adapters = fields.texts("adapters");
    if (fields.failure())
        return *fields.failure();
    return order;
}

std::string render_engine_assign(const engine_order_assign& order)
{
    return json::serialize(json::object{{"order", order.order},
                                        {"fencing", order.fencing.value()},
                                        {"group", order.group.value()},
                                        {"rank", order.rank},
                                        {"members", render_strings(order.members)},
                                        {"model", order.model},
                                        {"version", order.version},
                                        {"adapters", render_strings(order.adapters)}});
}

result<engine_order_release> parse_engine_release(std::string_view body)
{
    constexpr std::string_view what = "release order";
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    fields.require("fencing");
    engine_order_release order;
    order.order = fields.text("order");
    order.fencing = fencing_number{fields.integer("fencing")};
    order.group = group_id{fields.text("group")};
    if (fields.failure())
        return *fields.failure();
    return order;
}

std::string render_engine_release(const engine_order_release& order)
{
    return json::serialize(json::object{{"order", order.order},
                                        {"fencing", order.fencing.value()},
                                        {"group", order.group.value()}});
}

result<std::vector<cache_event>> parse_cache_events(std::string_view body)
{
    constexpr std::string_view what = "cache events";
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    const json::array* rows = fields.list("events");
    if (fields.failure())
        return *fields.failure();
    std::vector<cache_event> events;
    if (rows == nullptr)
        return events;
    for (const auto& row : *rows) {
        if (!row.is_object() || events.size() == max_cache_events)
            return error{error_kind::protocol, "cache events: malformed or too many",
                         "check the engine's version"};
        json_fields inner{row.get_object(), what};
        cache_event event;
        event.sequence = static_cast<std::uint64_t>(
            inner.count("seq", std::numeric_limits<std::int64_t>::max()));
        event.change = inner.enumerator("kind", cache_change::stored);
        event.prefix = inner.text("prefix");
        if (inner.failure())
            return *inner.failure();
        events.push_back(std::move(event));
    }
    return events;
}

std::string render_cache_events(const std::vector<cache_event>& events)
{
    json::array rows;
    for (const auto& event : events)
        rows.push_back(json::object{
            {"seq", event.sequence}, {"kind", to_name(event.change)}, {"prefix", event.prefix}});
    return json::serialize(json::object{{"events", std::move(rows)}});
}

result<engine_load> parse_engine_metrics(std::string_view page)
{
    engine_load load;
    bool any = false;
    while (!page.empty()) {
        const std::size_t end = page.find('\n');
        const std::string_view line = page.substr(0, end);
        page = end == std::string_view::npos ? std::string_view{} : page.substr(end + 1);
        if (line.empty() || line.starts_with('#'))
            continue;
        const std::string_view name = sample_name(line);
        double* target = name == "engine_requests_running"   ? &load.running
                         : name == "engine_requests_waiting" ? &load.waiting
                         : name == "engine_kv_cache_used"    ? &load.kv_used
                         : name == "engine_step_ms"          ? &load.step_ms
                                                             : nullptr;
        if (target == nullptr)
            continue;
        const std::optional<double> value = sample_value(line);
        if (!value || !(*value >= 0.0))
            return error{error_kind::protocol, "malformed sample of " + std::string{name},
                         "check the engine's version"};
        *target = *value;
        any = true;
    }
    if (!any)
        return error{error_kind::protocol, "the metrics page holds no load gauges",
                     "check that the address is that of a model engine"};
    return load;
}

} // namespace jaynotch
