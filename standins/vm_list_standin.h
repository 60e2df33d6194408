// Stand-in for the platform's VM list, which serves the list as it was `lag` ago.
//
//   auto list = vm_list_standin::start(executor, {.lag = std::chrono::seconds{2}});
//   list.value()->put(entry);
//   list.value()->set_leaving(vm_id{"vm-3"}, wall_time_ms() + 60'000);
//
// POST /vms with {"vm","state":"leaving"|"gone","leave_by_ms"} changes a VM.
#pragma once

#include "services/services.h"
#include "standins/faults.h"
#include "standins/standin_server.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct vm_list_standin_settings {
    std::string listen = "127.0.0.1:0";
    duration lag{0}; ///< age of the list that is served
};

class vm_list_standin : public std::enable_shared_from_this<vm_list_standin> {
public:
    static result<std::shared_ptr<vm_list_standin>>
    start(const boost::asio::any_io_executor& executor, const vm_list_standin_settings& settings);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    void apply(const fault_change& change);
    void set_lag(duration lag) { m_lag = lag; }
    /// Adds a VM or replaces the one with the same name.
    void put(vm_entry entry);
    /// Replaces the list.
    void put_all(std::vector<vm_entry> entries);
    void set_leaving(const vm_id& vm, std::int64_t leave_by_ms);
    void remove(const vm_id& vm);
    /// The current list, without the lag.
    [[nodiscard]] const std::vector<vm_entry>& vms() const { return m_vms; }

private:
    /// The list between two changes.
    struct version {
        time_point since;
        std::int64_t as_of_ms = 0;
        std::vector<vm_entry> vms;
    };

    vm_list_standin(const boost::asio::any_io_executor& executor, duration lag);
    awaitable<void> handle(standin_exchange& exchange);
    result<void> edit(const std::string& body);
    /// Adds the current list as a new version.
    void record_version();
    /// The version that was current `lag` ago; drops older ones.
    [[nodiscard]] const version& visible_version();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<standin_server> m_server;
    duration m_lag;
    std::vector<vm_entry> m_vms;
    std::deque<version> m_versions; ///< oldest first, beginning with the last one served
    fault_state m_faults;
};

} // namespace jaynotch
