-- Two operators edit the tables concurrently. Edits of different rows must be merged; of two edits
-- of the same row the second must be refused as a conflict. Accepted changes must reach every entry
-- VM and survive the restart of all of them.
local place = fleet{engines = 0, plain = {"orders-1", "orders-2"}}
daemon("entry-1", "a")
daemon("entry-2", "a")
local one = tables_for{servers = {place.plain["orders-1"]}}
local base = apply_everywhere({"entry-1", "entry-2"}, one).json.revision
local function edited(timeout_ms, cap)
  return {routes = one.routes:gsub('repeat = "keyed"\ntimeout_ms = %d+', 'repeat = "keyed"\ntimeout_ms = ' .. timeout_ms),
          pools = one.pools .. (cap and ("max_in_flight_per_server = " .. cap .. "\n") or ""),
          base_revision = base}
end
local first = apply("entry-1", edited(4000, nil))
check(first.status == 200, "the first edit is answered with status " .. first.status .. " " .. tostring(first.body))
local merged = apply("entry-2", edited(3000, 32))
check(merged.status == 200, "an edit of another row is answered with status " .. merged.status .. " " .. tostring(merged.body))
local conflict = apply("entry-2", edited(5000, nil))
check(conflict.status == 409, "a second edit of the same row is answered with status " .. conflict.status)
local revision = merged.json and merged.json.revision or 0
for _, name in ipairs{"entry-1", "entry-2"} do
  wait_until(function() return status(name).revision == revision end, 5, name .. " has revision " .. revision)
  local tables = admin(name, "config").json
  check(tables.routes:find("timeout_ms = 4000"), name .. " lost the first edit")
  check(tables.pools:find("max_in_flight_per_server = 32"), name .. " lost the merged edit")
end
for _, name in ipairs{"entry-1", "entry-2"} do
  kill(name)
  await_exit(name, 5)
  restart(name)
  wait_until(function() return ready(name) end, 20, name .. " is ready again")
  check(status(name).revision >= revision, name .. " has an older revision after its restart: " .. tostring(status(name).revision))
end
