scenario "An agent crashes and recovers within two seconds beside its running server"
options {seed = 13}
balancer "balancer-1"
balancer "balancer-2"
balancer "balancer-3"
for i = 1, 7 do
  server {name = "stock-" .. i, service = "stock", domain = "domain-" .. i % 4}
end
for i = 1, 4 do
  server {name = "photos-" .. i, service = "photos", domain = "domain-" .. i % 4}
end
class {name = "stock", baseline = "v1"}
class {name = "photos", baseline = "v1"}
run(4)
traffic {class = "stock", rate = 30, lifetime = 8}
traffic {class = "photos", rate = 15, lifetime = 8}
traffic {class = "stock", rate = 5, lifetime = 6, transport = "udp"}
run(10)
crash_agent "stock-2"
run(2)
recover_agent "stock-2"
run(20)
stop_traffic()
run(90)
expect("broken", "==", 0)
expect("double_admissions", "==", 0)
expect("cross_service", "==", 0)
expect("duplicate_executions", "==", 0)
expect("untrue_refusals", "==", 0)
