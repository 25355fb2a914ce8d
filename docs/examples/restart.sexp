; All servers are replaced under load: is a successor that is told what was learned better than one that is not?
(name restart)
(world (for 60s) (load 0.85) (incident deploy (from 10s) (for 30s) (part 1) (size 0.1)))
(policies module remembering)
(seeds 60)
