(name all-die)
(teaches "All servers die within a second. What comes meanwhile is lost, and what comes after must not pay for it.")
(incident death (at 6s) (for 2s) (apart 300ms))
(expect (share 0.7) (recovered 4s))
