// A ticket lock for coroutines: the number at the front of the queue writes. Whenever a turn ends,
// all waiters wake and check whether they are at the front, which is cheap because a request rarely
// has more than two.
#include "daemon/write_turns.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace jaynotch {

namespace net = boost::asio;

write_turns::turn::~turn()
{
    if (m_turns == nullptr)
        return;
    std::erase(m_turns->m_order, m_number);
    m_turns->m_changed.cancel();
}

net::awaitable<write_turns::turn> write_turns::next()
{
    turn mine{*this, ++m_last};
    m_order.push_back(mine.m_number);
    while (m_order.front() != mine.m_number) {
        boost::system::error_code woken;
        co_await m_changed.async_wait(net::redirect_error(net::use_awaitable, woken));
    }
    co_return mine;
}

} // namespace jaynotch
