#include "scenarios/free_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

// A port that the kernel hands out for outgoing connections may be taken by one while the program
// that was told to listen there restarts: "address already in use", at random. Linux hands out
// ports from 32768 on, so these lie below. Several test programs run at once; each starts at a
// place of its own, and looks before it takes.

namespace jaynotch {

std::string free_address()
{
    constexpr unsigned lowest = 12'000;
    constexpr unsigned highest = 32'000;
    constexpr unsigned stride = 977; ///< between two processes' first ports
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
