-- An entry VM is stopped with SIGTERM while callers stream, as in a rolling replacement. The daemon
-- must report that it is not ready, finish its pending requests and exit with code 0; a planned
-- stop truncates no stream.
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
check(not ready("entry-1"), "a stopping daemon still reports that it is ready")
local left = finish(leaving_load)
check(left.outcomes.whole + left.outcomes.refused_not_run + left.outcomes.unreachable == left.started,
      "a planned stop truncated streams: " .. left.outcomes.cut .. " cut, " .. left.outcomes.unanswered .. " unanswered")
check(left.outcomes.whole > 0, "no stream was complete")
local code = await_exit("entry-1", 20)
check(code == 0, "the daemon stopped with exit code " .. code)
local stayed = finish(staying_load)
check(stayed.outcomes.whole == stayed.started,
      stayed.outcomes.whole .. " of " .. stayed.started .. " answers were complete on the other entry VM")
