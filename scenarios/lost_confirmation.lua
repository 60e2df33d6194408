-- A backend server runs an order, but its answer is lost. The entry VM cannot know whether the
-- order ran and must report its outcome as unknown. No repeat through any entry VM may run it
-- again.
local place = fleet{engines = 0, plain = {"orders-1", "orders-2"}}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"},
                 tables_for{servers = {place.plain["orders-1"], place.plain["orders-2"]}})
fault("orders-1", {lose_replies = 1})
fault("orders-2", {lose_replies = 1})
local first = order("entry-1", {key = "urea-40t"})
check(first.outcome == "refused_unknown", "an order whose answer is lost ends as " .. first.outcome)
for _, name in ipairs{"entry-1", "entry-2", "entry-1"} do
  local again = order(name, {key = "urea-40t"})
  check(again.outcome == "refused_unknown" or again.outcome == "whole", "a repeat ends as " .. again.outcome)
end
check(runs_of("urea-40t") == 1, "the order ran " .. runs_of("urea-40t") .. " times")
