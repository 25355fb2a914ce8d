; The operators' own settings, read by `catalogue-server serve --settings deploy/settings.sexp`.
; All is off here: this platform's disk counts as memory. Sizes are decimal (kB, MB, GB) or binary (KiB, MiB, GiB),
; times have a unit (us, ms, s, m, h).

; Record what the decision module is told and decides, for `cataloguectl replay` and `cataloguectl explain`.
; (capture
;   (directory "/var/lib/tillerusher/capture") ; one for each server
;   (segment 8MiB)    ; a new segment is begun at this size
;   (age 1m)          ; or at this age
;   (keep 256MiB)     ; what all segments may take; the oldest go
;   (memory 1MiB)     ; of blocks that wait for the disk
;   (flush 200ms))    ; how long a record waits to be written

; Keep results of keyed requests over restarts, so that a repeat does not run again. Only where the folder survives.
; (state
;   (directory "/var/lib/tillerusher/state") ; one for each server
;   (keys 20000)      ; that are kept in their windows
;   (size 16MiB))     ; of all records
