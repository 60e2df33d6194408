// Server-sent events of a backend server's stream: splits the bytes into complete events and reads
// the fields that the relay needs.
//
//   sse_splitter events{limit};
//   events.feed(piece);
//   while (std::optional<std::string_view> event = events.next()) relay(*event);
#pragma once

#include "base/base.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jaynotch {

/// Splits a byte stream at the blank lines between events (HTML Living Standard, 9.2.6).
class sse_splitter {
public:
    /// `limit`: largest event that is accepted, in bytes.
    explicit sse_splitter(std::size_t limit) : m_limit{limit} {}

    /// Error: protocol, if more than `limit` bytes of an unfinished event are buffered.
    result<void> feed(std::string_view piece);
    /// The next complete event with its blank line; valid until the next call of feed().
    std::optional<std::string_view> next();
    /// Whether bytes of an unfinished event are buffered.
    [[nodiscard]] bool partial() const { return m_event_start < m_buffer.size(); }

private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_event_start = 0; ///< where the next event starts
    std::size_t m_scanned = 0;     ///< where the search for the next event's end resumes
};

/// The values of an event's data lines, joined by line feeds; empty if it has none.
std::string sse_data(std::string_view event);

/// The number in an event's id line; nullopt if it has none.
std::optional<std::uint64_t> sse_id(std::string_view event);

/// The terminal mark of an OpenAI stream.
inline constexpr std::string_view done_mark = "[DONE]";
inline constexpr std::string_view done_event = "data: [DONE]\n\n";

/// Whether the event is the terminal mark.
bool is_done_event(std::string_view event);

/// Contents of one chunk of a chat or text completion.
struct stream_chunk {
    std::string text;      ///< added to the answer
    bool finished = false; ///< has a finish_reason
    bool failed = false;   ///< is an error, or not valid JSON
};

stream_chunk read_chunk(std::string_view data);

/// An event which tells the client that the answer is incomplete. `refusal_json`: body of a
/// refusal.
std::string error_event(std::string_view refusal_json);

} // namespace jaynotch
