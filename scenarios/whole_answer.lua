-- The basic case without a fault: two entry VMs and four engines, two engines for each replica.
-- After the tables are applied and the groups have formed, each caller must get its own complete
-- answer, streamed or not, through either entry VM.
fleet{engines = 4, fabric_domains = 1}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1", "entry-2"}, 2)
for _, name in ipairs{"entry-1", "entry-2"} do
  local streamed = ask(name, {model = "router", prompt = "trench 7", tokens = 40})
  check(streamed.outcome == "whole", name .. ": a streamed call ends as " .. streamed.outcome .. " " .. streamed.detail)
  local buffered = ask(name, {model = "router", prompt = "trench 8", tokens = 40, stream = false})
  check(buffered.outcome == "whole", name .. ": a buffered call ends as " .. buffered.outcome .. " " .. buffered.detail)
end
local unknown = ask("entry-1", {model = "no-such-model", prompt = "x"})
check(unknown.outcome == "refused_not_run", "a call for an unknown model ends as " .. unknown.outcome)
