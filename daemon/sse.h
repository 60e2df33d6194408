// Server-sent events as an engine's stream carries them: splits bytes into whole events and reads
// what the relay has to know of each.
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

/// Cuts a byte stream at the blank lines between events (HTML Living Standard, 9.2.6).
class sse_splitter {
public:
    /// `limit`: the longest event that is held, bytes.
    explicit sse_splitter(std::size_t limit) : m_limit{limit} {}

    /// protocol error if one event is longer than the limit.
    result<void> feed(std::string_view piece);
    /// The next whole event with its blank line; valid until the next call of feed.
    std::optional<std::string_view> next();
    /// Whether bytes of an unfinished event are held.
    [[nodiscard]] bool partial() const { return m_event_start < m_buffer.size(); }

private:
    std::size_t m_limit;
    std::string m_buffer;
    std::size_t m_event_start = 0; ///< where the next event starts
    std::size_t m_scanned = 0;     ///< no event ends before this
};

/// The value of an event's data lines, joined; empty if it has none (a comment).
std::string sse_data(std::string_view event);

/// The number in an event's id line; nullopt if it has none.
std::optional<std::uint64_t> sse_id(std::string_view event);

/// The mark that ends an OpenAI stream.
inline constexpr std::string_view done_mark = "[DONE]";
inline constexpr std::string_view done_event = "data: [DONE]\n\n";

/// Whether the event is the terminal mark.
bool is_done_event(std::string_view event);

/// What a chunk of a chat or text completion says.
struct stream_chunk {
    std::string text;      ///< what it adds to the answer
    bool finished = false; ///< it names a finish_reason
    bool failed = false;   ///< it is an error, or no JSON
};

stream_chunk read_chunk(std::string_view data);

/// An event that tells a client that the answer ends without being whole.
std::string error_event(std::string_view refusal_json);

} // namespace jaynotch
