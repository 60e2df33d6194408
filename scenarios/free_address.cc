#include "scenarios/free_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

// If the port were in the kernel's range for outgoing connections, a connection could take it while
// the program that listens on it restarts, which then fails at random with "address already in
// use". Linux uses ports from 32768 on for outgoing connections, so these ports lie below. Several
// test programs run at once: each process starts at a different port and checks that a port is free
// before it returns it.

namespace jaynotch {

std::string free_address()
{
    constexpr unsigned lowest = 12'000;
    constexpr unsigned highest = 32'000;
    constexpr unsigned stride = 977; ///< distance of the first ports of consecutive process ids
    static unsigned next = lowest + static_cast<unsigned>(::getpid()) * stride % (highest - lowest);
    boost::asio::io_context io;
    for (;;) {
        const auto port = static_cast<unsigned short>(next);
        next = next + 1 < highest ? next + 1 : lowest;
        const boost::asio::ip::tcp::endpoint wanted{boost::asio::ip::address_v4::loopback(), port};
        boost::asio::ip::tcp::acceptor probe{io, wanted.protocol()};
        boost::system::error_code taken;
        probe.set_option(boost::asio::socket_base::reuse_address{true}, taken);
        probe.bind(wanted, taken);
        if (!taken)
            return "127.0.0.1:" + std::to_string(port);
    }
}

} // namespace jaynotch
