#include "daemon/write_turns.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <string>

using namespace jaynotch;
using namespace std::chrono_literals;
namespace net = boost::asio;

namespace {

/// Writers of one letter each, to one string.
struct writers {
    net::awaitable<void> write(char letter, duration before, duration time)
    {
        timer pause{io, runtime_clock::now() + before};
        co_await pause.async_wait(net::use_awaitable);
        const write_turns::turn mine = co_await turns.next();
        timer slow{io, runtime_clock::now() + time};
        co_await slow.async_wait(net::use_awaitable);
        text += letter;
    }

    void start(char letter, duration before, duration time)
    {
        net::co_spawn(io, write(letter, before, time), net::detached);
    }

    net::io_context io;
    write_turns turns{io.get_executor()};
    std::string text;
};

} // namespace

// Guards against text in the wrong order in a stream that was resumed twice while its caller read
// slowly: the second attempt waits to write what it has read when it is cancelled, and the third
// one, which continues after that, must not write first.
Test(write_turns, writers_follow_in_the_order_in_which_they_asked)
{
    writers all;
    all.start('a', 0ms, 9ms);
    for (int index = 0; index < 12; ++index)
        all.start(static_cast<char>('b' + index), 1ms + index * 500us, 1ms);
    all.io.run();
    cr_assert_str_eq(all.text.c_str(), "abcdefghijklm");
}

// Guards against writers that wait forever behind one whose coroutine was cancelled.
Test(write_turns, a_cancelled_writer_gives_up_its_place)
{
    writers all;
    net::cancellation_signal cancel;
    all.start('a', 0ms, 6ms);
    net::co_spawn(all.io, all.write('b', 1ms, 1ms),
                  net::bind_cancellation_slot(cancel.slot(), net::detached));
    all.start('c', 2ms, 1ms);
    timer later{all.io, runtime_clock::now() + 4ms};
    later.async_wait([&](const boost::system::error_code& /*ignored*/) {
        cancel.emit(net::cancellation_type::terminal);
    });
    all.io.run();
    cr_assert_str_eq(all.text.c_str(), "ac");
    cr_assert(!all.turns.busy());
}
