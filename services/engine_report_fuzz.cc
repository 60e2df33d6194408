// Fuzzes the parsers of engine responses. Any input must be parsed or refused; parsed values must
// lie within their bounds and survive rendering and parsing unchanged.
#include "services/services.h"

#include <cstdlib>

using namespace jaynotch;

namespace {

void check_report(const engine_report& report)
{
    const bool bounded = report.progress >= 0.0 && report.progress <= 1.0 &&
                         report.kv_used >= 0.0 && report.kv_used <= 1.0;
    result<engine_report> again = parse_engine_report(render_engine_report(report));
    if (!bounded || !again)
        std::abort();
    // Boost.JSON may parse a double with an error in the last bit, so these are not compared.
    again.value().progress = report.progress;
    again.value().kv_used = report.kv_used;
    again.value().step_ms = report.step_ms;
    if (!(again.value() == report))
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view body{reinterpret_cast<const char*>(data), size};
    if (const result<engine_report> report = parse_engine_report(body))
        check_report(report.value());
    if (const auto events = parse_cache_events(body)) {
        const auto again = parse_cache_events(render_cache_events(events.value()));
        if (!again || again.value() != events.value())
            std::abort();
    }
    (void)parse_engine_assign(body);
    (void)parse_engine_release(body);
    (void)parse_engine_metrics(body);
    return 0;
}
