// Implementation class of group_driver; private to group_driver.cc and group_calls.cc.
#pragma once

#include "daemon/group_driver.h"
#include "daemon/record_feed.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace jaynotch {

namespace net = boost::asio;

/// How long a ticket is valid after the oldest report that it is based on. Shorter than the order
/// horizon, so that the tickets of a VM's old group have expired when its new group gets one;
/// longer than a probe and a few rounds of gossip take, so that tickets don't expire on nodes that
/// receive them from peers.
constexpr duration ticket_horizon = std::chrono::seconds{5};

class group_driver::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& io, const daemon_settings& settings, kv_service& kv, peer_service& peers,
         group_hooks hooks);

    // group_driver.cc
    net::awaitable<void> run_ticks();
    net::awaitable<void> run_vm_list();
    void handle_record(const kv_entry& entry);
    void install(std::shared_ptr<const configuration> next);
    void handle_ticket(const ticket_digest& heard);
    void stop();
    [[nodiscard]] std::vector<assigned_group> assigned_groups() const;

    // group_calls.cc
    void dispatch_to_managers(const groups::manager_event& event);
    void dispatch_to_manager(const fabric_domain_id& domain, const groups::manager_event& event);
    void dispatch_to_board(const groups::board_event& event);

    net::io_context& io;
    const daemon_settings& settings;
    kv_service& kv;
    peer_service& peers;
    group_hooks hooks;
    std::shared_ptr<const configuration> tables;
    std::map<fabric_domain_id, groups::domain_manager> managers;
    groups::ticket_board board;
    std::optional<record_feed> records; ///< set right after construction
    /// Groups that the records assign, by the hash of the name that tickets carry on the wire.
    std::unordered_map<std::uint32_t, assigned_group> by_wire_key;
    std::map<fabric_domain_id, std::vector<std::uint32_t>> wire_keys_of;
    std::unordered_map<vm_id, groups::member_report> reports;
    std::unordered_set<vm_id> probing;
    std::map<vm_id, fabric_domain_id> domain_of;
    timer tick_timer;
    timer list_timer;
    bool stopped = false;

private:
    // group_driver.cc
    void apply_vm_list(const vm_list& seen);
    void update_peers();

    // group_calls.cc
    void execute(const fabric_domain_id& domain, const groups::kv_call& command);
    void execute(const fabric_domain_id& domain, const groups::lease_grant& command);
    void execute(const fabric_domain_id& domain, const groups::lease_renew& command);
    void execute(const fabric_domain_id& domain, const groups::probe& command);
    void execute(const fabric_domain_id& domain, const groups::order_assign& command);
    void execute(const fabric_domain_id& domain, const groups::order_release& command);
    void execute(const fabric_domain_id& domain, const groups::notice& command);
    void execute(const groups::ticket_changed& command);
    [[nodiscard]] bool should_publish(const groups::complete_group& group) const;
    void relay_writes(const std::vector<kv_operation>& writes, std::int64_t revision);
    net::awaitable<void> transact(fabric_domain_id domain, groups::kv_call command);
    net::awaitable<void> grant(fabric_domain_id domain, groups::lease_grant command);
    net::awaitable<void> renew(fabric_domain_id domain, groups::lease_renew command);
    net::awaitable<void> request_report(groups::probe command);
    net::awaitable<void> assign(fabric_domain_id domain, groups::order_assign command);
    net::awaitable<void> release(fabric_domain_id domain, groups::order_release command);
    void handle_report(const groups::probe& asked, const engine_report& report, time_point sent_at);
};

} // namespace jaynotch
