-- The platform's key-value service is down, and during the outage an entry VM is replaced.
-- The balancer sends callers to the fresh VM. Its daemon can read neither the tables nor the
-- records of the fabric domains, so without its peers it would know no route and no group and
-- refuse everybody, though every group serves. It has to take both from a peer, the platform
-- still down, and serve whole answers.
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
                  "two groups on entry-3, the platform down")
note("two groups after " .. took .. " s more")
for i = 1, 20 do
  local answer = ask("entry-3", {model = "m", prompt = "which ducts cross here? " .. i, tokens = 20})
  check(answer.outcome == "whole", "call " .. i .. " was answered: " .. answer.outcome)
  wait(0.25)
end
wait_until(function() return status("entry-3").platform == "dark" end, 10,
           "the fresh node says that the platform is dark")

fault("kv", {kill = false})
wait_until(function() return status("entry-3").platform == "reachable" end, 30, "platform seen again")
check(complete_groups("entry-3") == 2, "the groups stay complete")
