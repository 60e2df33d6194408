// The frames that were sent to one peer and that it has not acknowledged yet.
//
//   sent_frames sent;
//   sent.add(frame, now);                        // before it is written
//   sent.acknowledge(count, now);                // the peer has acknowledged `count` units
//   if (sent.is_overdue(now)) ...                // the connection passes nothing any more
//   for (auto& frame : sent.take_for_resend()) ...
//
// A peer acknowledges each unit of ack_unit_bytes of a frame as it reads it, so that a large frame
// on a slow link is not taken for a silent connection.
#pragma once

#include "base/base.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace jaynotch {

/// The receiver acknowledges each unit of a frame, and the rest of it, with one byte.
inline constexpr std::size_t ack_unit_bytes = 16U << 10U;

class sent_frames {
public:
    using frame_ptr = std::shared_ptr<const std::string>;

    void add(frame_ptr frame, time_point now);
    void acknowledge(std::size_t units, time_point now);

    [[nodiscard]] bool empty() const { return m_frames.empty(); }
    /// Whether the next frame must wait for an acknowledgement.
    [[nodiscard]] bool full() const
    {
        return m_frames.size() >= max_frames || m_bytes >= max_bytes;
    }
    /// When the connection counts as silent unless the peer acknowledges something before.
    [[nodiscard]] time_point overdue_at() const;
    [[nodiscard]] bool is_overdue(time_point now) const { return now >= overdue_at(); }
    /// Empties the table. Returns the frames that were sent once, in order; those that were sent
    /// twice are dropped, since the peer may be unable to process them.
    std::deque<frame_ptr> take_for_resend();

private:
    static constexpr std::size_t max_frames = 256;
    static constexpr std::size_t max_bytes = 4U << 20U;

    struct row {
        frame_ptr frame;
        std::size_t units = 0; ///< not acknowledged yet
        bool resent = false;
    };

    /// Until a connection without an acknowledgement counts as silent.
    [[nodiscard]] duration timeout() const;

    std::deque<row> m_frames;
    std::size_t m_bytes = 0;
    std::size_t m_resend_left = 0; ///< frames to be added next that were sent before
    bool m_acknowledges = false;   ///< the peer has acknowledged something
    duration m_longest_delay{0};   ///< of recent acknowledgements
    time_point m_progress_at;      ///< last acknowledgement, or when the oldest frame was added
};

} // namespace jaynotch
