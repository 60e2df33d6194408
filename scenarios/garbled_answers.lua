-- A plain server sends each answer twice, announces more bytes than it sends, and sends bytes that
-- are not HTTP. No caller may get the answer to another request or a truncated answer framed as
-- complete.
local place = fleet{engines = 0, plain = {"orders-1"}}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{servers = {place.plain["orders-1"]}, ["repeat"] = "never"})
for _, bad in ipairs{{answer_twice = true}, {answer_twice = false, wrong_length = true},
                     {wrong_length = false, garbage = true}} do
  fault("orders-1", bad)
  local load = start_load({"entry-1"}, {rate = 40, seconds = 1, plain_share = 1.0, keyed = false,
                                        seed = math.floor(now() * 1000)})
  local report = finish(load)
  check(report.outcomes.refused_not_run == 0 or bad.garbage, "a call that ran was refused as not run")
end
fault("orders-1", {garbage = false})
local after = order("entry-1", {key = "", body = "after the garbage"})
check(after.outcome == "whole", "after the malformed answers an order ends as " .. after.outcome)
