// Which group of a pool gets a request, where the engines' speed is known: the one whose first
// event is predicted soonest, of those that have room.
//
//   const target_row_index row = pick_modelled(targets, view, pool, wanted, now);
//   if (row == no_target) ...      // all are full: the request waits here, where it can be refused
//
// Room means a free place in the batch and little prompt work ahead: a batch takes one more answer
// almost for nothing, but each prompt that is read holds up the tokens of all others.
//
// What begins late anyway leaves some places of a group free. It would hold its place for as long
// as the next few requests take to come, and each of those would begin late behind it in turn.
//
// Each node has an equal part of every group's places for sure, also when the others seem to fill
// it: a node that only ever took what the others leave would get nothing from a full fleet, since
// those whose requests end there notice first.
#pragma once

#include "routing/engine_model.h"
#include "routing/picker.h"
#include "routing/target_table.h"

#include <span>

namespace jaynotch {

struct modelled_request {
    double prompt_tokens = 0.0;
    std::span<const target_row_index> tried;
    failure_domain_id local_domain; ///< preferred at about equal times
    std::size_t nodes = 1;          ///< that share the groups
    mechanism_set mechanisms;
    bool gives_way = false; ///< begins late anyway: takes only what others can spare
    /// Which of the targets is looked at first. Nodes that know as little as one another must not
    /// all take the same one.
    std::size_t first = 0;
};

/// Or no_target.
target_row_index pick_modelled(const target_table& targets, const pool_view& view, const pool& kind,
                               const modelled_request& wanted, time_point now);

/// To the first event of a request that takes the last place of a group. 0 if there is no group.
double first_event_ms_when_full(const target_table& targets, const pool_view& view,
                                const pool& kind, double prompt_tokens);

/// Places that this node may still fill at usable targets; the other nodes' requests are taken off.
double free_places(const target_table& targets, const pool_view& view, const pool& kind,
                   std::size_t nodes, time_point now);

} // namespace jaynotch
