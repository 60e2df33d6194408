-- All engines of a fabric domain fail at the same time. Its group must be withdrawn at once while
-- the group in the other domain keeps serving: every caller gets a complete answer or a refusal as
-- not run.
fleet{engines = 8, fabric_domains = 2, failure_domains = {"a", "b"}}
daemon("entry-1", "a")
daemon("entry-2", "b")
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local load = start_load({"entry-1", "entry-2"}, {model = "router", rate = 10, seconds = 8, tokens = 20})
wait(2)
local dark = groups("entry-1")[1].fabric_domain
fault_fabric(dark, {kill = true})
local report = finish(load)
check(report.outcomes.whole > 0.5 * report.started,
      report.text)
check(report.outcomes.refused_unknown == 0, report.outcomes.refused_unknown .. " model calls were refused with unknown outcome")
wait_until(function()
  for _, group in ipairs(groups("entry-1")) do
    if group.complete and group.fabric_domain ~= dark then return true end
  end
  return false
end, 20, "a complete group outside the failed domain")
