// A loopback proxy that harms what goes through it, from outside both ends.
//
//   auto link = fault_proxy::open(executor, store_address).value();
//   give(link->address());                  // to the process that is to reach the store through it
//   link->set({.kind = link_fault::silence});
//   link->set({});                          // sound again; what was held up goes on
//
// One link of one process each, so that every link fails by itself.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>

namespace jaynotch {

enum class link_fault {
    none,
    delay,      ///< every piece comes later
    reset,      ///< connections are reset, those open and those that come
    cut_there,  ///< what the near end sends is held up, the rest goes through
    cut_back,   ///< what the far end sends is held up
    silence,    ///< both are held up, and nothing is closed
    drop_quiet, ///< what is open goes silent for good, what comes later works
};

template <>
struct enum_names<link_fault> {
    static constexpr std::array entries{
        named{link_fault::none, "none"},
        named{link_fault::delay, "delay"},
        named{link_fault::reset, "reset"},
        named{link_fault::cut_there, "cut_there"},
        named{link_fault::cut_back, "cut_back"},
        named{link_fault::silence, "silence"},
        named{link_fault::drop_quiet, "drop_quiet"},
    };
};

class fault_proxy : public std::enable_shared_from_this<fault_proxy> {
public:
    /// Listens on a free port of the loopback for connections to `target`.
    static result<std::shared_ptr<fault_proxy>> open(const boost::asio::any_io_executor& executor,
                                                     const std::string& target);

    [[nodiscard]] const std::string& address() const { return m_address; }
    void set(link_fault fault, duration delay = duration{0});
    void close();

private:
    struct tunnel {
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket upstream;
        bool blackholed = false; ///< passes nothing any more
    };
    enum class direction { to_upstream, to_client };

    explicit fault_proxy(const boost::asio::any_io_executor& executor)
        : m_executor{executor}, m_acceptor{executor}
    {}

    static boost::asio::awaitable<void> accept_loop(std::shared_ptr<fault_proxy> self);
    static boost::asio::awaitable<void> connect(std::shared_ptr<fault_proxy> self,
                                                std::shared_ptr<tunnel> connection);
    static boost::asio::awaitable<void> copy(std::shared_ptr<fault_proxy> self,
                                             std::shared_ptr<tunnel> connection, direction dir);
    /// Waits until a piece may go on; false if it never may.
    boost::asio::awaitable<bool> wait_until_allowed(std::shared_ptr<tunnel> connection,
                                                    direction dir);
    [[nodiscard]] bool is_blocked(direction dir) const;
    static void reset(tunnel& connection);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::string m_address;
    link_fault m_fault = link_fault::none;
    duration m_delay{0};
    std::set<std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace jaynotch
