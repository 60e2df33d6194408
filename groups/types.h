// What the decision cores of `groups` are told and what they ask for. All of it is plain data in
// the core's own terms; the daemon's shell translates it to and from the platform's adapters.
//
//   domain_manager manager{settings};
//   for (auto& wanted : manager.handle(groups::vms_seen{rows, age}, now))
//       std::visit(carry_out, wanted);
//
// Every `request sent at` is a reading of this node's own clock from before the request left. All
// ages are counted from it, so that a slow or late answer only looks older than it is.
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"
#include "tables/tables.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch::groups {

using namespace std::chrono_literals;

/// One row of the platform's VM list.
struct vm_row {
    vm_id vm;
    std::string address; ///< "host:port" of the engine
    fabric_domain_id fabric_domain;
    failure_domain_id failure_domain;
    std::uint32_t accelerators = 0;
    bool leaving = false;
    std::chrono::milliseconds leaves_in{0}; ///< from now, if leaving; 0 if not told

    friend bool operator==(const vm_row&, const vm_row&) = default;
};

/// What an engine says that it is doing.
enum class member_state { idle, loading, ready, releasing, failed };

/// An engine's own word, GET /control/report. Nothing in it is trusted alone.
struct member_report {
    vm_id vm;
    std::string boot;       ///< changes when the engine restarts
    group_id group;         ///< empty if none
    fencing_number fencing; ///< of the last order that it took
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< addresses by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    member_state state = member_state::idle;
    double progress = 0.0; ///< of loading, 0..1
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kv_used = 0.0; ///< 0..1
    double step_ms = 0.0; ///< time of the last decoding step
    bool leaving = false;

    friend bool operator==(const member_report&, const member_report&) = default;
};

/// A VM of a group, as the record names it.
struct member {
    vm_id vm;
    std::string address;

    friend bool operator==(const member&, const member&) = default;
};

/// Identifies a call, so that its answer finds its way back.
using call_token = strong_id<struct call_tag, std::uint64_t>;

// Events.

/// The platform's list as last read. `age` is how old the platform says that it is.
struct vms_seen {
    std::vector<vm_row> rows;
    duration age{0};
};
struct report_seen {
    vm_id vm; ///< the VM that was asked; an answer naming another is a lie
    member_report report;
    time_point sent_at; ///< this node's clock before the request left
};
/// No answer, or one that could not be read.
struct report_failed {
    vm_id vm;
};
struct kv_result {
    call_token token;
    result<kv_outcome> outcome = error{};
};
/// Answer to lease_grant (the new lease) or lease_renew (the same lease).
struct lease_result {
    call_token token;
    result<lease_id> lease = error{};
};
/// A fabric domain's record as the watch on `record_prefix()` or a peer shows it; also of other
/// domains. Older ones than known are ignored.
struct record_seen {
    kv_entry entry;
};
/// The tables in force have changed.
struct tables_installed {
    std::shared_ptr<const configuration> tables;
};
enum class order_answer { accepted, refused, failed };
/// Answer to order_assign or order_release; `refused` is the engine's 409.
struct order_result {
    call_token token;
    vm_id vm;
    order_answer answer = order_answer::failed;
};
/// A daemon that is alive, this one included.
struct peer_row {
    node_id node;
    failure_domain_id failure_domain;

    friend bool operator==(const peer_row&, const peer_row&) = default;
};
struct peers_seen {
    std::vector<peer_row> peers;
};
/// A member slows its group down (groups/straggler.h): it is replaced without a break.
struct straggler_found {
    vm_id vm;
};
/// Time has passed; send one every 100 ms to 1 s.
struct tick {};

// Commands.

struct kv_call {
    call_token token;
    kv_transaction transaction;
};
struct lease_grant {
    call_token token;
    std::chrono::seconds ttl{0};
};
struct lease_renew {
    call_token token;
    lease_id lease;
};
/// Ask the engine for its report. The shell may drop it while an earlier one to the same VM is
/// under way, and hands the answer to the manager and to the ticket board alike.
struct probe {
    vm_id vm;
    std::string address;
};
/// POST /control/assign. `order` names it; send it once, never repeat it blindly, and drop it
/// unsent if it can't be sent before `not_after`: an order from the past is what the fencing number
/// and the order horizon guard against.
struct order_assign {
    call_token token;
    std::string order;
    vm_id vm;
    std::string address;
    time_point not_after;
    fencing_number fencing;
    group_id group;
    std::uint32_t rank = 0;
    std::vector<std::string> members; ///< addresses by rank
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
};
/// POST /control/release.
struct order_release {
    call_token token;
    std::string order;
    vm_id vm;
    std::string address;
    time_point not_after;
    fencing_number fencing;
    group_id group;
};
/// Something for the log; `kind` is a fixed word listed in docs/operations-groups.md.
struct notice {
    log_level level = log_level::info;
    std::string kind;
    std::string subject; ///< a VM, group or domain
    std::string detail;
};

/// A load report of a whole group, as old as the ticket.
struct group_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double kv_used = 0.0;
    double step_ms = 0.0; ///< of the slowest member

    friend bool operator==(const group_load&, const group_load&) = default;
};

/// A group that may be given requests.
struct complete_group {
    group_id group;
    pool_id pool;
    fabric_domain_id fabric_domain;
    std::string leader;         ///< address of the member of rank 0
    std::vector<vm_id> members; ///< by rank
    fencing_number fencing;     ///< as the leader reports it
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    bool draining = false; ///< gets no new requests; those in flight finish
    group_load load;
    time_point valid_until; ///< after it the group must not be given a request

    friend bool operator==(const complete_group&, const complete_group&) = default;
};

/// A ticket was issued, changed or renewed; or withdrawn (`complete` false) because a member's word
/// or the record contradicts it: that goes to the peers at once and ends it whatever its time says.
/// A ticket that merely runs out is not announced.
struct ticket_changed {
    complete_group group;
    bool complete = false;
};

} // namespace jaynotch::groups
