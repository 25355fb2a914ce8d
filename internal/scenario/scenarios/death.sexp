(name death)
(teaches "One server of three dies and comes back cold: the others take over, and the cold one is not run over.")
(incident death (at 6s) (for 2s) (server 1))
(expect (share 0.85) (recovered 4s))
