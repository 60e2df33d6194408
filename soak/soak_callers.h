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

    /// Callers that each send a request after the answer to the one before.
    void start(std::size_t count);
    /// Callers that send at this rate, whether earlier requests are answered or not. Each sends a
    /// request once more at another daemon if it may: after a refusal when that said so, or at once
    /// if a request that may be repeated failed.
    void start_at_rate(double per_s);
    /// Sends no further requests. idle() is true once the pending ones have ended.
    void stop() { m_stopped = true; }
    [[nodiscard]] bool idle() const { return m_running == 0; }

private:
    using time_to_retry = std::optional<duration>; ///< nullopt: the request isn't sent again

    boost::asio::awaitable<void> run(std::size_t caller);
    boost::asio::awaitable<void> send_at_rate(double per_s);
    boost::asio::awaitable<void> send_with_retry(std::vector<http_client>& clients);
    boost::asio::awaitable<time_to_retry> send_request(request_record request, http_client& client,
                                                       duration deadline, bool reuses_connection);
    request_record draw_request(const std::string& id_prefix);
    template <class Caller>
    void spawn(Caller caller);

    boost::asio::io_context& m_io;
    soak_site& m_site;
    promise_checker& m_checker;
    random_source m_random;
    std::size_t m_running = 0;
    std::size_t m_last_request = 0;
    bool m_stopped = false;
};

} // namespace jaynotch
