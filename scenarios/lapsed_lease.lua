-- The lease of a fabric domain's manager expires while the manager keeps running, and a VM of a
-- group dies at the same time. The next lease holder must repair the group. Callers get complete
-- answers or correct refusals, and no group serves with a missing member.
fleet{engines = 5, fabric_domains = 1}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1", "entry-2"}, 2)
local load = start_load({"entry-1", "entry-2"}, {model = "router", rate = 15, seconds = 6, tokens = 20})
wait(1)
check(lapse("/jaynotch/test/domain/") > 0, "no key under the prefix had a lease")
fault(groups("entry-1")[2].members[2].vm, {kill = true})
local report = finish(load)
check(report.outcomes.refused_unknown == 0 and report.outcomes.cut == 0, report.text)
check(report.outcomes.whole > 0.8 * report.started, report.text)
wait_until(function() return complete_groups("entry-1") == 2 and complete_groups("entry-2") == 2 end, 40,
           "the group is repaired")
