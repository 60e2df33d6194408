// A network that can be cut: daemons reach everything through loopback forwarders, which know from
// which daemon a connection comes and stop passing bytes between names that are cut off.
//
//   loopback_network network{executor};
//   std::string address = network.forward("kv", kv_address).value();   // give this to the daemons
//   network.add_process("entry-1", pid);
//   network.cut("entry-1", "kv");
//
// A cut is a black hole, as a network partition is: nothing is closed or refused, bytes just do not
// arrive until the cut is healed.
#pragma once

#include "base/base.h"
#include "services/services.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaynotch {

class loopback_network : public std::enable_shared_from_this<loopback_network> {
public:
    explicit loopback_network(boost::asio::any_io_executor executor)
        : m_executor{std::move(executor)}
    {}

    /// Opens a forwarder to `target`; returns its address.
    result<std::string> forward(const std::string& name, const std::string& target);
    /// Says which process bears a name, so that its connections are known.
    void add_process(const std::string& name, int pid) { m_processes[name] = pid; }
    /// Cuts two names off each other, in both directions.
    void cut(const std::string& one, const std::string& other);
    void heal() { m_cuts.clear(); }
    void close();

private:
    struct forwarder {
        std::string name;
        boost::asio::ip::tcp::endpoint target;
        boost::asio::ip::tcp::acceptor acceptor;
    };
    struct tunnel {
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
        std::string from;
        std::string to;
    };

    static awaitable<void> accept_loop(std::shared_ptr<loopback_network> self,
                                       std::shared_ptr<forwarder> at);
    static awaitable<void> connect(std::shared_ptr<loopback_network> self,
                                   std::shared_ptr<tunnel> connection,
                                   boost::asio::ip::tcp::endpoint target);
    static awaitable<void> copy(std::shared_ptr<loopback_network> self,
                                std::shared_ptr<tunnel> connection,
                                boost::asio::ip::tcp::socket& from,
                                boost::asio::ip::tcp::socket& to);
    [[nodiscard]] bool is_cut(const tunnel& connection) const;
    /// Name of the process at the other end of an accepted connection; empty if it is not known.
    [[nodiscard]] std::string find_source(const boost::asio::ip::tcp::socket& client) const;

    boost::asio::any_io_executor m_executor;
    std::vector<std::shared_ptr<forwarder>> m_forwarders;
    std::map<std::string, int> m_processes;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace jaynotch
