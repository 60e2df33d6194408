#include "cli/log_lines.h"

#include <fstream>
#include <iostream>

// Log collectors may put a prefix, such as a time or a host name, before a line, so the JSON object
// is taken to start at the first brace. Lines without a brace come from other programs and are
// ignored. Lines with a brace that do not parse are counted, so that commands can report that their
// output is incomplete.

namespace jaynotch {

namespace {

std::optional<log_line> parse(std::string_view text)
{
    boost::system::error_code parse_error;
    boost::json::value parsed = boost::json::parse({text.data(), text.size()}, parse_error);
    if (parse_error || !parsed.is_object())
        return std::nullopt;
    log_line line;
    line.fields = std::move(parsed.as_object());
    line.at_ms = number_field(line, "ts_ms", -1);
    line.instance = text_field(line, "instance");
    line.kind = text_field(line, "kind");
    line.request = text_field(line, "request");
    if (line.at_ms < 0 || line.kind.empty())
        return std::nullopt;
    return line;
}

} // namespace

std::string text_field(const log_line& line, std::string_view name)
{
    const boost::json::value* found = line.fields.if_contains({name.data(), name.size()});
    return found != nullptr && found->is_string() ? std::string{found->get_string()}
                                                  : std::string{};
}

std::int64_t number_field(const log_line& line, std::string_view name, std::int64_t default_value)
{
    const boost::json::value* found = line.fields.if_contains({name.data(), name.size()});
    return found != nullptr && found->is_int64() ? found->get_int64() : default_value;
}

log_lines read_log_lines(std::istream& input)
{
    log_lines read;
    std::string text;
    while (std::getline(input, text)) {
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        if (std::optional<log_line> line = parse(std::string_view{text}.substr(start)))
            read.lines.push_back(std::move(*line));
        else
            ++read.unreadable;
    }
    return read;
}

result<log_lines> read_log_files(const std::vector<std::string>& paths)
{
    if (paths.empty())
        return read_log_lines(std::cin);
    log_lines all;
    for (const std::string& path : paths) {
        std::ifstream file{path};
        if (!file)
            return error{error_kind::not_found, path + " can't be read",
                         "give the paths of log files written by daemons"};
        log_lines read = read_log_lines(file);
        std::move(read.lines.begin(), read.lines.end(), std::back_inserter(all.lines));
        all.unreadable += read.unreadable;
    }
    return all;
}

} // namespace jaynotch
