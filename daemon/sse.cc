#include "daemon/sse.h"

#include <charconv>

// The splitter reads only the framing; the JSON in an event is parsed by Boost.JSON. A line may end
// in LF, CRLF or CR; an event ends at the first empty line. m_scanned ensures that the search
// doesn't start over with each piece.

namespace jaynotch {

namespace {

/// The length of the line ending at position `at`; 0 if there is none.
std::size_t line_end(std::string_view text, std::size_t at)
{
    if (at >= text.size())
        return 0;
    if (text[at] == '\n')
        return 1;
    if (text[at] != '\r')
        return 0;
    return at + 1 < text.size() && text[at + 1] == '\n' ? 2 : 1;
}

} // namespace

result<void> sse_splitter::feed(std::string_view piece)
{
    if (m_event_start > 0) {
        m_buffer.erase(0, m_event_start);
        m_scanned -= m_event_start;
        m_event_start = 0;
    }
    m_buffer += piece;
    if (m_buffer.size() > m_limit + piece.size())
        return error{error_kind::protocol, "an event of the stream is too long",
                     "have the engine send shorter events"};
    return success();
}

std::optional<std::string_view> sse_splitter::next()
{
    const std::string_view buffer{m_buffer};
    for (std::size_t at = std::max(m_scanned, m_event_start); at < buffer.size(); ++at) {
        const std::size_t first = line_end(buffer, at);
        if (first == 0)
            continue;
        // The next byte decides whether this CR is a line ending of its own or part of a CRLF, so
        // the search waits for it.
        if (buffer[at] == '\r' && at + 1 == buffer.size()) {
            m_scanned = at;
            return std::nullopt;
        }
        const std::size_t second = line_end(buffer, at + first);
        if (second == 0) {
            if (at + first == buffer.size()) {
                m_scanned = at;
                return std::nullopt;
            }
            at += first - 1;
            continue;
        }
        const std::size_t end = at + first + second;
        const std::string_view event = buffer.substr(m_event_start, end - m_event_start);
        m_event_start = end;
        m_scanned = end;
        return event;
    }
    m_scanned = std::max(m_scanned, buffer.size());
    return std::nullopt;
}

std::string sse_data(std::string_view event)
{
    static constexpr std::string_view field = "data:";
    std::string joined;
    bool any = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find_first_of("\r\n"), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (any)
            joined += '\n';
        joined += line;
        any = true;
    }
    return joined;
}

std::optional<std::uint64_t> sse_id(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t end = std::min(event.find_first_of("\r\n"), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [stop, failed] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (line.empty() || failed != std::errc{} || stop != line.data() + line.size())
            return std::nullopt;
        return id;
    }
    return std::nullopt;
}

bool is_done_event(std::string_view event)
{
    // The terminal mark is short. Longer events are excluded without copying their data.
    static constexpr std::size_t max_mark_event_bytes = 64;
    return event.size() <= max_mark_event_bytes && sse_data(event) == done_mark;
}

stream_chunk read_chunk(std::string_view data)
{
    stream_chunk chunk;
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view{data.data(), data.size()}, failed);
    const auto* object = failed ? nullptr : parsed.if_object();
    if (object == nullptr || object->contains("error")) {
        chunk.failed = true;
        return chunk;
    }
    const auto* choices = object->if_contains("choices");
    const auto* list = choices == nullptr ? nullptr : choices->if_array();
    if (list == nullptr || list->empty())
        return chunk; // a chunk with usage statistics has no choices
    const auto* choice = list->front().if_object();
    if (choice == nullptr) {
        chunk.failed = true;
        return chunk;
    }
    const auto* reason = choice->if_contains("finish_reason");
    chunk.finished = reason != nullptr && reason->is_string();
    const auto* text = choice->if_contains("text");
    if (const auto* delta = choice->if_contains("delta"); delta != nullptr && delta->is_object())
        text = delta->get_object().if_contains("content");
    if (text != nullptr && text->is_string())
        chunk.text = std::string{text->get_string()};
    return chunk;
}

std::string error_event(std::string_view refusal_json)
{
    return "data: " + std::string{refusal_json} + "\n\n";
}

} // namespace jaynotch
