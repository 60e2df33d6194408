// The frames that wait to be sent to one peer. Control frames are sent before bulk frames; each
// priority is bounded in frames and bytes.
//
//   frame_queue queue;
//   if (!queue.push(std::move(bytes), frame_priority::bulk)) ...  // full
//   while (!queue.empty()) send(queue.pop());
#pragma once

#include "peers/frame.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace jaynotch {

class frame_queue {
public:
    /// Returns false, and doesn't take the frame, if the queue of its priority is full.
    bool push(std::string frame, frame_priority priority)
    {
        lane& chosen = priority == frame_priority::control ? m_control : m_bulk;
        if (chosen.frames.size() >= max_frames || chosen.bytes + frame.size() > max_bytes)
            return false;
        chosen.bytes += frame.size();
        chosen.frames.push_back(std::move(frame));
        return true;
    }

    /// Removes the frame to be sent next. The queue must not be empty.
    std::string pop()
    {
        lane& chosen = m_control.frames.empty() ? m_bulk : m_control;
        std::string frame = std::move(chosen.frames.front());
        chosen.frames.pop_front();
        chosen.bytes -= frame.size();
        return frame;
    }

    [[nodiscard]] bool empty() const { return frames() == 0; }
    [[nodiscard]] std::size_t frames() const
    {
        return m_control.frames.size() + m_bulk.frames.size();
    }
    [[nodiscard]] std::size_t bytes() const { return m_control.bytes + m_bulk.bytes; }

private:
    // Of each priority.
    static constexpr std::size_t max_frames = 64;
    static constexpr std::size_t max_bytes = 4U << 20U;

    /// The frames of one priority.
    struct lane {
        std::deque<std::string> frames;
        std::size_t bytes = 0;
    };

    lane m_control;
    lane m_bulk;
};

} // namespace jaynotch
