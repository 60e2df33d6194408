// A complete platform of stand-ins in one process: key-value service, VM list, weight store,
// engines in fabric domains and failure domains, and plain services, all on free loopback ports.
//
//   auto fleet = standin_fleet::start(executor, {.engines = 8, .fabric_domains = 2});
//   fleet.value()->engine(3).apply({.kill = true});
//   std::string addresses = fleet.value()->describe();     // as JSON
//
// Engine i has the VM name "vm-<i>". Engines are divided into equal contiguous ranges, one for each
// fabric domain "fabric-<k>"; fabric domains are assigned to failure domains round-robin. The
// control address accepts POST /fault/<name>, where the name is kv, vms, weights, an engine's VM or
// a plain service; this works also while the target is killed. GET /fleet returns the addresses,
// GET /account the counts of executed requests and of outdated orders that engines executed.
#pragma once

#include "services/services.h"
#include "standins/engine_standin.h"
#include "standins/kv_standin.h"
#include "standins/plain_standin.h"
#include "standins/vm_list_standin.h"
#include "standins/weight_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct standin_fleet_settings {
    std::size_t engines = 8;
    std::size_t fabric_domains = 2;
    std::vector<std::string> failure_domains{"a"};
    std::uint32_t accelerators = 2; ///< per VM
    std::vector<std::string> plain; ///< names of plain services
    engine_standin_settings engine; ///< for all engines; vm and weight_store are set for each
    kv_standin_settings kv;
    weight_standin_settings weights;
    vm_list_standin_settings vms;
    duration plain_work{0}; ///< time that a plain service takes for a request
    std::string control_listen = "127.0.0.1:0";
};

class standin_fleet : public std::enable_shared_from_this<standin_fleet> {
public:
    static result<std::shared_ptr<standin_fleet>>
    start(const boost::asio::any_io_executor& executor, const standin_fleet_settings& settings);

    [[nodiscard]] kv_standin& kv() { return *m_kv; }
    [[nodiscard]] vm_list_standin& vms() { return *m_vms; }
    [[nodiscard]] weight_standin& weights() { return *m_weights; }
    [[nodiscard]] std::size_t engine_count() const { return m_engines.size(); }
    [[nodiscard]] engine_standin& engine(std::size_t index) { return *m_engines.at(index); }
    [[nodiscard]] std::size_t plain_count() const { return m_plain.size(); }
    [[nodiscard]] plain_standin& plain(std::size_t index) { return *m_plain.at(index); }
    [[nodiscard]] const std::string& control_address() const { return m_control->address(); }
    /// Replaces an engine's address in the VM list, for example by that of a proxy in front of it.
    /// Group members find the engine by either address.
    void advertise_engine_address(std::size_t index, const std::string& address);
    [[nodiscard]] fabric_domain_id fabric_domain_of(std::size_t index) const;
    [[nodiscard]] failure_domain_id failure_domain_of(std::size_t index) const;

    /// Changes the faults of the stand-in with this name; not_found if there is none.
    result<void> apply(const std::string& name, const fault_change& change);
    /// Changes the faults of every engine of a fabric domain, as a failed switch would.
    void apply_to_fabric(const fabric_domain_id& domain, const fault_change& change);
    /// Addresses as a JSON object: {"kv","vms","weights","control","engines":[...],"plain":[...]}.
    [[nodiscard]] std::string describe() const;

private:
    standin_fleet(const boost::asio::any_io_executor& executor,
                  const standin_fleet_settings& settings);
    result<void> start_platform();
    result<void> start_backends();
    awaitable<void> handle(standin_exchange& exchange);
    /// Counts over all engines and plain services, as JSON.
    [[nodiscard]] std::string render_totals() const;

    boost::asio::any_io_executor m_executor;
    standin_fleet_settings m_settings;
    std::shared_ptr<engine_directory> m_directory = std::make_shared<engine_directory>();
    std::shared_ptr<kv_standin> m_kv;
    std::shared_ptr<vm_list_standin> m_vms;
    std::shared_ptr<weight_standin> m_weights;
    std::vector<std::shared_ptr<engine_standin>> m_engines;
    std::vector<std::shared_ptr<plain_standin>> m_plain;
    std::shared_ptr<standin_server> m_control;
};

} // namespace jaynotch
