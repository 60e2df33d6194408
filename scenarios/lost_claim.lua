-- The claim on an order's idempotency key is written, but the key-value service's reply is lost.
-- The order must run at most once, and a repeated request must get a correct answer.
local place = fleet{engines = 0, plain = {"orders-1"}}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"}, tables_for{servers = {place.plain["orders-1"]}})
local first = order("entry-1", {key = "before"})
check(first.outcome == "whole", "an order without a fault ends as " .. first.outcome .. " " .. first.detail)
fault("kv", {lose_replies = 1})
local lost = order("entry-1", {key = "monday-sheet"})
note("with the claim's reply lost the order ends as " .. lost.outcome)
fault("kv", {lose_replies = 0})
wait(0.5)
local again = order("entry-2", {key = "monday-sheet"})
note("repeated on the other entry VM it ends as " .. again.outcome)
check(runs_of("monday-sheet") <= 1, "the order ran twice")
local repeated = order("entry-2", {key = "before"})
check(repeated.record == first.record, "a repeated order got another record")
check(runs_of("before") == 1, "the repeated order ran again")
