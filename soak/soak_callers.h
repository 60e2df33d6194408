// The callers of a soak run. Each keeps a client with persistent connections to every daemon and
// sends random requests; every request and answer is recorded in the promise_checker.
//
//   soak_callers callers{io, site, checker, random_source{seed}};
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
    /// Sends no further requests. idle() is true once the pending ones have ended.
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
