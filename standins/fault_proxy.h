// A TCP proxy on the loopback interface that injects network faults into the connections it
// forwards. Neither end needs to cooperate.
//
//   auto link = fault_proxy::open(executor, store_address).value();
//   configure_daemon(link->address());      // the daemon reaches the store through the proxy
//   link->set(link_fault::silence);
//   link->set(link_fault::none);            // ends the fault; blocked data is forwarded
//
// Use one proxy for each link of each process, so that each link can fail independently.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>

namespace jaynotch {

enum class link_fault {
    none,
    delay,      ///< each chunk is forwarded after a delay
    reset,      ///< open and new connections are reset
    cut_there,  ///< data from the client is blocked, data from the target passes
    cut_back,   ///< data from the target is blocked, data from the client passes
    silence,    ///< both directions are blocked, and no connection is closed
    drop_quiet, ///< open connections are blocked for good, new ones work
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

/// What clients see that are cut off.
enum class client_cut {
    drop,  ///< no packet of theirs arrives: new connections hang
    reset, ///< open and new connections are reset, the latter right after they have opened
    mute,  ///< connections open, and nothing passes in either direction
};

template <>
struct enum_names<client_cut> {
    static constexpr std::array entries{
        named{client_cut::drop, "drop"},
        named{client_cut::reset, "reset"},
        named{client_cut::mute, "mute"},
    };
};

class fault_proxy : public std::enable_shared_from_this<fault_proxy> {
public:
    /// Listens on a free loopback port and forwards connections to `target` ("host:port").
    /// Errors: invalid_argument for a malformed target, unavailable if it can't listen.
    static result<std::shared_ptr<fault_proxy>> open(const boost::asio::any_io_executor& executor,
                                                     const std::string& target);

    [[nodiscard]] const std::string& address() const { return m_address; }
    void set(link_fault fault, duration delay = duration{0});
    /// Cuts these clients off, also their open connections. An empty set ends that; what was
    /// blocked is forwarded.
    result<void> cut_off(std::set<boost::asio::ip::address_v4> clients,
                         client_cut how = client_cut::drop);
    /// Forwards later connections to `target` ("host:port").
    result<void> set_target(const std::string& target);
    /// Passes nothing more on the open connections, as drop_quiet does, without changing the fault.
    void drop_open();
    void close();

private:
    struct tunnel {
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket upstream;
        boost::asio::ip::address_v4 from; ///< the client's
        bool blackholed = false;          ///< forwards no more data
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
    /// Waits until a chunk may be forwarded. False if the tunnel or the proxy was closed meanwhile.
    boost::asio::awaitable<bool> wait_until_allowed(std::shared_ptr<tunnel> connection,
                                                    direction dir);
    [[nodiscard]] bool is_blocked(const tunnel& connection, direction dir) const;
    static void reset(tunnel& connection);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::string m_address;
    link_fault m_fault = link_fault::none;
    duration m_delay{0};
    std::set<boost::asio::ip::address_v4> m_cut_off;
    client_cut m_cut_how = client_cut::drop;
    std::set<std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace jaynotch
