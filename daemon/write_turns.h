// Lets several coroutines write to one connection, one after the other, in the order in which they
// asked.
//
//   write_turns turns{executor};
//   const write_turns::turn mine = co_await turns.next();   // earlier writers have finished
//   co_await connection.write(piece);
//
// The order matters for a stream that is resumed: what an earlier attempt has read counts as
// delivered, so the later attempt continues after it, and its bytes must not overtake the earlier
// attempt's.
#pragma once

#include "base/base.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>

namespace jaynotch {

class write_turns {
public:
    /// A place in the order. The next writer's turn begins when it is destroyed.
    class turn {
    public:
        turn(turn&& other) noexcept
            : m_turns{std::exchange(other.m_turns, nullptr)}, m_number{other.m_number}
        {}
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;
        turn& operator=(turn&&) = delete;
        ~turn();

    private:
        friend class write_turns;
        turn(write_turns& turns, std::uint64_t number) : m_turns{&turns}, m_number{number} {}

        write_turns* m_turns;
        std::uint64_t m_number;
    };

    explicit write_turns(const boost::asio::any_io_executor& executor)
        : m_changed{executor, time_point::max()}
    {}

    /// Waits until every turn that was asked for earlier has ended. A waiter that is cancelled
    /// gives up its place.
    boost::asio::awaitable<turn> next();
    /// Whether anybody writes or waits.
    [[nodiscard]] bool busy() const { return !m_order.empty(); }

private:
    std::deque<std::uint64_t> m_order; ///< numbers of the turns; the first one writes
    std::uint64_t m_last = 0;
    timer m_changed; ///< never expires; cancelled when a turn ends
};

} // namespace jaynotch
