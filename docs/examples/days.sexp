; The table of policies: fifty days of each kind, drawn from the ranges of the operators' brief.
(name days)
(days (count 50) (kinds quiet rough overload big storm))
(policies module line nolimit codel gradient worth)
(seeds 1)
