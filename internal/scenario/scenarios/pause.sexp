(name pause)
(teaches "A machine stands still for a second: what waited is late, and is not run for nobody.")
(incident pause (at 6s) (for 1s) (server 3))
(expect (share 0.8) (recovered 4s))
