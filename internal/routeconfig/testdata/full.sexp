(capacity 7)
(class c (aim 250ms) (deadline 3s) (effect keyed) (window 1m) (worth 0.5))
(pool p (method hash) (key header:X-Shop) (protocol scgi) (tries 3) (try-for 2s) (next error http_503) (keepalive 4) (connect 1s) (read 2s) (send 3s) (budget (share 0.5) (least 2) (burst 5)) (eject (factor 3) (errors 0.25) (after 9) (for 4s) (most 0.5) (panic-under 0.25)) (member 10.0.0.1:1 (weight 2) (max-conns 3) (max-fails 4) (fail-timeout 5s) (slow-start 6s) (down)) (param A B))
(server (listen 10.0.0.9:80 default) (name a.example) (merge-slashes no) (rewrite ^/a /b last) (location prefix / (pool p) (class c) (fallback f 500 502 (status same)) (intercept no) (rewrite ^/c /d break) (param C D) (location exact /x (return 404 gone))) (location named f (return 503)))
