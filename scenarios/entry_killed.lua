-- An entry VM is killed while a backend server runs keyed orders for it. The caller repeats them
-- through another entry VM, which cannot know how far the first one got: no order may run twice.
local place = fleet{engines = 0, plain = {"orders-1"}, plain_work_ms = 600}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"}, tables_for{servers = {place.plain["orders-1"]}})
local load = start_load({"entry-1"}, {rate = 20, seconds = 0.5, plain_share = 1.0, seed = 9})
wait(0.5)
kill("entry-1")
local report = finish(load)
check(report.outcomes.whole < report.started, "all orders were answered before the entry VM was killed")
local began = #account().plain
check(began > 0, "no order had started")
for index = 0, report.started - 1 do
  local key = "load-9-" .. index
  local again = order("entry-2", {key = key, body = '{"order":"9-' .. index .. '"}'})
  check(again.outcome ~= "wrong", "the repeat of " .. key .. " is wrong: " .. again.detail)
  check(runs_of(key) <= 1, key .. " ran " .. runs_of(key) .. " times")
end
