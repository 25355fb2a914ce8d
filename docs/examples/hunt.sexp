; Where the module does badly: the ranges of the operators' record.
(name hunt)
(world (for 40s) (load 0.8))
(policies module codel)
(seeds 3)
(sweep (how latin) (count 40)
  (vary load 0.5 1.1) (vary jump.size 1 1.6) (vary slow.part 0 0.23) (vary slow.size 3.4 9.3)
  (vary death.part 0 0.2) (vary retry-after 0.25 5) (vary read 0.22 0.28))
