-- The two failure domains are partitioned from each other, so each entry VM loses the engines of
-- the other domain. It cannot tell whether their group is complete, so it must send them no request
-- and serve from the group of its own domain.
fleet{engines = 4, fabric_domains = 2, failure_domains = {"a", "b"}}
daemon("entry-1", "a")
daemon("entry-2", "b")
apply_everywhere({"entry-1", "entry-2"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1", "entry-2"}, 2)
partition({"a"}, {"b"})
wait(4)
for _, name in ipairs{"entry-1", "entry-2"} do
  local load = start_load({name}, {model = "router", rate = 10, seconds = 3, tokens = 15, seed = #name})
  local report = finish(load)
  check(report.outcomes.whole > 0.8 * report.started, name .. ": " .. report.text)
  check(report.outcomes.refused_unknown == 0, name .. ": " .. report.text)
end
heal()
wait_until(function() return complete_groups("entry-1") == 2 and complete_groups("entry-2") == 2 end, 30,
           "both entry VMs report two complete groups")
