(name other)
(world (for 1s) (servers (n 1) (cores 1)))
