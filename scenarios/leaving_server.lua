-- A backend server announces that it is leaving. Within two seconds no entry VM may send it new
-- requests: the other server gets them, and requests that had started are finished.
local place = fleet{engines = 0, plain = {"orders-1", "orders-2"}, plain_work_ms = 50}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"},
                 tables_for{servers = {place.plain["orders-1"], place.plain["orders-2"]}})
local function runs_at(service)
  local count = 0
  for _, run in ipairs(account().plain) do
    if run.service == service then count = count + 1 end
  end
  return count
end
local load = start_load({"entry-1", "entry-2"}, {rate = 40, seconds = 6, plain_share = 1.0})
wait(1.5)
check(runs_at("orders-1") > 0, "the leaving server got no orders before it announced that it leaves")
fault("orders-1", {leaving = true})
wait(2)
local settled = runs_at("orders-1")
wait(2)
check(runs_at("orders-1") == settled, "a leaving server got " .. runs_at("orders-1") - settled .. " new orders")
local report = finish(load)
check(report.outcomes.whole == report.started,
      report.outcomes.whole .. " of " .. report.started .. " orders were answered completely")
