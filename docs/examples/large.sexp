; Ten thousand servers behind a hundred gateways, 150,000 requests a second.
(name large)
(world (for 10s) (load 0.92) (servers (n 10000))
  (gateways (n 100) (choice two) (again budgeted) (tries 3) (heeds yes)))
(seeds 1)
