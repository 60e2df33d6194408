#include "daemon/trace.h"

#include <algorithm>

// Finished spans are buffered until the next flush, which writes them in one line. The buffer is
// bounded: when it is full, spans are dropped and counted, and requests are not delayed.

namespace jaynotch {

namespace {

constexpr std::size_t max_buffered_spans = 4096;
constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    });
}

bool all_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

boost::json::object attribute(std::string_view name, const boost::json::value& value)
{
    boost::json::object wrapped;
    if (value.is_bool())
        wrapped["boolValue"] = value;
    else if (value.is_int64() || value.is_uint64())
        wrapped["intValue"] =
            boost::json::serialize(value); // OTLP/JSON has 64-bit integers as strings
    else if (value.is_double())
        wrapped["doubleValue"] = value;
    else
        wrapped["stringValue"] = value;
    return {{"key", name}, {"value", wrapped}};
}

std::string to_unix_nanoseconds(std::int64_t ms, duration elapsed)
{
    return std::to_string(ms * 1'000'000 + elapsed.count());
}

} // namespace

std::optional<trace_context> trace_context::from_header(std::string_view traceparent)
{
    // 00-<trace>-<span>-<flags>
    constexpr std::size_t length = 2 + 1 + trace_digits + 1 + span_digits + 1 + 2;
    if (traceparent.size() < length || traceparent.substr(0, 2) == "ff" || traceparent[2] != '-' ||
        traceparent[35] != '-' || traceparent[52] != '-')
        return std::nullopt;
    if (traceparent.substr(0, 2) == "00" && traceparent.size() != length)
        return std::nullopt;
    const std::string_view trace = traceparent.substr(3, trace_digits);
    const std::string_view span = traceparent.substr(36, span_digits);
    const std::string_view flags = traceparent.substr(53, 2);
    if (!is_hex(trace) || !is_hex(span) || !is_hex(flags) || all_zero(trace) || all_zero(span))
        return std::nullopt;
    const int last = flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0';
    return trace_context{std::string{trace}, std::string{span}, (last & 1) != 0};
}

std::string trace_context::header() const
{
    return "00-" + trace + "-" + span + (sampled ? "-01" : "-00");
}

void span::set(std::string_view attribute_name, std::string_view value)
{
    attributes.push_back({std::string{attribute_name}, boost::json::value(value)});
}

void span::set(std::string_view attribute_name, std::uint64_t value)
{
    attributes.push_back({std::string{attribute_name}, boost::json::value(value)});
}

result<std::unique_ptr<tracer>> tracer::open(const std::string& file, const node_id& node,
                                             std::uint64_t seed)
{
    if (file.empty())
        return std::unique_ptr<tracer>{new tracer{nullptr, false, node, seed}};
    if (file == "-")
        return std::unique_ptr<tracer>{new tracer{stderr, false, node, seed}};
    std::FILE* opened = std::fopen(file.c_str(), "ae");
    if (opened == nullptr)
        return error{error_kind::invalid_argument,
                     "--trace_file names \"" + file + "\", which can't be written",
                     "give a writable path, or - for standard error"};
    return std::unique_ptr<tracer>{new tracer{opened, true, node, seed}};
}

tracer::tracer(std::FILE* file, bool owned, const node_id& node, std::uint64_t seed)
    : m_file{file}, m_owned{owned}, m_node{node.value()}, m_random{seed}
{}

tracer::~tracer()
{
    flush();
    if (m_owned)
        std::fclose(m_file);
}

std::string tracer::random_hex(std::size_t digits)
{
    static constexpr std::string_view alphabet = "0123456789abcdef";
    std::string text;
    while (text.size() < digits) {
        std::uint64_t bits = m_random.bits();
        for (int digit = 0; digit < 16 && text.size() < digits; ++digit, bits >>= 4U)
            text += alphabet[bits & 15U];
    }
    return text;
}

span tracer::begin(std::string_view name, span_kind kind,
                   const std::optional<trace_context>& parent)
{
    span made;
    made.name = name;
    made.kind = kind;
    made.context.trace = parent ? parent->trace : random_hex(trace_digits);
    made.context.span = random_hex(span_digits);
    made.context.sampled = !parent || parent->sampled;
    made.parent = parent ? parent->span : std::string{};
    made.started = runtime_clock::now();
    made.started_ms = wall_time_ms();
    return made;
}

void tracer::end(span finished)
{
    if (m_file == nullptr || !finished.context.sampled)
        return;
    if (m_buffered_spans.size() >= max_buffered_spans) {
        ++m_dropped;
        return;
    }
    boost::json::array attributes;
    for (const span_attribute& one : finished.attributes)
        attributes.push_back(attribute(one.name, one.value));
    boost::json::object rendered{
        {"traceId", finished.context.trace},
        {"spanId", finished.context.span},
        {"name", finished.name},
        {"kind", static_cast<int>(finished.kind)},
        {"startTimeUnixNano", to_unix_nanoseconds(finished.started_ms, duration{0})},
        {"endTimeUnixNano",
         to_unix_nanoseconds(finished.started_ms, runtime_clock::now() - finished.started)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", finished.failed ? 2 : 1}}}};
    if (!finished.parent.empty())
        rendered["parentSpanId"] = finished.parent;
    m_buffered_spans.push_back(std::move(rendered));
}

void tracer::flush()
{
    if (m_file == nullptr || m_buffered_spans.empty())
        return;
    const boost::json::object line{
        {"resourceSpans",
         boost::json::array{boost::json::object{
             {"resource",
              {{"attributes",
                boost::json::array{attribute("service.name", "jaynotchd"),
                                   attribute("service.instance.id", boost::json::value(m_node))}}}},
             {"scopeSpans",
              boost::json::array{boost::json::object{{"scope", {{"name", "jaynotch"}}},
                                                     {"spans", m_buffered_spans}}}}}}}};
    const std::string text = boost::json::serialize(line) + "\n";
    std::fwrite(text.data(), 1, text.size(), m_file);
    std::fflush(m_file);
    m_buffered_spans.clear();
}

} // namespace jaynotch
