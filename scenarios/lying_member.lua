-- A restarted member falsely reports that it is ready although it has loaded nothing, and the
-- engine of rank 0 does not check its members. Only the entry VM can keep requests away, from what
-- the reports show. Any answer of an incomplete group appears in the records of the stand-ins and
-- fails the scenario.
fleet{engines = 4, fabric_domains = 1}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local group = groups("entry-1")[1]
fault(group.members[1].vm, {serve_partial = true})
fault(group.members[2].vm, {kill = true})
wait_until(function() return complete_groups("entry-1") == 1 end, 5, "the broken group is withdrawn")
fault(group.members[2].vm, {kill = false, claim_ready = true})
for index = 1, 20 do
  local answer = ask("entry-1", {model = "router", prompt = "trench " .. index, tokens = 15})
  check(answer.outcome == "whole" or answer.outcome == "refused_not_run",
        "answer " .. index .. " ends as " .. answer.outcome .. " " .. answer.detail)
end
