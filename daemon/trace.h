// Tracing: one span for each hop of a request. The context is read from and sent in W3C traceparent
// headers; spans are written as lines of OTLP/JSON.
//
//   std::unique_ptr<tracer> spans = tracer::open("-", node, seed).value();
//   span server = spans->begin("request", span_kind::server, trace_context::from_header(header));
//   span attempt = spans->begin("attempt", span_kind::client, server.context);
//   send("traceparent", attempt.context.header());
//   attempt.set("target", address);
//   spans->end(std::move(attempt));
#pragma once

#include "base/base.h"

#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Identity of a span within its trace (W3C Trace Context, version 00).
struct trace_context {
    std::string trace; ///< 32 hexadecimal digits
    std::string span;  ///< 16 hexadecimal digits
    bool sampled = true;

    /// nullopt if the header is missing or malformed; a new trace is started then.
    static std::optional<trace_context> from_header(std::string_view traceparent);
    [[nodiscard]] std::string header() const;
};

enum class span_kind { internal = 1, server = 2, client = 3 };

struct span_attribute {
    std::string name;
    boost::json::value value;
};

struct span {
    std::string name;
    trace_context context;
    std::string parent; ///< span id, empty for a root
    span_kind kind = span_kind::internal;
    time_point started;
    std::int64_t started_ms = 0; ///< Unix time
    std::vector<span_attribute> attributes;
    bool failed = false;

    void set(std::string_view attribute, std::string_view value);
    void set(std::string_view attribute, std::uint64_t value);
};

class tracer {
public:
    /// `file`: "-" for standard error; empty to write no spans (contexts are still passed on).
    static result<std::unique_ptr<tracer>> open(const std::string& file, const node_id& node,
                                                std::uint64_t seed);
    ~tracer();
    tracer(const tracer&) = delete;
    tracer& operator=(const tracer&) = delete;

    span begin(std::string_view name, span_kind kind, const std::optional<trace_context>& parent);
    void end(span finished);
    /// Writes the buffered spans; the daemon calls it every second.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    tracer(std::FILE* file, bool owned, const node_id& node, std::uint64_t seed);
    std::string random_hex(std::size_t digits);

    std::FILE* m_file;
    bool m_owned;
    std::string m_node;
    random_source m_random;
    boost::json::array m_buffered_spans; ///< finished spans, rendered
    std::uint64_t m_dropped = 0;
};

} // namespace jaynotch
