// A whole platform in one process: key-value service, VM list, weight store, engines in fabric
// domains over failure domains, and plain services, all on free loopback ports.
//
//   auto fleet = standin_fleet::start(executor, {.engines = 8, .fabric_domains = 2});
//   fleet.value()->engine(3).apply({.kill = true});
//   std::string where = fleet.value()->describe();     // addresses as JSON
//
// Engine i is "vm-<i>"; engines are dealt out to fabric domains "fabric-<k>" in equal runs, and
// fabric domains to failure domains in turn. The control address takes POST /fault/<name> for
// kv, vms, weights, an engine's VM or a plain service, also while the target is dead.
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
    std::uint32_t accelerators = 2; ///< of each VM
    std::vector<std::string> plain; ///< names of plain services
    engine_standin_settings engine; ///< for all; names and stores are filled in
    kv_standin_settings kv;
    weight_standin_settings weights;
    vm_list_standin_settings vms;
    duration plain_work{0};
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
    /// Makes the VM list show an engine at another address, one that leads to it.
    void advertise_engine_address(std::size_t index, const std::string& address);
    /// Fabric domain of an engine.
    [[nodiscard]] fabric_domain_id fabric_domain_of(std::size_t index) const;
    [[nodiscard]] failure_domain_id failure_domain_of(std::size_t index) const;

    /// Changes the faults of whatever has this name; not_found if nothing has.
    result<void> apply(const std::string& name, const fault_change& change);
    /// Changes the faults of every engine of a fabric domain, as a dark switch does.
    void apply_to_fabric(const fabric_domain_id& domain, const fault_change& change);
    /// {"kv","vms","weights","control","engines":[...],"plain":[...]}.
    [[nodiscard]] std::string describe() const;

private:
    standin_fleet(const boost::asio::any_io_executor& executor,
                  const standin_fleet_settings& settings);
    result<void> start_platform();
    result<void> start_backends();
    awaitable<void> handle(standin_exchange& exchange);
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
