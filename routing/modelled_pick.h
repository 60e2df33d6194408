// Selects the group of a pool that gets a request, if the speed of the engines is known: of the
// groups that have room, the one with the earliest predicted first event.
//
//   const target_row_index row = pick_modelled(targets, view, pool, wanted, now);
//   if (row == no_target) ...      // all are full: the request is queued here and can be refused
//
// A group has room if it has a free place in its batch and little prompt work pending. One more
// response in a batch costs almost nothing, but each prompt that is processed delays the tokens of
// all other responses.
//
// A request that will miss its route's target for the first event in any case has to leave some
// places of a group free. It would otherwise occupy a place during the next few arrivals, and each
// of these would be late in turn.
//
// A group whose memory is short has no room. A large request goes only to the groups that the node
// prefers most, since the nodes don't know of each other's large requests.
//
// Each node is guaranteed an equal share of every group's places, even if the other nodes seem to
// fill them. A node limited to what the others leave free would get nothing from a full fleet,
// since the nodes whose requests end at a group learn first of the places that become free.
#pragma once

#include "routing/engine_model.h"
#include "routing/picker.h"
#include "routing/target_table.h"

#include <span>

namespace jaynotch {

/// The requirements of a request, and the mechanisms that are enabled.
struct modelled_request {
    double prompt_tokens = 0.0;
    std::span<const target_row_index> tried;
    failure_domain_id local_domain; ///< of this node; preferred at about equal times
    std::size_t nodes = 1;          ///< entry VMs that share the groups
    mechanism_set mechanisms;
    std::uint64_t node_hash = 0; ///< of this node's id
    double tokens = 0.0;         ///< that it holds at a replica, see server_memory.h
    bool gives_way = false;      ///< will be late: must leave a part of the places free
    /// Position of the target that is examined first, and so wins a tie. Nodes with the same
    /// information must not all choose the same target.
    std::size_t first = 0;
};

/// Returns the chosen target, or no_target if none has room.
target_row_index pick_modelled(const target_table& targets, const pool_view& view,
                               const pool& pool_info, const modelled_request& wanted,
                               time_point now);

/// Predicted time to the first event of a request that takes the last free place of a group; 0 if
/// the pool has no targets.
double first_event_ms_when_full(const target_table& targets, const pool_view& view,
                                const pool& pool_info, double prompt_tokens);

/// Number of places that this node may still fill at usable targets. The estimated requests of the
/// other nodes are subtracted, down to this node's guaranteed places.
double free_places(const target_table& targets, const pool_view& view, const pool& pool_info,
                   std::size_t nodes, time_point now);

} // namespace jaynotch
