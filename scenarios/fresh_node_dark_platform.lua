-- An entry VM is replaced while the platform's key-value service is down. The new daemon can read
-- neither the tables nor the records of the fabric domains there, so without its peers it would
-- know no route and no group and refuse every request. It must get both from a peer during the
-- outage and give complete answers.
local place = fleet{engines = 4, fabric_domains = 1, failure_domains = {"a"}, plain = {"app"}}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"},
                 tables_for{model = "m", replica_vms = 2, replicas = 2, servers = {place.plain.app}})
for _, name in ipairs{"entry-1", "entry-2"} do
  wait_until(function() return complete_groups(name) == 2 end, 40, "two groups on " .. name)
end

fault("kv", {kill = true})
kill("entry-2")
daemon("entry-3", "a")
local took = wait_until(function() return ready("entry-3") end, 15, "entry-3 ready")
note("ready after " .. took .. " s")
took = wait_until(function() return complete_groups("entry-3") == 2 end, 15,
                  "two groups on entry-3 during the outage")
note("two groups after " .. took .. " s more")
for i = 1, 20 do
  local answer = ask("entry-3", {model = "m", prompt = "which ducts cross here? " .. i, tokens = 20})
  check(answer.outcome == "whole", "call " .. i .. " ended as " .. answer.outcome)
  wait(0.25)
end
wait_until(function() return status("entry-3").platform == "dark" end, 10,
           "entry-3 reports the platform as dark")

fault("kv", {kill = false})
wait_until(function() return status("entry-3").platform == "reachable" end, 30, "entry-3 reports the platform as reachable")
check(complete_groups("entry-3") == 2, "the groups did not stay complete")
