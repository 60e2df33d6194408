-- The key-value service is down for some seconds. Model calls must be answered as before. The
-- idempotency key of an order cannot be claimed, so the order must be refused as not run; orders
-- run again after the outage.
local place = fleet{engines = 2, fabric_domains = 1, plain = {"orders-1"}}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 1,
                                         servers = {place.plain["orders-1"]}})
groups_serve({"entry-1"}, 1)
fault("kv", {kill = true})
wait(1)
local refused = order("entry-1", {key = "during-outage"})
check(refused.outcome == "refused_not_run", "an order during the outage ends as " .. refused.outcome)
local load = start_load({"entry-1"}, {model = "router", rate = 10, seconds = 5, tokens = 15})
local report = finish(load)
check(report.outcomes.whole == report.started,
      report.outcomes.whole .. " of " .. report.started .. " answers were complete during the outage")
fault("kv", {kill = false})
local tries = 0
wait_until(function()
  tries = tries + 1
  local answer = order("entry-1", {key = "after-outage-" .. tries})
  note("after the outage an order ends as " .. answer.outcome .. " " .. answer.detail)
  return answer.outcome == "whole"
end, 10, "orders are accepted again")
check(runs_of("after-outage-" .. tries) == 1, "the order after the outage did not run once")
