#include "standins/platform_forms.h"

#include <boost/json.hpp>

#include <sstream>

namespace jaynotch {

namespace json = boost::json;

namespace {

json::object route(std::string_view name, std::string_view kind, std::string_view service,
                   int attempts, bool open, std::chrono::milliseconds timeout)
{
    json::object row{{"name", name},
                     {"host", "a.example"},
                     {"prefix", "/" + std::string{name} + "/"},
                     {"route_kind", kind},
                     {"timeout_ms", timeout.count()},
                     {"latency_target_ms", 300},
                     {"priority", 1},
                     {"service", service},
                     {"max_attempts", attempts},
                     {"public", open}};
    if (kind == "streaming") {
        row["session_affinity"] = true;
        row["resumable"] = true;
        row["gap_target_ms"] = 300;
    }
    return row;
}

double seconds(std::chrono::milliseconds span)
{
    return std::chrono::duration<double>{span}.count();
}

json::object model_service(const configuration_form& form)
{
    json::array models;
    for (const model_form& model : form.models)
        models.push_back(json::object{{"name", model.name},
                                      {"size", model.size},
                                      {"share", model.share},
                                      {"pace", 1.0},
                                      {"load_s", seconds(form.load)},
                                      {"warmup_s", seconds(form.warm_up)}});
    return {{"name", "llm"},
            {"health_path", "/health"},
            {"max_conns", 200},
            {"cold_s", 2.0},
            {"cold_per_s", cold_requests_per_s},
            {"engine", json::object{{"slot_count", form.slots},
                                    {"kv_tokens", 100000},
                                    {"stride", 7},
                                    {"models", std::move(models)},
                                    {"step_ms", 1.0},
                                    {"per_seq_ms", 0.0},
                                    {"context_per_k", 0.0},
                                    {"read_per_s", 100000.0},
                                    {"pairs_per_m", 0.0},
                                    {"chunk", 2048},
                                    {"loads_per_s", 50.0},
                                    {"loads_at_once", 8},
                                    {"usual", json::object{{"prompt", 100}, {"answer", 84}}},
                                    {"retain_count", 1},
                                    {"form_ms", 0}}}};
}

std::string document(std::int64_t version, const configuration_form& form)
{
    const std::chrono::milliseconds timeout = form.route_timeout;
    const json::object limits{{"max_header_bytes", 16384},
                              {"max_body_bytes", 65536},
                              {"header_timeout_ms", form.header_timeout.count()},
                              {"idle_timeout_ms", form.idle_timeout.count()}};
    json::array keys;
    if (form.keys == version_keys::two_newest)
        keys = {json::string("key-" + std::to_string(version)),
                json::string("key-" + std::to_string(version - 1))};
    json::array tenants;
    if (form.keys != version_keys::no_workspaces)
        tenants.push_back(
            json::object{{"name", "farm"}, {"api_keys", std::move(keys)}, {"priority", 1}});
    json::array routes{route("chat", "streaming", "llm", repeatable_attempts, false, timeout),
                       route("order", "non_idempotent", "app", 1, false, timeout),
                       route("read", "idempotent", "app", repeatable_attempts, false, timeout)};
    for (std::size_t number = 0; number < form.other_routes; ++number)
        routes.push_back(route("other" + std::to_string(number), "idempotent", "app",
                               repeatable_attempts, false, timeout));
    return json::serialize(json::object{
        {"version", version},
        {"routes", std::move(routes)},
        {"services", json::array{model_service(form), json::object{{"name", "app"},
                                                                   {"health_path", "/health"},
                                                                   {"max_conns", 200}}}},
        {"limits", limits},
        {"tenants", std::move(tenants)}});
}

} // namespace

void put_config_version(store_standin& store, std::int64_t version, const configuration_form& form)
{
    store.put("op/config", document(version, form));
}

std::string render_settings(const daemon_site& site)
{
    std::ostringstream text;
    text << "node = \"" << site.node << "\"\nzone = \"" << site.failure_domain
         << "\"\nbind_ip = \"127.0.0.1\"\nheartbeat_ms = 500\nbootstrap = "
         << (site.first_start ? "true" : "false") << "\nseed_nodes = [";
    for (const std::string& seed : site.seeds)
        text << '"' << seed << "\", ";
    text << "]\n";
    if (site.first_free_port > 0)
        text << "port_range = [" << site.first_free_port << ", " << site.first_free_port << "]\n";
    text << "[listen]\nfront = \"" << site.listen << "\"\nready = \"" << site.ready_listen
         << "\"\ncontrol = \"" << site.peer_listen << "\"\n[limits]\nmemory_mb = " << site.memory_mb
         << "\n";
    if (site.max_descriptors > 0)
        text << "max_fds = " << site.max_descriptors << "\n";
    text << "[bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\nstall_ms = "
         << group_stall.count()
         << "\nretry_ratio = 0.2\nretry_window_s = 10\nretry_extra = " << site.retry_extra
         << "\ncold_excess = 1.5\ncold_slack = 5\nrequire_fencing = true\n"
         << "[platform]\naddr = \"" << site.store << "\"\n";
    return text.str();
}

http_request caller_request(const caller_parameters& form)
{
    http_request request;
    request.method =
        form.body.empty() ? boost::beast::http::verb::get : boost::beast::http::verb::post;
    request.target = form.path;
    request.body = form.body;
    request.headers = {{"Host", "a.example"},
                       {"Jaynotch-Attempt-Id", form.id},
                       {"Jaynotch-Deadline-Ms", std::to_string(form.deadline.count())},
                       {"Authorization", "Bearer " + form.key}};
    if (form.streams) {
        request.headers.push_back({"Jaynotch-Model", form.model});
        request.headers.push_back({"Jaynotch-Token-Counts", "100,84"});
    }
    return request;
}

std::string answered_request_id(const http_response& answer)
{
    return std::string{answer.header("Jaynotch-Attempt-Id")};
}

std::string leaving_server(const http_response& answer)
{
    constexpr std::string_view seal = "seal-";
    const std::string_view stated = answer.header("Jaynotch-Response-Seal");
    if (answer.header("Server-Leaving").empty() || !stated.starts_with(seal))
        return {};
    return std::string{stated.substr(seal.size())};
}

} // namespace jaynotch
