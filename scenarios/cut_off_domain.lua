-- A failure domain is cut off from the platform and from the other domain. Its entry VM goes on
-- serving on the tables it knows, while operators change them outside. When the network heals it
-- takes the new tables within seconds, and at no time does any node step back.
local place = fleet{engines = 0, plain = {"orders-1", "orders-2"}, failure_domains = {"a", "b"}}
daemon("entry-1", "a")
daemon("entry-2", "b")
local one = tables_for{servers = {place.plain["orders-1"]}}
apply_everywhere({"entry-1", "entry-2"}, one)
local before = status("entry-2").revision
partition({"entry-2"}, {"platform", "a"})
local two = tables_for{servers = {place.plain["orders-1"]}, timeout_ms = 4321}
two.base_revision = before
local answer = apply("entry-1", two)
check(answer.status == 200, "a change outside the cut-off domain is answered " .. answer.status)
wait(1)
local served = http{to = "entry-2", path = "/archive/1"}
check(served.status == 200, "the cut-off domain answers " .. served.status)
check(status("entry-2").revision == before, "the cut-off node has a revision it can't have heard of")
heal()
local took = wait_until(function() return status("entry-2").revision == answer.json.revision end, 20,
                        "the healed node has the new tables")
note("in force " .. took .. " s after healing")
check(status("entry-1").revision == answer.json.revision, "the other node stepped back")
