; What the longest advice that gateways heed does: they leave and come back together.
(name advice)
(world (for 40s) (load 1) (gateways (n 4) (choice round) (again budgeted) (tries 3) (heeds yes)))
(policies module codel worth)
(seeds 10)
(sweep (how grid) (vary retry-after 0.25 5 6))
