-- A VM of a group dies and restarts as an engine without a group, a model or a fencing number. It
-- must not be counted as the member that it was, and no request may reach it until a new order has
-- made it part of a complete group.
fleet{engines = 3, fabric_domains = 1}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 1})
groups_serve({"entry-1"}, 1)
local victim = groups("entry-1")[1].members[1].vm
fault(victim, {kill = true})
wait_until(function() return complete_groups("entry-1") == 0 end, 5, "the broken group is withdrawn")
fault(victim, {kill = false})
groups_serve({"entry-1"}, 1)
for index = 1, 10 do
  local answer = ask("entry-1", {model = "router", prompt = "after " .. index, tokens = 20})
  check(answer.outcome == "whole", "answer " .. index .. " ends as " .. answer.outcome .. " " .. answer.detail)
end
