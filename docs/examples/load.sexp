; How policies bear load: from half of what the fleet can do to one and a half.
(name load)
(world (for 40s) (servers (n 12)))
(policies module line nolimit codel gradient worth)
(seeds 10)
(sweep (how grid) (vary load 0.5 1.5 11))
