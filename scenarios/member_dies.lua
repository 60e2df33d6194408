-- A VM of a replica dies while its group streams answers. No stream may end as complete when it is
-- not: it continues on the other group after the text already sent, and the broken group gets no
-- new requests. The spare VM then completes the group again.
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
check(report.outcomes.refused_unknown == 0, "a model call was refused with unknown outcome")
local took = wait_until(function() return complete_groups("entry-1") == 2 end, 20, "the group is complete again")
note("group complete again within " .. took .. " s after the load")
