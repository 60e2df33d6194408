-- The VM list is four seconds old, so a VM that died stays listed as live. No request may be sent
-- to its group meanwhile, and the group must be completed with a live VM.
fleet{engines = 5, fabric_domains = 1, vm_lag_ms = 4000}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local victim = groups("entry-1")[1].members[1].vm
fault(victim, {kill = true})
gone(victim)
local load = start_load({"entry-1"}, {model = "router", rate = 15, seconds = 5, tokens = 20})
local report = finish(load)
check(report.outcomes.whole > 0.8 * report.started,
      report.text)
wait_until(function() return complete_groups("entry-1") == 2 end, 20, "two complete groups again")
