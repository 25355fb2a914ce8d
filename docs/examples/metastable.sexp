; A jump of six seconds tips the fleet over; gateways that wait briefly and try again keep it down.
(name metastable)
(world (for 60s) (load 0.7)
  (gateways (n 4) (choice round) (again hasty) (wait 0.7) (tries 4) (heeds yes))
  (incident jump (from 15s) (for 6s) (size 2.5)))
(policies module line nolimit codel gradient worth)
(seeds 20)
