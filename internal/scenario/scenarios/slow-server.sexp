(name slow-server)
(teaches "One server takes three times as long for six seconds: its refusals send callers to the others.")
(incident slow (at 6s) (for 6s) (server 2) (times 3))
(expect (share 0.75) (recovered 3s))
