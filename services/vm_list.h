// Client of the platform's list of VMs, which lags behind the VMs' actual state.
//
//   vm_list_client list{executor, "10.0.0.9:8080", std::chrono::seconds{2}};
//   result<vm_list> current = co_await list.fetch();
#pragma once

#include "base/base.h"
#include "http/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

enum class vm_state { live, leaving };

template <>
struct enum_names<vm_state> {
    static constexpr std::array entries{
        named{vm_state::live, "live"},
        named{vm_state::leaving, "leaving"},
    };
};

/// One backend VM in the list.
struct vm_entry {
    vm_id vm;
    std::string address; ///< "IP:port" of its engine
    fabric_domain_id fabric_domain = {};
    failure_domain_id failure_domain = {};
    std::uint32_t accelerators = 0;
    vm_state state = vm_state::live;
    std::int64_t leave_by_ms = 0; ///< wall-clock time by which a leaving VM ends; 0 if it stays

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

struct vm_list {
    std::int64_t as_of_ms = 0; ///< wall-clock time of the list's contents
    std::vector<vm_entry> vms;

    friend bool operator==(const vm_list&, const vm_list&) = default;
};

/// Parses the list; fails on duplicate VMs and unknown states.
result<vm_list> parse_vm_list(std::string_view body);
std::string render_vm_list(const vm_list& list);

class vm_list_client {
public:
    vm_list_client(const boost::asio::any_io_executor& executor, std::string address,
                   duration timeout);
    awaitable<result<vm_list>> fetch();

private:
    http_client m_client;
    duration m_timeout;
};

} // namespace jaynotch
