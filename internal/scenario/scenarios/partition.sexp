(name partition)
(teaches "The link to one interpreter carries nothing for two seconds: what was asked for is not asked for twice.")
(incident partition (at 6s) (for 2s) (server 1))
(expect (share 0.8) (recovered 4s))
