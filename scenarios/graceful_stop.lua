-- Operators replace entry VMs one by one while callers stream. A planned stop cuts nobody off:
-- the daemon says that it is not ready, finishes what it has, and exits with 0.
fleet{engines = 4, fabric_domains = 1}
daemon("entry-1", "a", {"--balancer_wait_ms=500"})
daemon("entry-2", "a", {"--balancer_wait_ms=500"})
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1", "entry-2"}, 2)
local leaving_load = start_load({"entry-1"}, {model = "router", rate = 15, seconds = 1.5, tokens = 100, seed = 5})
local staying_load = start_load({"entry-2"}, {model = "router", rate = 15, seconds = 4, tokens = 40, seed = 6})
wait(1.4)
stop("entry-1")
wait(0.2)
check(not ready("entry-1"), "a stopping daemon still says that it is ready")
local left = finish(leaving_load)
check(left.outcomes.whole + left.outcomes.refused_not_run + left.outcomes.unreachable == left.started,
      "a planned stop cut streams: " .. left.outcomes.cut .. " cut, " .. left.outcomes.unanswered .. " unanswered")
check(left.outcomes.whole > 0, "no stream was whole")
local code = await_exit("entry-1", 20)
check(code == 0, "the daemon stopped with exit code " .. code)
local stayed = finish(staying_load)
check(stayed.outcomes.whole == stayed.started,
      stayed.outcomes.whole .. " of " .. stayed.started .. " answers were whole on the other entry VM")
