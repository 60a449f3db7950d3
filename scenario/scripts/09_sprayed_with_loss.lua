scenario "Packets are lost, duplicated and reordered during a drain"
options {seed = 9, balancer_lag = 3}
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
faults {loss = 0.02, duplicate = 0.05, reorder = 0.1}
drain "stock-5"
run(50)
faults {}
stop_traffic()
run(90)
expect("broken", "==", 0)
expect("double_admissions", "==", 0)
expect("cross_service", "==", 0)
expect("duplicate_executions", "==", 0)
expect("untrue_refusals", "==", 0)
