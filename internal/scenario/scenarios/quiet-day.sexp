(name quiet-day)
(teaches "What a day looks like on which nothing happens: hold other reports against it.")
(rate 450)
(expect (share 0.99))
