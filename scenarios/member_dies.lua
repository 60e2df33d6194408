-- One VM of a replica dies while its group answers. The dealers' streams must not end as if they
-- were whole: they go on from the text already given on the other group, and no new request
-- reaches the broken one. The spare VM then completes a group again.
fleet{engines = 5, fabric_domains = 1, step_us = 10000}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local load = start_load({"entry-1"}, {model = "router", rate = 20, seconds = 6, tokens = 60})
wait(2)
local victim = groups("entry-1")[1].members[2].vm
fault(victim, {kill = true})
gone(victim)
local report = finish(load)
check(report.outcomes.whole > 0.9 * report.started,
      report.text)
check(report.outcomes.refused_unknown == 0, "a model call was refused as unknown")
local took = wait_until(function() return complete_groups("entry-1") == 2 end, 20, "the group is whole again")
note("group whole again within " .. took .. " s after the load")
