; Two members behind one server.
(class web (aim 1s) (deadline 5s) (effect by-method))
(include "pools/*.sexp")
(server
  (listen 0.0.0.0:80 default)
  (location prefix / (pool front) (class web)))
