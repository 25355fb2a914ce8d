; Eight short runs.
(name small)
(world (for 2s) (servers (n 2) (cores 2)))
(policies module line)
(seeds 2)
(sweep (how grid) (vary load 0.5 0.9 2))
