; The operators' settings, read by `catalogue-server serve --settings deploy/settings.sexp`.
; Both forms are commented out, because the disk counts as memory on this platform. Sizes are decimal (kB, MB, GB) or
; binary (KiB, MiB, GiB); times have a unit (us, ms, s, m, h).

; Record the events and decisions of the decision module, for `cataloguectl replay` and `cataloguectl explain`.
; (capture
;   (directory "/var/lib/tillerusher/capture") ; a separate directory for each server
;   (segment 8MiB)    ; a new segment is started at this size
;   (age 1m)          ; or at this age
;   (keep 256MiB)     ; maximum size of all segments; the oldest are deleted
;   (memory 1MiB)     ; memory for blocks that are filled or wait for the disk
;   (flush 200ms))    ; age at which a block that is not full is written

; Keep the results of requests with an idempotency key across restarts, so that a repeated request does not run again. Use
; this only where the directory survives a restart.
; (state
;   (directory "/var/lib/tillerusher/state") ; a separate directory for each server
;   (keys 20000)      ; maximum number of keys that are kept in their idempotency windows
;   (size 16MiB))     ; maximum size of all records
