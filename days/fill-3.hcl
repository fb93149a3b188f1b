# A fleet that fills from empty at 3 new sessions a second, sessions of 60 to 120 s, no troubles, nobody comes
# again. The uplinks under the full line carry all of them at some 380 kB a second each.

include = "house.hcl"

day {
  seconds        = 100
  seed           = 5
  directors      = 3
  media_fraction = 0.01
}

site {
  class "room" {
    live = true
  }
}

load {
  per_s      = 3
  shortest_s = 60
  longest_s  = 120
}
