// Simulates network partitions between processes on the loopback interface. Daemons reach every
// service through a forwarder, which identifies the process that opened each connection and stops
// forwarding between names that are cut off from each other.
//
//   loopback_network network{executor};
//   std::string address = network.forward("kv", kv_address).value();   // for the daemons
//   network.add_process("entry-1", pid);
//   network.cut("entry-1", "kv");
//
// As in a real partition, no connection is closed or refused: data is held back until heal().
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

    /// Opens a forwarder to `target` ("host:port") and returns its address. Errors:
    /// invalid_argument for a malformed target, unavailable if it can't listen.
    result<std::string> forward(const std::string& name, const std::string& target);
    /// Sets the process that a name stands for, so that its connections are identified.
    void add_process(const std::string& name, int pid) { m_processes[name] = pid; }
    /// Blocks data between two names in both directions.
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
                                       std::shared_ptr<forwarder> listener);
    static awaitable<void> connect(std::shared_ptr<loopback_network> self,
                                   std::shared_ptr<tunnel> connection,
                                   boost::asio::ip::tcp::endpoint target);
    static awaitable<void> copy(std::shared_ptr<loopback_network> self,
                                std::shared_ptr<tunnel> connection,
                                boost::asio::ip::tcp::socket& from,
                                boost::asio::ip::tcp::socket& to);
    [[nodiscard]] bool is_cut(const tunnel& connection) const;
    /// Name of the process that opened an accepted connection; empty if unknown.
    [[nodiscard]] std::string find_source(const boost::asio::ip::tcp::socket& client) const;

    boost::asio::any_io_executor m_executor;
    std::vector<std::shared_ptr<forwarder>> m_forwarders;
    std::map<std::string, int> m_processes;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace jaynotch
