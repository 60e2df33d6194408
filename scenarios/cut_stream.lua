-- An engine repeatedly drops the connection in the middle of an answer while its VM and its reports
-- look healthy. The caller must get either the complete text, made up of the tokens already sent
-- and the rest from another group, or an answer that is marked as incomplete.
fleet{engines = 4, fabric_domains = 1}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
fault(groups("entry-1")[1].members[1].vm, {cut_after = 7})
local whole = 0
for index = 1, 20 do
  local answer = ask("entry-1", {model = "router", prompt = "question " .. index, tokens = 25})
  check(answer.outcome ~= "wrong", "answer " .. index .. ": " .. answer.detail)
  if answer.outcome == "whole" then whole = whole + 1 end
end
check(whole >= 18, "only " .. whole .. " of 20 answers were complete")
