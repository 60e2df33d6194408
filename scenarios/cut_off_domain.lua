-- A failure domain is partitioned from the platform and from the other domain while an operator
-- changes the tables outside. Its entry VM must keep serving with the tables it has, install the
-- new ones within 20 seconds of the end of the partition, and no node may return to an older
-- revision.
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
check(answer.status == 200, "a change outside the partitioned domain is answered with status " .. answer.status)
wait(1)
local served = http{to = "entry-2", path = "/archive/1"}
check(served.status == 200, "the partitioned domain answers with status " .. served.status)
check(status("entry-2").revision == before, "the partitioned node has a revision that it cannot have received")
heal()
local took = wait_until(function() return status("entry-2").revision == answer.json.revision end, 20,
                        "the node has the new tables after the partition")
note("installed " .. took .. " s after the end of the partition")
check(status("entry-1").revision == answer.json.revision, "the other node returned to an older revision")
