(name all-slow)
(teaches "Every server slows at once, as behind a common disk: nobody can take over, and nobody must pile up.")
(incident slow (at 6s) (for 5s) (times 2))
(expect (share 0.65) (recovered 3s))
