(pool front (member 127.0.0.1:9001 (weight 2)) (member 127.0.0.1:9002) (keepalive 16))
