-- The key-value service is down for a while. Dealers' questions are answered as before. An order
-- that may not be repeated can't be claimed: it is refused as not run, and runs after the outage.
local place = fleet{engines = 2, fabric_domains = 1, plain = {"orders-1"}}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 1,
                                         servers = {place.plain["orders-1"]}})
groups_serve({"entry-1"}, 1)
fault("kv", {kill = true})
wait(1)
local refused = order("entry-1", {key = "during-outage"})
check(refused.outcome == "refused_not_run", "an order in the outage is " .. refused.outcome)
local load = start_load({"entry-1"}, {model = "router", rate = 10, seconds = 5, tokens = 15})
local report = finish(load)
check(report.outcomes.whole == report.started,
      report.outcomes.whole .. " of " .. report.started .. " answers were whole in the outage")
fault("kv", {kill = false})
local tries = 0
wait_until(function()
  tries = tries + 1
  local answer = order("entry-1", {key = "after-outage-" .. tries})
  note("after the outage an order is " .. answer.outcome .. " " .. answer.detail)
  return answer.outcome == "whole"
end, 10, "orders are taken again")
check(runs_of("after-outage-" .. tries) == 1, "the order after the outage did not run once")
