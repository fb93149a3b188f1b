# Other kinds of fault in a short day: nodes vanish, a zone is lost with its directors, links slow down, another program
# takes part of their capacity, nodes age and fail, and many viewers request one title.

include = "house.hcl"

day {
  seconds        = 15
  seed           = 8
  directors      = 3
  media_fraction = 0.01
}

site {
  class "report" {
    seats = 12
  }
  class "room" {
    live = true
  }
}

load {
  per_s      = 12
  come_again = 0.9
  pause_ms   = 900
}

trouble "boxes go silent" {
  kind  = "vanish"
  at_s  = 1
  len_s = 4
  part  = 0.14
}

trouble "slow links" {
  kind  = "shared_slow"
  at_s  = 3
  len_s = 3
  size  = 1.6
}

trouble "another program" {
  kind  = "neighbour"
  at_s  = 4
  len_s = 5
  part  = 0.3
  size  = 0.5
}

trouble "boxes age" {
  kind  = "ageing"
  at_s  = 6
  len_s = 6
  part  = 0.14
  size  = 6
}

trouble "a wing is lost" {
  kind      = "zone_loss"
  at_s      = 8
  len_s     = 4
  name      = "garden"
  directors = true
}

trouble "everyone wants the garden" {
  kind  = "hot_title"
  at_s  = 2
  len_s = 4
  name  = "garden"
  size  = 0.4
}
