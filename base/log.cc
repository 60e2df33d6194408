#include "base/log.h"

#include "base/clock.h"
#include "base/log_buffer.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <mutex>

// Lines of this program and, through a LogSink, those that libraries write with glog go into one
// bounded buffer, which is written to standard output as far as that is possible without blocking.
// A pipe that poll reports as writable accepts PIPE_BUF bytes without blocking (POSIX, write), so
// O_NONBLOCK is not needed. Setting it would also affect other processes that share the open file.

namespace jaynotch {

namespace {

constexpr std::size_t max_pipe_write = 4096;      // PIPE_BUF on Linux
constexpr std::size_t flush_threshold = 8 * 1024; // buffered bytes that justify a system call
constexpr int exit_flush_timeout_ms = 100;        // how long a slow reader is waited for at exit

/// The log of the process.
class log_output {
public:
    void set_identity(std::string_view program, std::string_view instance)
    {
        const std::lock_guard lock{m_mutex};
        m_program = program;
        m_instance = instance;
    }

    void add(log_level level, std::string_view kind, boost::json::object fields)
    {
        const std::lock_guard lock{m_mutex};
        append(level, kind, std::move(fields));
        if (!m_defer_routine || level != log_level::info ||
            m_lines.buffered_bytes() >= flush_threshold)
            write_out(0);
    }

    void defer_routine_lines() { m_defer_routine = true; }

    void flush(int wait_ms)
    {
        const std::lock_guard lock{m_mutex};
        std::map<std::string, std::uint64_t> dropped = m_lines.take_dropped();
        if (!dropped.empty()) {
            boost::json::object counts;
            for (const auto& [kind, count] : dropped)
                counts[kind] = count;
            append(log_level::warning, "log_dropped", {{"lines", std::move(counts)}});
        }
        write_out(wait_ms);
    }

    [[nodiscard]] std::uint64_t dropped()
    {
        const std::lock_guard lock{m_mutex};
        return m_lines.dropped();
    }

private:
    void append(log_level level, std::string_view kind, boost::json::object fields)
    {
        boost::json::object entry;
        entry["ts_ms"] = wall_time_ms();
        entry["level"] = to_name(level);
        entry["program"] = m_program;
        entry["instance"] = m_instance;
        entry["kind"] = kind;
        for (auto& field : fields)
            entry[field.key()] = std::move(field.value());
        m_lines.add(level, kind, boost::json::serialize(entry) + "\n", runtime_clock::now());
    }

    void write_out(int wait_ms)
    {
        for (std::string_view next = m_lines.front(max_pipe_write); !next.empty();
             next = m_lines.front(max_pipe_write))
        {
            pollfd out{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&out, 1, wait_ms) <= 0 || (out.revents & POLLOUT) == 0)
                return; // slow or absent reader; lines that no longer fit are dropped and counted
            const ssize_t written = write(STDOUT_FILENO, next.data(), next.size());
            if (written <= 0)
                return;
            m_lines.consume(static_cast<std::size_t>(written));
        }
    }

    std::mutex m_mutex;
    std::string m_program;
    std::string m_instance;
    log_buffer m_lines{log_limits{}};
    bool m_defer_routine = false;
};

log_output& output()
{
    static log_output log;
    return log;
}

class json_sink final : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t message_len) override
    {
        const std::string_view text{message, message_len};
        output().add(level_of(severity), "library",
                     {{"source", std::string{base_filename} + ":" + std::to_string(line)},
                      {"message", text}});
    }

private:
    static log_level level_of(google::LogSeverity severity)
    {
        if (severity == google::GLOG_INFO)
            return log_level::info;
        return severity == google::GLOG_WARNING ? log_level::warning : log_level::error;
    }
};

} // namespace

void install_json_log(std::string_view program, std::string_view instance)
{
    static const std::string name{program};
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES; // the sink is the only destination
    google::InitGoogleLogging(name.c_str());
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    static json_sink sink;
    output().set_identity(program, instance);
    google::AddLogSink(&sink);
}

void log_event(log_level level, std::string_view kind, std::initializer_list<log_field> fields)
{
    boost::json::object entry;
    for (const log_field& field : fields)
        entry[field.name] = field.value;
    output().add(level, kind, std::move(entry));
}

void defer_routine_log_lines()
{
    output().defer_routine_lines();
}

void flush_log()
{
    output().flush(0);
}

void flush_log_at_exit()
{
    output().flush(exit_flush_timeout_ms);
}

std::uint64_t log_lines_dropped()
{
    return output().dropped();
}

} // namespace jaynotch
