// Callers of a soak: each keeps its connections to the daemons open and uses them until the process
// at the other end is gone; every request and answer goes into the book.
//
//   soak_callers callers{io, site, book, random_source{seed}};
//   callers.start(12);
//   callers.stop();
#pragma once

#include "soak/soak_site.h"

#include <boost/asio/awaitable.hpp>

namespace jaynotch {

class soak_callers {
public:
    soak_callers(boost::asio::io_context& io, soak_site& site, promise_checker& checker,
                 random_source random)
        : m_io{io}, m_site{site}, m_checker{checker}, m_random{random}
    {}

    void start(std::size_t count);
    /// Those under way end first; `idle` then tells.
    void stop() { m_stopped = true; }
    [[nodiscard]] bool idle() const { return m_running == 0; }

private:
    boost::asio::awaitable<void> run(std::size_t caller);
    boost::asio::awaitable<void> send_request(std::size_t caller, std::size_t daemon,
                                              http_client& client);

    boost::asio::io_context& m_io;
    soak_site& m_site;
    promise_checker& m_checker;
    random_source m_random;
    std::size_t m_running = 0;
    std::size_t m_last_request = 0;
    bool m_stopped = false;
};

} // namespace jaynotch
