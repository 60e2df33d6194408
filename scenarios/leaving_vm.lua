-- The platform announces a minute ahead that it removes a VM for maintenance. The VM must be
-- replaced in its group before it goes, and every answer must be complete.
fleet{engines = 5, fabric_domains = 1, step_us = 8000}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local load = start_load({"entry-1"}, {model = "router", rate = 10, seconds = 12, tokens = 60})
wait(1)
local victim = groups("entry-1")[1].members[2].vm
leaving(victim, 60)
local report = finish(load)
check(report.outcomes.whole == report.started, report.text)
local function still_named()
  for _, group in ipairs(groups("entry-1")) do
    for _, member in ipairs(group.members) do
      if member.vm == victim then return true end
    end
  end
  return false
end
wait_until(function() return not still_named() and complete_groups("entry-1") == 2 end, 45,
           "two complete groups without the leaving VM")
