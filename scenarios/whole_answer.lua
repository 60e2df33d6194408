-- A foreman asks for a route summary before the backhoe arrives. Two entry VMs stand before four
-- engines; a replica takes two of them. The tables are applied, groups form and load, and each
-- caller gets the whole of its own answer, streamed or not, through either entry VM.
fleet{engines = 4, fabric_domains = 1}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1", "entry-2"}, 2)
for _, name in ipairs{"entry-1", "entry-2"} do
  local streamed = ask(name, {model = "router", prompt = "trench 7", tokens = 40})
  check(streamed.outcome == "whole", name .. ": streamed answer is " .. streamed.outcome .. " " .. streamed.detail)
  local buffered = ask(name, {model = "router", prompt = "trench 8", tokens = 40, stream = false})
  check(buffered.outcome == "whole", name .. ": buffered answer is " .. buffered.outcome .. " " .. buffered.detail)
end
local unknown = ask("entry-1", {model = "no-such-model", prompt = "x"})
check(unknown.outcome == "refused_not_run", "an unknown model is " .. unknown.outcome)
