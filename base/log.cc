#include "base/log.h"

#include "base/clock.h"

#include <glog/logging.h>

#include <cstdio>
#include <mutex>

// log_event hands glog a finished JSON object; the sink adds time, level and source to it. Lines
// that are not ours (a library's) are wrapped. One write per line keeps lines of threads whole.

namespace jaynotch {

namespace {

constexpr std::string_view event_mark = "\x01";

class json_sink final : public google::LogSink {
public:
    json_sink(std::string_view program, std::string_view instance)
        : m_program{program}, m_instance{instance}
    {}

    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t message_len) override
    {
        const std::string_view text{message, message_len};
        boost::json::object entry;
        entry["ts_ms"] = wall_time_ms();
        entry["level"] = to_name(level_of(severity));
        entry["program"] = m_program;
        entry["instance"] = m_instance;
        if (text.starts_with(event_mark)) {
            const boost::json::value parsed = boost::json::parse(text.substr(event_mark.size()));
            for (const auto& member : parsed.as_object())
                entry[member.key()] = member.value();
        }
        else {
            entry["kind"] = "library";
            entry["source"] = std::string{base_filename} + ":" + std::to_string(line);
            entry["message"] = text;
        }
        const std::string rendered = boost::json::serialize(entry) + "\n";
        const std::lock_guard lock{m_mutex};
        std::fwrite(rendered.data(), 1, rendered.size(), stderr);
    }

private:
    static log_level level_of(google::LogSeverity severity)
    {
        if (severity == google::GLOG_INFO)
            return log_level::info;
        return severity == google::GLOG_WARNING ? log_level::warning : log_level::error;
    }

    std::mutex m_mutex;
    std::string m_program;
    std::string m_instance;
};

} // namespace

void install_json_log(std::string_view program, std::string_view instance)
{
    static const std::string name{program};
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES; // the sink is the only way out
    google::InitGoogleLogging(name.c_str());
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    static json_sink sink{program, instance};
    google::AddLogSink(&sink);
}

void log_event(log_level level, std::string_view kind, std::initializer_list<log_field> fields)
{
    boost::json::object entry;
    entry["kind"] = kind;
    for (const log_field& field : fields)
        entry[field.name] = field.value;
    const std::string text = std::string{event_mark} + boost::json::serialize(entry);
    switch (level) {
    case log_level::info:
        LOG(INFO) << text;
        break;
    case log_level::warning:
        LOG(WARNING) << text;
        break;
    case log_level::error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace jaynotch
