(name rolling-deploy)
(teaches "A release from server to server: nothing that was read is lost, and callers hardly see it.")
(incident deploy (at 4s) (for 500ms) (apart 4s))
(expect (share 0.9) (recovered 3s))
